//! Messages and descriptors on a real Unix socket.

use super::{accept, connect, listen, receive, send, ChannelError, EncodedMessage};
use std::io::{Read, Write};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::time::Duration;

fn path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("sparbank-channel-{}-{name}", std::process::id()))
}

#[test]
fn a_message_arrives_complete_with_its_descriptors() {
    let path = path("complete");
    std::fs::write(&path, "stale file").expect("a file");
    let listener = listen(&path).expect("listening");
    let successor_end = connect(&path, Duration::from_secs(5)).expect("connected");
    let predecessor_end = accept(&listener).expect("same user");
    let _ = std::fs::remove_file(&path);
    assert!(matches!(receive(&predecessor_end), Err(ChannelError::WouldBlock)), "no message yet");
    let (mut near, far) = std::os::unix::net::UnixStream::pair().expect("a pair");
    let message = EncodedMessage { bytes: vec![7; 100_000], fds: vec![OwnedFd::from(far)] };
    assert!(send(&predecessor_end, &message).is_ok());
    drop(message);
    let mut received = receive(&successor_end).expect("a message");
    assert_eq!((received.bytes.len(), received.fds.len()), (100_000, 1));
    let mut far = std::os::unix::net::UnixStream::from(received.fds.remove(0));
    far.write_all(b"x").expect("the received descriptor is open");
    drop(far);
    let mut output = Vec::new();
    near.read_to_end(&mut output).expect("the other end is closed");
    assert_eq!(output, b"x");
    drop(predecessor_end);
    assert!(matches!(receive(&successor_end), Err(ChannelError::Closed)), "the other end is closed");
}

#[test]
fn a_full_socket_reports_would_block_and_loses_no_message() {
    let path = path("full");
    let listener = listen(&path).expect("listening");
    let successor_end = connect(&path, Duration::from_secs(5)).expect("connected");
    let predecessor_end = accept(&listener).expect("same user");
    let _ = std::fs::remove_file(&path);
    let message = |number: u8| EncodedMessage { bytes: vec![number; 10_000], fds: Vec::new() };
    let sent = (0..).take_while(|n| send(&predecessor_end, &message(*n)).is_ok()).count();
    assert!((1..200).contains(&sent), "{sent}");
    for number in 0..sent {
        let received = receive(&successor_end).unwrap_or_else(|_| panic!("message {number}"));
        assert_eq!((received.bytes[0] as usize, received.bytes.len()), (number, 10_000));
    }
    assert!(send(&predecessor_end, &message(0)).is_ok(), "there is space again");
}

#[test]
fn connecting_to_a_missing_or_stale_socket_is_an_error() {
    let path = path("stale");
    assert!(connect(&path, Duration::from_secs(1)).is_err());
    drop(listen(&path).expect("listening"));
    assert!(path.exists(), "a killed process leaves its socket file behind");
    assert!(connect(&path, Duration::from_secs(1)).is_err());
    drop(listen(&path).expect("the stale socket is replaced"));
    let _ = std::fs::remove_file(&path);
}
