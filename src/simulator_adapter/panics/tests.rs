//! Unit tests of catching panics of the balancer.

use super::*;

#[test]
fn a_panic_in_a_decision_is_reported_with_its_message_and_location() {
    capture_panic_messages();
    let empty: Vec<u32> = Vec::new();
    let panic = catch_panic(|_| assert_eq!(empty[1], 0)).expect_err("index out of bounds panics");
    let message = panic.to_string();
    assert!(
        message.contains("src/simulator_adapter") && message.contains("index out of bounds"),
        "{message}"
    );
    assert_eq!(catch_panic(|actions| actions.push(Action::Subscribe)), Ok(vec![Action::Subscribe]));
}
