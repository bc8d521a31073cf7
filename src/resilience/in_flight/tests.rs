use super::InFlight;
use crate::model::RequestId;

#[test]
fn a_group_is_counted_while_any_of_its_requests_is_in_flight() {
    let mut in_flight = InFlight::default();
    in_flight.insert(RequestId(2), Some(7));
    in_flight.insert(RequestId(1), Some(7));
    in_flight.insert(RequestId(3), None);
    assert_eq!(in_flight.ids().collect::<Vec<_>>(), [RequestId(1), RequestId(2), RequestId(3)]);
    assert_eq!(
        (in_flight.groups_with(Some(7)), in_flight.groups_with(Some(8)), in_flight.groups_with(None)),
        (1, 2, 1)
    );
    assert!(in_flight.remove(RequestId(1), Some(7)));
    assert!(!in_flight.remove(RequestId(1), Some(7)), "it is no longer in flight");
    assert_eq!(in_flight.groups_with(None), 1);
    assert!(in_flight.remove(RequestId(2), Some(7)));
    assert_eq!((in_flight.groups_with(None), in_flight.len()), (0, 1));
}
