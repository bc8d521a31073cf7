use super::Sessions;
use crate::frontend::text::request_line::OpenRequest;
use crate::frontend::text::session::{AttemptState, Session, SessionState};
use crate::model::{RequestId, ServerId};
use crate::net::Token;
use sparbank_time::MonotonicTime;

const REQUEST: RequestId = RequestId(7);

fn client() -> Token {
    Token::for_tests(1)
}

fn attempt_on(server_connection: Token) -> AttemptState {
    AttemptState { server_connection, deadline: MonotonicTime::MAX, line_sent: false }
}

/// A session with a request and an attempt on this connection.
fn sessions_with_attempt(server_connection: Token) -> Sessions {
    let mut sessions = Sessions::default();
    sessions.insert(client(), Session::with_request(OpenRequest::for_tests("a"), REQUEST));
    sessions.set_attempt(client(), ServerId(3), attempt_on(server_connection));
    sessions
}

#[test]
fn a_session_is_found_through_each_index() {
    let server_connection = Token::for_tests(2);
    let sessions = sessions_with_attempt(server_connection);
    assert!(sessions.contains(client()) && sessions.has_request_with_id("a"));
    assert_eq!(sessions.client_of_request(REQUEST), Some(client()));
    assert_eq!(sessions.client_of_server_connection(server_connection), Some(client()));
    let session = sessions.get(client()).expect("a session");
    assert_eq!((session.request_id(), session.server()), (REQUEST, Some(ServerId(3))));
}

#[test]
fn a_connection_of_an_ended_attempt_belongs_to_no_session() {
    let (first, second) = (Token::for_tests(2), Token::for_tests(3));
    let mut sessions = sessions_with_attempt(first);
    let ended = sessions.take_attempt(client()).expect("a session");
    assert!(matches!(ended, SessionState::Attempting(attempt) if attempt.server_connection == first));
    assert_eq!(sessions.client_of_server_connection(first), None);
    sessions.set_attempt(client(), ServerId(4), attempt_on(second));
    assert_eq!(sessions.client_of_server_connection(second), Some(client()));
    assert_eq!(sessions.client_of_request(REQUEST), Some(client()), "the request waits for another attempt");
}

#[test]
fn a_removed_session_is_found_through_no_index() {
    let server_connection = Token::for_tests(2);
    let mut sessions = sessions_with_attempt(server_connection);
    let removed = sessions.remove(client()).expect("a session");
    assert_eq!(
        removed.server_connection(),
        Some(server_connection),
        "the caller closes the connection to the server"
    );
    assert!(sessions.is_empty() && !sessions.contains(client()) && !sessions.has_request_with_id("a"));
    assert_eq!(sessions.client_of_request(REQUEST), None);
    assert_eq!(sessions.client_of_server_connection(server_connection), None);
    assert!(sessions.remove(client()).is_none());
}
