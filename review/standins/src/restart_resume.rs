//! The node is killed and started again while a delivery runs whose effect must not run twice. The client attaches its
//! link again, and loses that connection too before it has resumed the delivery; then it attaches and resumes. The
//! check: no delivery is run more than once.

use crate::client::{message, outcome_text, Client, Lost};
use crate::proxy::Proxy;
use crate::{Platform, Verdict};
use sparbank_amqp::Performative;
use std::time::{Duration, Instant};

const CLASS: &str = "station-notes";
const KEY: &str = "5001";
const TTL_MS: u32 = 20_000;

pub fn play(platform: Platform) -> Verdict {
    let mut node = platform.start_node(["read_like", "read_like", "non_idempotent"]);
    let proxy = Proxy::start(node.amqp);
    let verdict =
        converse(&platform, &mut node, &proxy).unwrap_or(Verdict::CouldNotRun("unexpected loss".into()));
    node.stop();
    verdict
}

fn converse(platform: &Platform, node: &mut crate::node::Node, proxy: &Proxy) -> Result<Verdict, Lost> {
    let mut client = Client::connect(proxy.address, "archive-7", None)?;
    client.attach_sender("readings", CLASS, 20, &[])?;
    platform.record.line("client", &format!("sends {KEY}, tag 0"));
    client.deliver(0, 0, false, &message(Some(TTL_MS), KEY))?;
    let _ = client.next(Instant::now() + Duration::from_millis(500));
    if platform.has_trouble {
        platform.record.line("platform", "kills the node, and starts it again");
        node.kill();
        *node =
            platform.start_node_again(["read_like", "read_like", "non_idempotent"], (node.text, node.amqp));
        let mut between = Client::connect(proxy.address, "archive-7", None)?;
        let known = between.attach_sender("readings", CLASS, 20, &[0])?;
        platform.record.line("client", &format!("attaches again, unsettled [0]; the node's map: {known:?}"));
        proxy.connection(1).reset_node_side();
        proxy.connection(1).reset_client_side();
        platform.record.line("network", "resets the client's connection before the delivery is resumed");
        std::thread::sleep(Duration::from_millis(500));
        client = Client::connect(proxy.address, "archive-7", None)?;
        let known = client.attach_sender("readings", CLASS, 20, &[0])?;
        platform.record.line("client", &format!("attaches again, unsettled [0]; the node's map: {known:?}"));
        platform.record.line("client", &format!("resumes {KEY}, tag 0"));
        client.deliver(0, 0, true, &message(Some(TTL_MS), KEY))?;
    }
    let until = Instant::now() + Duration::from_secs(9);
    while Instant::now() < until {
        client.send_heartbeat()?;
        if let Some(Performative::Disposition(disposition)) =
            client.next(Instant::now() + Duration::from_millis(500))?
        {
            let text = disposition.state.as_ref().map(outcome_text).unwrap_or_default();
            platform.record.line("client", &format!("gets {KEY}: {text}"));
        }
    }
    let runs = platform.runs_of(KEY);
    let text = format!("{KEY} was run {} times, by {runs:?}", runs.len());
    platform.record.line("check", &text);
    println!("{text}");
    Ok(if runs.len() > 1 { Verdict::Broken } else { Verdict::Held })
}
