//! A proxy in front of the node's AMQP address: it passes octets on, and can fall silent or reset its connections.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// One connection through the proxy.
#[derive(Clone)]
pub struct ProxyConnection {
    client: Arc<TcpStream>,
    node: Arc<TcpStream>,
    /// Octets are not passed on in either direction.
    is_silent: Arc<AtomicBool>,
}

/// The proxy and its connections, in the order in which they were accepted.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    connections: Arc<Mutex<Vec<ProxyConnection>>>,
}

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, len: u32) -> i32;
}

/// Closing the connection afterwards resets it.
fn reset_on_close(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { on: 1, seconds: 0 };
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, 8) };
}

impl Proxy {
    /// Starts a proxy to this address.
    pub fn start(node: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let this = Proxy { address: listener.local_addr().expect("an address"), connections: Arc::default() };
        let connections = this.connections.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(node) = TcpStream::connect(node) else { continue };
                let _ = (client.set_nodelay(true), node.set_nodelay(true));
                let connection = ProxyConnection {
                    client: Arc::new(client),
                    node: Arc::new(node),
                    is_silent: Arc::default(),
                };
                connections.lock().unwrap().push(connection.clone());
                let ProxyConnection { client, node, is_silent } = connection;
                let silent = is_silent.clone();
                let (from, to) = (client.clone(), node.clone());
                std::thread::spawn(move || pass_on(&from, &to, &silent));
                std::thread::spawn(move || pass_on(&node, &client, &is_silent));
            }
        });
        this
    }

    /// The connection with this number.
    pub fn connection(&self, number: usize) -> ProxyConnection {
        self.connections.lock().unwrap()[number].clone()
    }
}

fn pass_on(mut from: &TcpStream, mut to: &TcpStream, is_silent: &AtomicBool) {
    let mut buffer = [0; 16 * 1024];
    loop {
        match from.read(&mut buffer) {
            Ok(count) if count > 0 => {
                if !is_silent.load(Ordering::SeqCst) && to.write_all(&buffer[..count]).is_err() {
                    return;
                }
            }
            _ => {
                if !is_silent.load(Ordering::SeqCst) {
                    let _ = to.shutdown(Shutdown::Write);
                }
                return;
            }
        }
    }
}

impl ProxyConnection {
    /// From now on nothing is passed on: the path is cut, and both sides stay open and silent.
    pub fn cut(&self) {
        self.is_silent.store(true, Ordering::SeqCst);
    }

    /// Resets the connection on the client's side.
    pub fn reset_client_side(&self) {
        reset(&self.client);
    }

    /// Resets the connection on the node's side.
    pub fn reset_node_side(&self) {
        reset(&self.node);
    }
}

/// Resets a connection whose socket the proxy's threads still hold: with a linger time of zero, and connected to
/// nothing, the kernel sends a reset.
fn reset(stream: &TcpStream) {
    extern "C" {
        fn connect(fd: i32, address: *const u16, len: u32) -> i32;
    }
    reset_on_close(stream);
    // Connecting to an address of the family "unspecified" disconnects a TCP socket with a reset.
    let unspecified = [0u16; 8];
    unsafe { connect(stream.as_raw_fd(), unspecified.as_ptr(), 16) };
}
