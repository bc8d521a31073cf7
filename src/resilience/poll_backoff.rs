//! When a node calls discovery again: the bound of its Full Jitter sleep. Arithmetic alone.

use crate::resilience::retry_admission::backoff;
use crate::vocabulary::{Discovery, Nanos, Settings};

/// A change counts as told 6 s after discovery had it and could be reached, whatever a failed call allowed: a call
/// that is given up after 2 s, this long a sleep and the next call's answer fit into that.
const ASKED_CAP: Nanos = 2_500_000_000;
/// Calls to the machine's own agent cost nothing: sleeps only keep a dead one from being called without end.
const AGENT_BASE: Nanos = 10_000_000;
const AGENT_CAP: Nanos = 200_000_000;

/// How long the sleep before the next call may be at most, after so many calls that brought nothing. None where
/// changes come unasked.
pub fn again_within(settings: &Settings, calls: u32) -> Option<Nanos> {
    let (base, cap) = match settings.discovery {
        Discovery::Pushed => return None,
        Discovery::LocalAgent => (AGENT_BASE, AGENT_CAP),
        Discovery::Polled => (settings.poll_within / 16, settings.poll_within.min(ASKED_CAP)),
    };
    Some(backoff(base, cap, calls))
}
