//! Crossings of discovery's list, forced over loopback: what was told is acted on, whatever else happens then.

mod peers;

use peers::*;
use rstest::rstest;

/// Where lists are pushed, they wait at the machine's agent: a node that asked for none would never hear of a drain.
#[rstest]
fn where_lists_are_pushed_the_node_opens_a_watch_and_opens_it_anew() {
    let pushed = |text: &str| {
        assert!(text.contains(r#""Discovery":"ask""#));
        text.replace(r#""Discovery":"ask""#, r#""Discovery":"push""#)
            .replace(r#""AskWithinNs":1600000000,"#, "")
    };
    let mut bench = Bench::with_args(vec![listener(), listener()], None, &[], pushed);
    let mut watch = bench.watch();
    bench.change(&mut watch, 0, "draining");
    drop(watch);
    // The watch that broke is opened anew, and by then the drain is known.
    let mut watch = bench.watch();
    for number in 0..6 {
        let mut client = bench.terminal(&open(number));
        let (at, mut attempt) = accept_any(&bench.regions);
        assert_eq!(at, 1, "nothing new goes to the one that drains");
        attempt.line();
        attempt.say("UP r1\r\n");
        assert_eq!(client.line(), "UP r1");
    }
    bench.lists(&mut watch, false, "");
}
