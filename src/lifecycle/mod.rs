//! What this process does with its clients: it serves, sends them away (drain), or leaves for good.
//!
//! Drain, resume, SIGTERM and the hand-over to a successor share one owner here: who is moved by when, what
//! still waits is answered by when, and when the process ends. No I/O; time comes as an argument.

use crate::vocabulary::Nanos;

/// How far apart the steps are in which standing clients are moved.
pub const MIGRATION_STEP_INTERVAL: Nanos = 25_000_000;
/// Clients are moved from this long on, while arrivals still come: moved earlier, they would come back here.
const MOVE_FROM: Nanos = 300_000_000;
/// A drained node holds nothing any more this long after the call.
const DRAINED_AFTER: Nanos = 4_000_000_000;
/// SIGKILL comes this long after SIGTERM, beside the longest deadline, of which no more counts than
/// `LONGEST`. It once came on a node that still counted on 3.7 s where the deadlines are 1.2 s.
const KILL_AFTER: Nanos = 700_000_000;
const LONGEST: Nanos = 3_000_000_000;
/// This long before either, all that stood has been told.
const TOLD_BEFORE: Nanos = 400_000_000;
/// This long before either, what still waits gets its answer: its deadline is over, or no time is left.
const ANSWERED_BEFORE: Nanos = 250_000_000;
/// This long before SIGKILL, the node ends, whoever has not yet read what it was told.
const ENDS_BEFORE: Nanos = 100_000_000;
/// A process whose successor serves waits so long for SIGTERM.
const WAITS_FOR_TERM: Nanos = 10_000_000_000;

/// When standing clients are moved, and when what waits is answered.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Moving {
    from: Nanos,
    told: Nanos,
    answered: Nanos,
}

impl Moving {
    fn until(now: Nanos, end: Nanos) -> Moving {
        let (told, answered) = (end - TOLD_BEFORE, end - ANSWERED_BEFORE);
        Moving { from: now + MOVE_FROM, told, answered }
    }

    /// Whichever is earlier holds.
    fn or_earlier(self, other: Option<Moving>) -> Moving {
        let Some(other) = other else { return self };
        Moving {
            from: self.from.min(other.from),
            told: self.told.min(other.told),
            answered: self.answered.min(other.answered),
        }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Phase {
    #[default]
    Serving,
    Draining(Moving),
    /// A successor serves in its place; it ends by itself then, if SIGTERM does not come before.
    HandedOver {
        moving: Moving,
        until: Nanos,
        drained: bool,
    },
    /// It ends then; nothing brings it back.
    Leaving {
        moving: Moving,
        end: Nanos,
        drained: bool,
        handed_over: bool,
    },
}

/// The process leaves and cannot take clients again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShuttingDownError;

/// What a step of moving asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MigrationStep {
    /// Arrivals have ended: clients are moved now.
    pub started: bool,
    /// So many standing clients are moved now.
    pub migrations: usize,
    /// What still waits and came before this gets its final answer now; nothing where it is zero.
    pub abandon_before: Nanos,
}

/// The lifecycle of this process.
#[derive(Clone, Debug, Default)]
pub struct Lifecycle {
    phase: Phase,
}

impl Lifecycle {
    /// Sends clients away from now on. False where it already does: a second call changes nothing.
    pub fn drain(&mut self, now: Nanos) -> bool {
        let moving = Moving::until(now, now + DRAINED_AFTER);
        match &mut self.phase {
            Phase::Serving => self.phase = Phase::Draining(moving),
            Phase::Leaving { moving: going, drained, .. }
            | Phase::HandedOver { moving: going, drained, .. }
                if !*drained =>
            {
                *going = going.or_earlier(Some(moving));
                *drained = true;
            }
            _ => return false,
        }
        true
    }

    /// Takes clients again. False where it never stopped.
    pub fn resume(&mut self) -> Result<bool, ShuttingDownError> {
        match self.phase {
            Phase::Serving => Ok(false),
            Phase::Draining(_) => {
                self.phase = Phase::Serving;
                Ok(true)
            }
            Phase::Leaving { .. } | Phase::HandedOver { .. } => Err(ShuttingDownError),
        }
    }

    /// A successor serves: what stands here is passed on to it, and what cannot be is moved, before SIGKILL
    /// could come if SIGTERM came now.
    pub fn hand_over(&mut self, now: Nanos, longest: Nanos) {
        let moving = Moving::until(now, now + longest.min(LONGEST) + KILL_AFTER);
        let until = now + WAITS_FOR_TERM;
        match &mut self.phase {
            Phase::Serving => self.phase = Phase::HandedOver { moving, until, drained: false },
            Phase::Draining(before) => {
                let moving = moving.or_earlier(Some(*before));
                self.phase = Phase::HandedOver { moving, until, drained: true };
            }
            Phase::HandedOver { .. } => {}
            Phase::Leaving { handed_over, .. } => *handed_over = true,
        }
    }

