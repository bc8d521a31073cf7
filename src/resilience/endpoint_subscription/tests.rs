use super::EndpointSubscription;
use crate::model::{Discovery, ListKind, Settings};
use std::time::Duration;

#[test]
fn only_the_last_scheduled_poll_is_due_and_none_while_subscribed() {
    let poll_within = Duration::from_nanos(1_600);
    let settings = Settings { discovery: Discovery::Polled, poll_within, ..Settings::default() };
    let mut subscription = EndpointSubscription::default();
    assert!(!subscription.on_list(ListKind::Failed), "there was no subscription to lose");
    let first = subscription.schedule_poll(ListKind::Failed, &settings).expect("a poll");
    let second = subscription.schedule_poll(ListKind::Failed, &settings).expect("a poll");
    assert_eq!([first.max_delay, second.max_delay], [100, 200].map(Duration::from_nanos));
    assert!(!subscription.is_poll_due(first.token) && subscription.is_poll_due(second.token));
    assert!(!subscription.on_list(ListKind::Full));
    assert!(!subscription.is_poll_due(second.token), "subscribed");
    assert_eq!(subscription.schedule_poll(ListKind::Full, &settings), None);
    assert!(subscription.on_list(ListKind::Failed), "the subscription is lost");
    let third = subscription.schedule_poll(ListKind::Failed, &settings).expect("a poll");
    assert_eq!(third.max_delay, Duration::from_nanos(100), "the backoff restarts from its base");
}

#[test]
fn pushed_lists_are_not_polled() {
    let settings = Settings { discovery: Discovery::Pushed, ..Settings::default() };
    let mut subscription = EndpointSubscription::default();
    assert_eq!(subscription.schedule_poll(ListKind::Failed, &settings), None);
}
