//! The Unix socket between an old process and its successor: whole messages, some with descriptors.

use rustix::fd::AsFd;
use rustix::io::Errno;
use rustix::net::{
    recvmsg, sendmsg, sockopt, AddressFamily, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags,
    ReturnFlags, SendAncillaryBuffer, SendAncillaryMessage, SendFlags, SocketAddrUnix, SocketFlags,
    SocketType,
};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::OwnedFd;
use std::path::Path;
use std::time::Duration;

/// The longest message, in octets: what is buffered for two sockets, in base64, and their state.
pub const MOST_MESSAGE: usize = 128 * 1024;
/// The most descriptors in one message.
pub const MOST_FDS: usize = 2;

/// A message as it is carried.
#[derive(Debug)]
pub struct FramedMessage {
    pub bytes: Vec<u8>,
    pub fds: Vec<OwnedFd>,
}

/// What became of a try to send or to receive.
#[derive(Debug)]
pub enum Carried<T> {
    Done(T),
    /// Not now.
    Later,
    /// The other side is gone, or what came is no message.
    Over,
}

/// Listens at a path for the successor of this process. Whatever was left there is replaced.
pub fn listen(path: &Path) -> io::Result<OwnedFd> {
    let fd = socket(SocketFlags::CLOEXEC | SocketFlags::NONBLOCK)?;
    match std::fs::remove_file(path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    rustix::net::bind(&fd, &SocketAddrUnix::new(path)?)?;
    rustix::fs::chmod(path, rustix::fs::Mode::RUSR | rustix::fs::Mode::WUSR)?;
    rustix::net::listen(&fd, 4)?;
    Ok(fd)
}

/// Takes in a successor that runs under our own user; none where nobody waits or it is somebody else.
pub fn accept(listener: impl AsFd) -> Option<OwnedFd> {
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let fd = rustix::net::accept_with(listener, flags).ok()?;
    let peer = sockopt::socket_peercred(&fd).ok()?;
    (peer.uid == rustix::process::geteuid()).then_some(fd)
}

/// Connects to the process that listens at a path. It blocks: a call of [`receive`] takes no longer than this.
pub fn connect(path: &Path, within: Duration) -> io::Result<OwnedFd> {
    let fd = socket(SocketFlags::CLOEXEC)?;
    sockopt::set_socket_timeout(&fd, sockopt::Timeout::Recv, Some(within))?;
    sockopt::set_socket_timeout(&fd, sockopt::Timeout::Send, Some(within))?;
    rustix::net::connect(&fd, &SocketAddrUnix::new(path)?)?;
    Ok(fd)
}

fn socket(flags: SocketFlags) -> io::Result<OwnedFd> {
    Ok(rustix::net::socket_with(AddressFamily::UNIX, SocketType::SEQPACKET, flags, None)?)
}

/// Sends one message, whole or not at all.
pub fn send(fd: impl AsFd, framed_message: &FramedMessage) -> Carried<()> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_FDS))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    let fds: Vec<_> = framed_message.fds.iter().map(|fd| fd.as_fd()).collect();
    if !fds.is_empty() && !control.push(SendAncillaryMessage::ScmRights(&fds)) {
        return Carried::Over;
    }
    loop {
        match sendmsg(&fd, &[IoSlice::new(&framed_message.bytes)], &mut control, SendFlags::NOSIGNAL) {
            Ok(_) => return Carried::Done(()),
            Err(Errno::INTR) => {}
            // The last: too many descriptors are on their way at once.
            Err(Errno::AGAIN | Errno::NOBUFS | Errno::TOOMANYREFS) => return Carried::Later,
            Err(_) => return Carried::Over,
        }
    }
}

