//! A client that begins a message on each of its links, completes none, and stays.

use super::node_address::NodeAddress;
use super::wire::{Ended, SenderAttach, Wire};
use sparbank_amqp::{Performative, Tag, Transfer};
use sparbank_test_support::{incomplete_head, message_with_key};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Together the messages exceed the limit on what the node buffers in these runs.
const LINKS: u32 = 24;
const TRANSFERS: usize = 4;
const TRANSFER_BYTES: usize = 12_000;
/// Longer than a run.
const TTL_MS: u32 = 60_000;
/// How long a write waits while the node does not read the client.
const WRITE_TIMEOUT: Duration = Duration::from_secs(6);

/// Where the client stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopsWithin {
    /// The sections before the body.
    Head,
    /// The body.
    Body,
}

/// Begins the messages, and stays until the run stops or the node ends the connection.
pub fn run(node: &NodeAddress, class: &str, stops_within: StopsWithin, stop: &AtomicBool) {
    // The end of the connection is one of the answers that the client is owed.
    let _ = begin_messages(node, class, stops_within, stop);
}

fn begin_messages(
    node: &NodeAddress,
    class: &str,
    stops_within: StopsWithin,
    stop: &AtomicBool,
) -> Result<(), Ended> {
    let mut wire = Wire::connect(node.wait_for_node().address, "noname")?;
    wire.set_write_timeout(WRITE_TIMEOUT)?;
    let message = match stops_within {
        StopsWithin::Head => incomplete_head(TRANSFERS * TRANSFER_BYTES),
        StopsWithin::Body => message_with_key(TTL_MS, "half", &vec![7; TRANSFERS * TRANSFER_BYTES]),
    };
    for handle in 0..LINKS {
        let (name, unsettled) = (format!("link-{handle}"), Vec::new());
        wire.send_sender_attach(SenderAttach { name, handle, class, timeout_seconds: 0, unsettled })?;
        wire.wait_for(|body| matches!(body, Performative::Flow(flow) if flow.handle.is_some()))?;
    }
    for handle in 0..LINKS {
        for (index, piece) in message[..TRANSFERS * TRANSFER_BYTES].chunks(TRANSFER_BYTES).enumerate() {
            let is_first = index == 0;
            let transfer = Transfer {
                handle: Some(handle),
                delivery_id: is_first.then_some(handle),
                delivery_tag: if is_first { Tag::new(&handle.to_be_bytes()) } else { None },
                more: Some(true),
                ..Transfer::default()
            };
            wire.send(transfer, piece)?;
        }
    }
    while !stop.load(Ordering::Relaxed) {
        wire.poll()?;
    }
    Ok(())
}
