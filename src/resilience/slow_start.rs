//! Slow start: how many placements a server admits that is warming up or recovering from overload.
//!
//! Each node admits its own share of the connections that fill the server, so that all nodes together fill it no faster
//! than it can take. A server that is warming up is filled over its warm-up, one that was overloaded over [`RECOVERY_TIME`].

use crate::model::Settings;
use sparbank_time::{DurationExt, MonotonicTime};
use std::time::Duration;

/// A server that was overloaded is filled again over this time. Latency reports come once per second,
/// so what is sent there between two reports overshoots by a thirtieth.
const RECOVERY_TIME: Duration = Duration::from_secs(30);
/// The shortest span that is not zero, where a span is a divisor or has to be positive.
const NANOSECOND: Duration = Duration::from_nanos(1);

/// The slow-start parameters of the servers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowStart {
    floor: f64,
    duration: Duration,
    overload_multiple: f64,
    overload_after: Duration,
}

/// The load that servers are filled with, the same for all servers in one selection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FillTarget {
    /// This node's share of the connections that fill all serving servers.
    pub connections: f64,
    /// Sum of the nominal capacities of all serving servers.
    pub total_nominal: f64,
    /// Nanoseconds for which the server may be sent what it admits; see [`SlowStart::accrued`].
    pub accrued: f64,
}

/// A server, as far as its slow start is concerned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerRamp {
    /// See [`SlowStart::capacity_factor`].
    pub capacity_factor: f64,
    /// Capacity relative to other servers.
    pub nominal: f64,
    /// Until then it recovers from overload.
    pub recovering_until: MonotonicTime,
    /// When this node last started an attempt there.
    pub last_sent_at: MonotonicTime,
}

impl SlowStart {
    /// Takes the parameters from the settings.
    pub fn new(settings: &Settings) -> SlowStart {
        SlowStart {
            floor: settings.slow_start_floor,
            duration: settings.slow_start_duration,
            overload_multiple: settings.overload_multiple,
            overload_after: settings.overload_after,
        }
    }

    /// The fraction of its capacity that a server has at `now`: from the floor at its start to one after the
    /// warm-up. A start at zero means long ago.
    pub fn capacity_factor(&self, now: MonotonicTime, started_at: MonotonicTime) -> f64 {
        let age = now.saturating_duration_since(started_at);
        if started_at == MonotonicTime::ZERO || age >= self.duration {
            return 1.0;
        }
        self.floor + (1.0 - self.floor) * age.as_nanos_f64() / self.duration.as_nanos_f64()
    }

    /// The fraction of this node's placements that a server admits now, per unit of its nominal capacity; infinite
    /// for a server that neither warms up nor recovers.
    pub fn admissible_fraction(&self, now: MonotonicTime, server: &ServerRamp, target: &FillTarget) -> f64 {
        let is_warming_up = server.capacity_factor < 1.0;
        if !is_warming_up && now >= server.recovering_until {
            return f64::INFINITY;
        }
        let fill_rate = if is_warming_up {
            self.overload_multiple * server.capacity_factor / self.duration.max(NANOSECOND).as_nanos_f64()
        } else {
            1.0 / RECOVERY_TIME.as_nanos_f64()
        };
        let rate = fill_rate * target.connections / target.total_nominal.max(f64::MIN_POSITIVE);
        // A burst of arrivals is not in the rate yet: one placement at a time.
        let interval = (1.0 / (rate * server.nominal)).min(self.overload_after.as_nanos_f64());
        if now.saturating_duration_since(server.last_sent_at).as_nanos_f64() < interval {
            return 0.0;
        }
        rate * target.accrued
    }

    /// Nanoseconds for which servers in slow start may be sent what they admit, given the time of this node's last
    /// selection: no more than about the time in which a server is overloaded, however many requests arrive one after
    /// another. `setup_interval` is the unthrottled one of this node.
    pub fn accrued(
        &self,
        now: MonotonicTime,
        last_selection_at: MonotonicTime,
        setup_interval: Duration,
    ) -> f64 {
        let max_accrual = self.overload_after.max(2 * setup_interval).max(NANOSECOND);
        now.saturating_duration_since(last_selection_at).min(max_accrual).as_nanos_f64()
    }
}

#[cfg(test)]
mod tests;