/// Receives one message.
pub fn receive(fd: impl AsFd) -> Carried<FramedMessage> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_FDS))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut bytes = vec![0; MOST_MESSAGE];
    loop {
        let (mut parts, flags) = ([IoSliceMut::new(&mut bytes)], RecvFlags::CMSG_CLOEXEC);
        match recvmsg(&fd, &mut parts, &mut control, flags) {
            // Cut off: a descriptor may be lost, and with it a connection.
            Ok(came) if came.flags.intersects(ReturnFlags::TRUNC | ReturnFlags::CTRUNC) => {
                return Carried::Over
            }
            Ok(came) if came.bytes == 0 => return Carried::Over,
            Ok(came) => {
                let mut fds = Vec::new();
                for message in control.drain() {
                    if let RecvAncillaryMessage::ScmRights(passed) = message {
                        fds.extend(passed);
                    }
                }
                bytes.truncate(came.bytes);
                return Carried::Done(FramedMessage { bytes, fds });
            }
            Err(Errno::INTR) => {}
            Err(Errno::AGAIN) => return Carried::Later,
            Err(_) => return Carried::Over,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::{Read, Write};

    fn path(name: &str) -> std::path::PathBuf {
        std::env::temp_dir().join(format!("sparbank-channel-{}-{name}", std::process::id()))
    }

    #[test]
    fn a_message_arrives_whole_with_its_descriptors() {
        let path = path("whole");
        std::fs::write(&path, "left behind").expect("a file");
        let listener = listen(&path).expect("it listens");
        let theirs = connect(&path, Duration::from_secs(5)).expect("it connects");
        let ours = accept(&listener).expect("our own user");
        let _ = std::fs::remove_file(&path);
        assert!(matches!(receive(&ours), Carried::Later), "nothing yet");
        let (mut near, far) = std::os::unix::net::UnixStream::pair().expect("a pair");
        let framed_message = FramedMessage { bytes: vec![7; 100_000], fds: vec![OwnedFd::from(far)] };
        assert!(matches!(send(&ours, &framed_message), Carried::Done(())));
        drop(framed_message);
        let Carried::Done(mut came) = receive(&theirs) else { panic!("it came") };
        assert_eq!((came.bytes.len(), came.fds.len()), (100_000, 1));
        let mut far = std::os::unix::net::UnixStream::from(came.fds.remove(0));
        far.write_all(b"x").expect("it is open");
        drop(far);
        let mut said = Vec::new();
        near.read_to_end(&mut said).expect("it ends");
        assert_eq!(said, b"x");
        drop(ours);
        assert!(matches!(receive(&theirs), Carried::Over), "the other side is gone");
    }

    #[test]
    fn what_does_not_fit_waits_and_is_not_lost() {
        let path = path("full");
        let listener = listen(&path).expect("it listens");
        let theirs = connect(&path, Duration::from_secs(5)).expect("it connects");
        let ours = accept(&listener).expect("our own user");
        let _ = std::fs::remove_file(&path);
        let framed_message = |number: u8| FramedMessage { bytes: vec![number; 10_000], fds: Vec::new() };
        let sent =
            (0..).take_while(|n| matches!(send(&ours, &framed_message(*n)), Carried::Done(()))).count();
        assert!((1..200).contains(&sent), "{sent}");
        for number in 0..sent {
            let Carried::Done(came) = receive(&theirs) else { panic!("{number} came") };
            assert_eq!((came.bytes[0] as usize, came.bytes.len()), (number, 10_000));
        }
        assert!(matches!(send(&ours, &framed_message(0)), Carried::Done(())), "there is room again");
    }

    #[test]
    fn nobody_there_is_an_error_and_so_is_a_leftover() {
        let path = path("nobody");
        assert!(connect(&path, Duration::from_secs(1)).is_err());
        drop(listen(&path).expect("it listens"));
        assert!(path.exists(), "the path stays when a process is killed");
        assert!(connect(&path, Duration::from_secs(1)).is_err());
        drop(listen(&path).expect("it is replaced"));
        let _ = std::fs::remove_file(&path);
    }
}