    /// The successor is gone: all is as it was before.
    pub fn successor_lost(&mut self, now: Nanos) {
        match &mut self.phase {
            Phase::HandedOver { drained, .. } => {
                let drained = std::mem::take(drained);
                self.phase = Phase::Serving;
                if drained {
                    self.drain(now);
                }
            }
            Phase::Leaving { handed_over, .. } => *handed_over = false,
            Phase::Serving | Phase::Draining(_) => {}
        }
    }

    /// SIGTERM: the process ends before SIGKILL comes, which the longest deadline tells. False where it
    /// leaves already.
    pub fn shut_down(&mut self, now: Nanos, longest: Nanos) -> bool {
        let kill = now + longest.min(LONGEST) + KILL_AFTER;
        let draining = match self.phase {
            Phase::Leaving { .. } => return false,
            Phase::Draining(moving) | Phase::HandedOver { moving, .. } => Some(moving),
            Phase::Serving => None,
        };
        let drained = !self.accepts_clients();
        let handed_over = matches!(self.phase, Phase::HandedOver { .. });
        let moving = Moving::until(now, kill).or_earlier(draining);
        self.phase = Phase::Leaving { moving, end: kill - ENDS_BEFORE, drained, handed_over };
        true
    }

    /// Whether the front that deals clients out is to send some here: what `PING` asks.
    pub fn accepts_clients(&self) -> bool {
        let (Phase::Leaving { drained, .. } | Phase::HandedOver { drained, .. }) = self.phase else {
            return matches!(self.phase, Phase::Serving);
        };
        !drained
    }

    /// Whether the process ends for good, or has a successor that serves.
    pub fn is_shutting_down(&self) -> bool {
        matches!(self.phase, Phase::Leaving { .. } | Phase::HandedOver { .. })
    }

    /// Whether the process is about to end: all that stood has been told, and what comes now is answered at once.
    pub fn is_closing(&self, now: Nanos) -> bool {
        matches!(self.phase, Phase::Leaving { moving, .. } if now >= moving.told)
    }

    /// What is to be done now for those that stand, so many. None where they stay.
    pub fn migration_step(&self, now: Nanos, standing: usize) -> Option<MigrationStep> {
        let (moving, leaves) = match self.phase {
            Phase::Serving => return None,
            Phase::Draining(moving) => (moving, false),
            Phase::Leaving { moving, .. } | Phase::HandedOver { moving, .. } => (moving, true),
        };
        if now < moving.from {
            return Some(MigrationStep::default());
        }
        let steps = moving.told.saturating_sub(now) / MIGRATION_STEP_INTERVAL;
        let migrations = standing.div_ceil(steps as usize + 1);
        // A drained node still serves whoever comes late, and moves it then; one that ends can't.
        let abandon_before = match now >= moving.answered {
            true if leaves => Nanos::MAX,
            true => moving.told,
            false => 0,
        };
        Some(MigrationStep { started: true, migrations, abandon_before })
    }

