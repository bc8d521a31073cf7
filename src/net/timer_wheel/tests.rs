use super::{TimerWheel, SLOT_COUNT, TICK};

#[test]
fn no_timer_expires_early_and_a_far_one_waits_its_rounds() {
    let mut wheel = TimerWheel::new(7);
    let far = TICK * (SLOT_COUNT as u64 + 3);
    wheel.schedule(far, "far");
    wheel.schedule(TICK * 3 + 1, "near");
    assert!(wheel.take_expired(TICK * 4 - 1).is_empty());
    assert_eq!(wheel.take_expired(TICK * 4), ["near"]);
    assert!(wheel.take_expired(far - 1).is_empty());
    assert_eq!(wheel.take_expired(far), ["far"]);
}
