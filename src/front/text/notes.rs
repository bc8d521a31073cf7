//! What a region's `LOAD X` says on one connection.
//!
//! Where the settings tell loads, `LOAD X` is the connection's load, in microseconds of work a second,
//! sent whenever it changes. Where they also tell the delay of messages, that note comes as `LOAD X`
//! too, in milliseconds, with no other word for it (the standing test's page). A delay note comes once a
//! second for as long as the delay is worth telling, so it falls one second after the note before it; a
//! load changes every few seconds at random. A note on that beat is a delay, and so was the
//! one before it, where that began the run and was taken for a load until then. Off the beat, a note is
//! read as what it is nearer to in ratio: the class's aim for a message, in milliseconds, or the load told
//! last, in microseconds. Where delays are not told every note is a load.

use crate::interface::Nanos;

const SECOND: Nanos = 1_000_000_000;
/// How far from a whole second a note may fall and still be on the beat: a tick of the feed servers'
/// clock, 5 ms, and as much again for the way.
const SLACK: Nanos = 10_000_000;
/// Beats that may be missed while the delay is too small to tell: none. Loads that changed together at the
/// start of a day of the second deployment fell two seconds after the notes before them.
const MOST_BEATS: u64 = 1;

/// What one note says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// The connection's load now, in nanoseconds of work a second.
    Load(Nanos),
    /// Messages at the region take this long, in nanoseconds. `load` is the connection's load from before
    /// the note that began this run, where that note was taken for a load: None where nothing changes.
    Delay { delay: Nanos, load: Option<Option<Nanos>> },
}

/// The notes of one connection to one region. Bounded: three numbers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Notes {
    /// When the last note came, and whether it was read as a delay.
    last: Option<(Nanos, bool)>,
    /// The load before the last note, in case that note was a delay.
    before: Option<Nanos>,
}

impl Notes {
    /// Reads the text after `LOAD ` that came at `now` (ns). `aim`: the class's aim for a message (ns) where
    /// the settings say that delays are told, else None; `load`: the load told last (ns a second). None for
    /// text that is no load: the caller passes the line on and tells nothing.
    pub fn read(&mut self, now: Nanos, text: &str, aim: Option<Nanos>, load: Option<Nanos>) -> Option<Note> {
        let value: f64 = text.trim().parse().ok().filter(|v: &f64| v.is_finite() && *v >= 0.0)?;
        let beat = self.last.is_some_and(|(at, _)| on_beat(now.saturating_sub(at)));
        let began = self.last.is_some_and(|(_, delay)| !delay);
        // Off the beat, the nearer reading in ratio: to the aim in milliseconds, or to the last load.
        let nearer = |aim: Nanos, load: Nanos| value * value < aim as f64 / 1e6 * (load as f64 / 1e3);
        let delay = aim.is_some_and(|aim| beat || load.is_some_and(|load| nearer(aim, load)));
        if delay {
            self.last = Some((now, true));
            let load = (beat && began).then_some(self.before);
            return Some(Note::Delay { delay: (value * 1e6) as Nanos, load });
        }
        let cost = super::first_line::load(text.trim())?;
        (self.last, self.before) = (Some((now, false)), load);
        Some(Note::Load(cost))
    }
}

/// Whether a span is a whole number of seconds, up to `MOST_BEATS`, within the slack.
fn on_beat(span: Nanos) -> bool {
    let beats = (span + SECOND / 2) / SECOND;
    (1..=MOST_BEATS).contains(&beats) && span.abs_diff(beats * SECOND) <= SLACK
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const MS: Nanos = 1_000_000;

    /// As seen on a day of the standing test (aim 100 ms): a load right after `UP`, a delay that reads as
    /// a load, then delays once a second, a pause, a load at a moment of its own, and a delay far below it.
    #[test]
    fn delays_on_the_beat_or_nearer_the_aim_loads_else() {
        let mut notes = Notes::default();
        let aim = Some(100 * MS);
        let mut read = |at: Nanos, text: &str, load| notes.read(at * MS, text, aim, load);
        assert_eq!(read(28, "2727", None), Some(Note::Load(2_727_000)));
        assert_eq!(read(528, "665", Some(2_727_000)), Some(Note::Load(665_000)), "nearer a load, no beat");
        let began = Note::Delay { delay: 905 * MS, load: Some(Some(2_727_000)) };
        assert_eq!(read(1_528, "905", Some(665_000)), Some(began), "the note before was a delay too");
        assert_eq!(read(2_532, "1198", Some(2_727_000)), Some(Note::Delay { delay: 1198 * MS, load: None }));
        assert_eq!(read(5_528, "40", Some(2_727_000)), Some(Note::Delay { delay: 40 * MS, load: None }));
        assert_eq!(read(8_100, "14045", Some(2_727_000)), Some(Note::Load(14_045_000)));
        assert_eq!(read(14_100, "30", Some(14_045_000)), Some(Note::Delay { delay: 30 * MS, load: None }));
        assert_eq!(read(20_777, "9000", Some(14_045_000)), Some(Note::Load(9_000_000)), "six s: no beat");
    }

    /// As seen on a day of the second deployment: loads that changed together two seconds after the start.
    #[test]
    fn a_load_two_seconds_after_the_last_is_a_load() {
        let mut notes = Notes::default();
        assert_eq!(notes.read(220 * MS, "47897", Some(60 * MS), None), Some(Note::Load(47_897_000)));
        let later = notes.read(2_210 * MS, "32428", Some(60 * MS), Some(47_897_000));
        assert_eq!(later, Some(Note::Load(32_428_000)));
    }

    #[test]
    fn where_delays_are_not_told_every_note_is_a_load_and_bad_text_none() {
        let mut notes = Notes::default();
        assert_eq!(notes.read(0, "10", None, Some(50_000_000)), Some(Note::Load(10_000)));
        assert_eq!(notes.read(SECOND, "12", None, Some(10_000)), Some(Note::Load(12_000)));
        let bad =
            ["", "x", "-1", "NaN", "inf", "1e400"].map(|bad| notes.read(2 * SECOND, bad, Some(SECOND), None));
        assert_eq!(bad, [None; 6]);
    }

    proptest! {
        /// Notes a whole second apart are delays from the second on, whatever their values; notes more
        /// than a slack off the beat are loads.
        #[test]
        fn the_beat_decides(values in prop::collection::vec(0u32..100_000, 2..20), off in 11u64..480) {
            let mut notes = Notes::default();
            for (n, v) in values.iter().enumerate() {
                let note = notes.read(n as Nanos * SECOND, &v.to_string(), Some(100 * MS), None);
                prop_assert_eq!(matches!(note, Some(Note::Delay { .. })), n > 0);
            }
            let mut notes = Notes::default();
            for (n, v) in values.iter().enumerate() {
                let at = n as Nanos * (SECOND + off * MS);
                let note = notes.read(at, &v.to_string(), Some(100 * MS), None);
                prop_assert_eq!(note, Some(Note::Load(Nanos::from(*v) * 1_000)));
            }
        }
    }
}
