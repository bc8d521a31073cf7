use super::{AwaitingClients, TooManyPings, MAX_PINGS};
use crate::net::Token;

#[test]
fn pings_are_limited_per_connection() {
    let mut awaiting = AwaitingClients::default();
    let (client, inherited) = (Token::for_tests(1), Token::for_tests(2));
    awaiting.insert(client, 0);
    awaiting.insert(inherited, MAX_PINGS - 1);
    for _ in 0..MAX_PINGS {
        assert_eq!(awaiting.count_ping(client), Ok(()));
    }
    assert_eq!(awaiting.count_ping(client), Err(TooManyPings));
    assert_eq!(awaiting.count_ping(inherited), Ok(()));
    assert_eq!(awaiting.count_ping(inherited), Err(TooManyPings));
    assert_eq!(awaiting.remove(client), Some(MAX_PINGS));
    assert_eq!(awaiting.count_ping(client), Err(TooManyPings), "the connection was removed");
}
