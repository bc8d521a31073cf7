//! What one node of many may take of what all share, by the settings and by what it holds itself.
//!
//! What is harmless from one node is harmful from a hundred: nodes share nothing, so each keeps to a part
//! of the whole that the settings tell. Arithmetic alone: no clock, no random numbers, no I/O.

use crate::vocabulary::{Nanos, Settings};

/// Set-ups that all nodes together may make, over those that the tenants' shares allow: what they share,
/// such as the session ledger, takes eight times the usual rate.
const MOST: f64 = 8.0;
/// And so many at least, however many nodes there are.
const LEAST: f64 = 4.0;
/// What fills all servers, over what the shares allow them to hold: shares grant less than a fleet bears.
const FILLS: f64 = 2.0;
/// No gap is longer than this hour: settings come from outside, and a gap is doubled by those who use it.
const LONGEST: Nanos = 3_600_000_000_000;
/// What a server usually holds of one node's where the settings don't tell.
const USUAL: f64 = 20.0;

/// The fleet as the settings tell of it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fleet {
    nodes: f64,
    /// Connections that all may hold within the shares; zero where that is not told.
    open: f64,
    /// Set-ups a second that all may make together; zero where the shares are not told.
    setups: f64,
}

impl Fleet {
    /// From the settings; figures that cannot be right count as not told.
    pub fn new(settings: &Settings) -> Fleet {
        let told = |x: f64| if x.is_finite() && x > 0.0 { x } else { 0.0 };
        let longest = settings.classes.iter().map(|c| c.hard_limit).max().unwrap_or(0);
        let nodes = f64::from(settings.instances.max(1));
        Fleet {
            nodes,
            open: told(settings.quota_connections),
            setups: setups(nodes, told(settings.quota_setups_per_second), longest as f64 / 1e9),
        }
    }

    /// The part of all that nodes hold and want that is this one's, which holds and wants so many: an even
    /// part, or more where others are gone and theirs has come here.
    pub fn share(&self, here: usize) -> f64 {
        let even = 1.0 / self.nodes;
        let part = if self.open > 0.0 { here as f64 / self.open } else { 0.0 };
        part.clamp(even, 1.0)
    }

    /// Nanoseconds between this node's set-ups, which takes this part of its part, at which all nodes
    /// together make no more than what they share bears; zero, which is no limit, where the shares are not
    /// told or there is room.
    pub fn gap(&self, here: usize, part: Option<f64>) -> Nanos {
        let rate = self.setups * self.share(here) * part.unwrap_or(0.0);
        if rate > 0.0 {
            ((1e9 / rate) as Nanos).min(LONGEST)
        } else {
            0
        }
    }

    /// What one of so many servers usually holds of this node's, in connections.
    pub fn usual(&self, servers: usize) -> f64 {
        if self.open > 0.0 {
            self.open / self.nodes / servers.max(1) as f64
        } else {
            USUAL
        }
    }

    /// What fills all servers, counted as this node's part of it, in connections. Where the shares don't
    /// tell, what it holds stands for that.
    pub fn fills(&self, here: usize, held: u32) -> f64 {
        if self.open > 0.0 {
            FILLS * self.open * self.share(here)
        } else {
            f64::from(held.max(1))
        }
    }
}

/// Set-ups a second that all nodes may make, so many of them, by what the shares allow a second. Each that
/// has rested makes one at once, within the seconds that a client waits: that part is spent beforehand.
fn setups(nodes: f64, rate: f64, waits: f64) -> f64 {
    (MOST * rate - nodes / waits.max(0.1)).max(LEAST * rate)
}

#[cfg(test)]
mod tests {
    use super::*;

    const LARGE: Fleet = Fleet { nodes: 100.0, open: 500.0, setups: 40.0 };
    const SMALL: Fleet = Fleet { nodes: 3.0, open: 620.0, setups: 125.0 };
    const UNTOLD: Fleet = Fleet { nodes: 100.0, open: 0.0, setups: 0.0 };

    #[rstest::rstest]
    #[case(LARGE, 2, 0.01, 2_500_000_000)]
    // Where most are gone, a node has what was theirs.
    #[case(LARGE, 25, 0.05, 500_000_000)]
    #[case(LARGE, 9_999, 1.0, 25_000_000)]
    #[case(SMALL, 100, 1.0 / 3.0, 24_000_000)]
    #[case(UNTOLD, 50, 0.01, 0)]
    #[case(Fleet { setups: 1e-30, ..LARGE }, 2, 0.01, LONGEST)]
    fn a_share_is_even_or_what_is_here(
        #[case] fleet: Fleet,
        #[case] here: usize,
        #[case] share: f64,
        #[case] gap: Nanos,
    ) {
        assert_eq!((fleet.share(here), fleet.gap(here, Some(1.0))), (share, gap));
    }

    #[rstest::rstest]
    #[case(100.0, 10.0, 40.0)]
    #[case(3.0, 16.0, 125.5)]
    #[case(3.0, 0.0, 0.0)]
    fn many_nodes_leave_less_to_the_pace(#[case] nodes: f64, #[case] rate: f64, #[case] all: f64) {
        assert_eq!(setups(nodes, rate, 1.2), all);
    }

    /// Whatever nodes hold, all together make no more than twice the bound: each has the larger of two
    /// parts, and both add up to one.
    #[test]
    fn all_shares_together_are_bounded() {
        for spread in [1, 3, 10, 100] {
            let here = |node: usize| if node.is_multiple_of(spread) { 5 * spread } else { 0 };
            let all: f64 = (0..100).map(|node| LARGE.share(here(node))).sum();
            assert!((1.0..=2.1).contains(&all), "{all} with all held by one in {spread}");
        }
    }

    #[test]
    fn what_a_server_usually_holds_follows_the_number_of_nodes() {
        assert_eq!((LARGE.usual(10), UNTOLD.usual(10)), (0.5, USUAL));
        assert!((20.0..21.0).contains(&SMALL.usual(10)));
        assert_eq!((LARGE.fills(2, 2), UNTOLD.fills(2, 2)), (10.0, 2.0));
    }
}
