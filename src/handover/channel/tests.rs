//! Messages and descriptors over a real Unix socket.

use super::{accept, connect, listen, receive, send, ChannelError, FramedMessage};
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
    std::fs::write(&path, "left behind").expect("a file");
    let listener = listen(&path).expect("it listens");
    let theirs = connect(&path, Duration::from_secs(5)).expect("it connects");
    let ours = accept(&listener).expect("our own user");
    let _ = std::fs::remove_file(&path);
    assert!(matches!(receive(&ours), Err(ChannelError::WouldBlock)), "nothing yet");
    let (mut near, far) = std::os::unix::net::UnixStream::pair().expect("a pair");
    let message = FramedMessage { bytes: vec![7; 100_000], fds: vec![OwnedFd::from(far)] };
    assert!(send(&ours, &message).is_ok());
    drop(message);
    let mut received = receive(&theirs).expect("a message");
    assert_eq!((received.bytes.len(), received.fds.len()), (100_000, 1));
    let mut far = std::os::unix::net::UnixStream::from(received.fds.remove(0));
    far.write_all(b"x").expect("it is open");
    drop(far);
    let mut said = Vec::new();
    near.read_to_end(&mut said).expect("it ends");
    assert_eq!(said, b"x");
    drop(ours);
    assert!(matches!(receive(&theirs), Err(ChannelError::Closed)), "the other side is gone");
}

#[test]
fn a_full_socket_would_block_and_loses_nothing() {
    let path = path("full");
    let listener = listen(&path).expect("it listens");
    let theirs = connect(&path, Duration::from_secs(5)).expect("it connects");
    let ours = accept(&listener).expect("our own user");
    let _ = std::fs::remove_file(&path);
    let message = |number: u8| FramedMessage { bytes: vec![number; 10_000], fds: Vec::new() };
    let sent = (0..).take_while(|n| send(&ours, &message(*n)).is_ok()).count();
    assert!((1..200).contains(&sent), "{sent}");
    for number in 0..sent {
        let received = receive(&theirs).unwrap_or_else(|_| panic!("message {number}"));
        assert_eq!((received.bytes[0] as usize, received.bytes.len()), (number, 10_000));
    }
    assert!(send(&ours, &message(0)).is_ok(), "there is room again");
}

#[test]
fn connecting_to_no_process_or_a_leftover_path_is_an_error() {
    let path = path("nobody");
    assert!(connect(&path, Duration::from_secs(1)).is_err());
    drop(listen(&path).expect("it listens"));
    assert!(path.exists(), "the path stays when a process is killed");
    assert!(connect(&path, Duration::from_secs(1)).is_err());
    drop(listen(&path).expect("it is replaced"));
    let _ = std::fs::remove_file(&path);
}
