use super::{TimerWheel, SLOT_COUNT, TICK};
use sparbank_time::MonotonicTime;
use std::time::Duration;

const NANOSECOND: Duration = Duration::from_nanos(1);

fn at(since_origin: Duration) -> MonotonicTime {
    MonotonicTime::ZERO + since_origin
}

#[test]
fn no_timer_expires_early_and_a_distant_one_waits_several_revolutions() {
    let mut wheel = TimerWheel::new(MonotonicTime::from_nanos(7));
    let far = at(TICK * (SLOT_COUNT as u32 + 3));
    wheel.schedule(far, "far");
    wheel.schedule(at(TICK * 3 + NANOSECOND), "near");
    assert!(wheel.take_expired(at(TICK * 4 - NANOSECOND)).is_empty());
    assert_eq!(wheel.take_expired(at(TICK * 4)), ["near"]);
    assert!(wheel.take_expired(far - NANOSECOND).is_empty());
    assert_eq!(wheel.take_expired(far), ["far"]);
}
