//! Slow start: limits the requests that are sent to a server that is warming up or recovering from overload.
//!
//! Each node sends its share of the connections that fill the server, so that all nodes together fill it no faster than
//! its capacity allows. A server that is warming up is filled over its warm-up time, one that was overloaded over
//! [`RECOVERY_TIME`].

use crate::model::Settings;
use sparbank_time::{DurationExt, MonotonicTime};
use std::time::Duration;

/// The time over which a server that was overloaded is filled again. Latency reports arrive once per second, so what
/// is sent between two reports overshoots by a thirtieth.
const RECOVERY_TIME: Duration = Duration::from_secs(30);
/// The shortest positive duration, used where a duration must not be zero.
const NANOSECOND: Duration = Duration::from_nanos(1);

/// The slow-start parameters, which all servers share.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowStart {
    floor: f64,
    duration: Duration,
    overload_multiple: f64,
    overload_after: Duration,
}

/// The load to fill the servers with; the same for all servers in one selection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FillTarget {
    /// This node's share of the connections that fill all serving servers.
    pub connections: f64,
    /// Sum of the nominal capacities of all serving servers.
    pub total_nominal: f64,
    /// The time, in nanoseconds, whose admissible requests may be sent now; see [`SlowStart::accrued_nanos`].
    pub accrued_nanos: f64,
}

/// The state of a server that its slow start depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerRamp {
    /// The fraction of its nominal capacity that the server has now; see [`SlowStart::capacity_factor`].
    pub capacity_factor: f64,
    /// Capacity relative to other servers.
    pub nominal: f64,
    /// The end of the server's recovery from overload.
    pub recovering_until: MonotonicTime,
    /// The time at which this node last sent an attempt to the server.
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

    /// Returns the fraction of its nominal capacity that a server has at `now`. It grows from the floor at the server's
    /// start to one at the end of the warm-up time. A start at zero means long ago.
    pub fn capacity_factor(&self, now: MonotonicTime, started_at: MonotonicTime) -> f64 {
        let age = now.saturating_duration_since(started_at);
        if started_at == MonotonicTime::ZERO || age >= self.duration {
            return 1.0;
        }
        self.floor + (1.0 - self.floor) * age.as_nanos_f64() / self.duration.as_nanos_f64()
    }

    /// Returns the fraction of this node's requests that a server admits now, per unit of its nominal capacity. It is
    /// infinite for a server that is neither warming up nor recovering.
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
        // The rate does not reflect a burst of arrivals yet, so requests to the server keep a minimum interval.
        let interval = (1.0 / (rate * server.nominal)).min(self.overload_after.as_nanos_f64());
        if now.saturating_duration_since(server.last_sent_at).as_nanos_f64() < interval {
            return 0.0;
        }
        rate * target.accrued_nanos
    }

    /// Returns the time, in nanoseconds, whose admissible requests may be sent to servers in slow start. It counts from
    /// this node's last selection, so that a burst of requests shares it, and is limited to about the time after which
    /// an overload makes a server fail. `setup_interval` is the unthrottled one of this node.
    pub fn accrued_nanos(
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