    /// Whether the process is to end now: all is told and nothing is open any more, or time is up.
    pub fn should_exit(&self, now: Nanos, idle: bool) -> bool {
        match self.phase {
            // With a successor nothing comes here any more.
            Phase::Leaving { moving, end, handed_over, .. } => {
                now >= end || (idle && (handed_over || now >= moving.told))
            }
            Phase::HandedOver { until, .. } => idle && now >= until,
            _ => false,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Nanos = 1_000_000;
    const S: Nanos = 1_000 * MS;

    /// Runs the steps from a time on and says when the last of so many was moved.
    fn all_moved(lifecycle: &Lifecycle, from: Nanos, mut standing: usize) -> Nanos {
        let mut now = from;
        while standing > 0 {
            now += MIGRATION_STEP_INTERVAL;
            let step = lifecycle.migration_step(now, standing).expect("they are moved");
            assert!(step.migrations <= standing && now < from + 10 * S);
            standing -= step.migrations;
        }
        now - from
    }

    #[rstest::rstest]
    #[case(1)]
    #[case(40)]
    #[case(1_000)]
    #[case(100_000)]
    fn a_drain_is_spread_over_its_time_and_over_well_before_its_end(#[case] standing: usize) {
        let mut lifecycle = Lifecycle::default();
        assert!(lifecycle.accepts_clients() && lifecycle.migration_step(S, standing).is_none());
        assert!(lifecycle.drain(S) && !lifecycle.accepts_clients());
        assert_eq!(
            lifecycle.migration_step(S + 299 * MS, standing),
            Some(MigrationStep::default()),
            "they would come back"
        );
        let took = all_moved(&lifecycle, S, standing);
        assert!(took <= 3_600 * MS, "{took}");
        let half = lifecycle.migration_step(S + 2 * S, standing).expect("a step").migrations;
        assert!(half <= standing.div_ceil(60), "{half} of {standing} in one step");
        assert!(!lifecycle.should_exit(100 * S, true), "a drained process stays");
        // Whoever comes to stand later is moved at the next step.
        assert_eq!(
            lifecycle.migration_step(60 * S, 7),
            Some(MigrationStep { started: true, migrations: 7, abandon_before: S + 3_600 * MS })
        );
    }

    #[test]
    fn a_second_call_changes_nothing_and_resume_ends_it_at_any_point() {
        let mut lifecycle = Lifecycle::default();
        assert_eq!(lifecycle.resume(), Ok(false));
        assert!(lifecycle.drain(S));
        let before = lifecycle.phase;
        assert!(!lifecycle.drain(3 * S));
        assert_eq!(lifecycle.phase, before);
        assert_eq!(lifecycle.resume(), Ok(true));
        assert!(lifecycle.accepts_clients() && lifecycle.migration_step(4 * S, 9).is_none());
        assert!(lifecycle.drain(10 * S));
        assert_eq!(
            lifecycle.migration_step(10 * S, 9),
            Some(MigrationStep::default()),
            "a new drain has its own time"
        );
    }

    #[rstest::rstest]
    // SIGTERM at 1 s ends at 2.8 s; a drain at 1 s would have told all at 4.6 s.
    #[case::term_in_a_drain(S, 2 * S, 2_500 * MS + S)]
    #[case::term_long_after_a_drain(S, 20 * S, 4_600 * MS)]
    #[case::drain_after_term(5 * S, S, 2_500 * MS)]
    fn the_earlier_end_holds(#[case] drain: Nanos, #[case] term: Nanos, #[case] told: Nanos) {
        let mut lifecycle = Lifecycle::default();
        if drain < term {
            assert!(lifecycle.drain(drain) && lifecycle.shut_down(term, 1_200 * MS));
        } else {
            assert!(lifecycle.shut_down(term, 1_200 * MS) && lifecycle.drain(drain));
        }
        assert!(!lifecycle.shut_down(term + 1, 0) && !lifecycle.accepts_clients());
        assert_eq!(lifecycle.resume(), Err(ShuttingDownError));
        assert!(!lifecycle.should_exit(told - 1, true));
        assert!(lifecycle.should_exit(told.max(term), true));
        assert!(
            !lifecycle.should_exit(term + 1_799 * MS, false)
                && lifecycle.should_exit(term + 1_800 * MS, false)
        );
    }

    #[rstest::rstest]
    #[case::serving(false)]
    #[case::drained(true)]
    fn with_a_successor_it_ends_at_sigterm_and_without_one_all_is_as_before(#[case] drained: bool) {
        let mut lifecycle = Lifecycle::default();
        if drained {
            lifecycle.drain(S);
        }
        lifecycle.hand_over(2 * S, 1_200 * MS);
        assert_eq!((lifecycle.accepts_clients(), lifecycle.is_shutting_down()), (!drained, true));
        assert_eq!(lifecycle.resume(), Err(ShuttingDownError));
        // What cannot be passed on is moved, and it waits for SIGTERM, but not for ever.
        assert!(all_moved(&lifecycle, 2 * S, 100) <= 1_500 * MS);
        assert!(!lifecycle.should_exit(11 * S, true) && lifecycle.should_exit(12 * S, true));
        let mut alone = lifecycle.clone();
        alone.successor_lost(3 * S);
        assert_eq!((alone.accepts_clients(), alone.is_shutting_down()), (!drained, false));
        assert!(!alone.should_exit(60 * S, true));
        assert!(lifecycle.shut_down(3 * S, 1_200 * MS));
        assert!(lifecycle.should_exit(3 * S, true), "nothing comes any more");
        assert!(!lifecycle.should_exit(4 * S, false) && lifecycle.should_exit(4_800 * MS, false));
        // It dies after SIGTERM: what comes until the end is served here again.
        lifecycle.successor_lost(3_100 * MS);
        assert!(lifecycle.is_shutting_down() && !lifecycle.should_exit(3_200 * MS, true));
    }

    #[rstest::rstest]
    #[case(1_200 * MS, 1_900 * MS)]
    #[case(60 * S, 3_700 * MS)]
    fn sigterm_answers_and_moves_before_sigkill(#[case] longest: Nanos, #[case] kill: Nanos) {
        let mut lifecycle = Lifecycle::default();
        assert!(lifecycle.shut_down(S, longest) && lifecycle.accepts_clients(), "arrivals still come");
        assert!(all_moved(&lifecycle, S, 500) <= kill - 400 * MS);
        let answers = |ms| lifecycle.migration_step(S + kill - ms * MS, 0).expect("a step").abandon_before;
        assert_eq!((answers(251), answers(250)), (0, Nanos::MAX));
        assert!(lifecycle.should_exit(S + kill - 100 * MS, false));
    }
}
