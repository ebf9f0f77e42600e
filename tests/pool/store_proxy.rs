//! Ways to the store of a played site that can be cut, or go silent.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// A way to the store that can be cut: a front behind it is refused while others are served.
pub(crate) struct StoreProxy {
    pub(crate) address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<ProxiedConnection>>>,
}

/// One connection through a relay.
struct ProxiedConnection {
    caller: TcpStream,
    target: TcpStream,
    /// Set when nothing passes any more, though both ends stay open.
    is_silent: Arc<AtomicBool>,
}

impl StoreProxy {
    /// Starts a way to the store at this address.
    pub(crate) fn start(store: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let proxy = Self {
            address: listener.local_addr().expect("it has an address"),
            is_cut: Arc::default(),
            open: Arc::default(),
        };
        let (is_cut, open) = (proxy.is_cut.clone(), proxy.open.clone());
        std::thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                if is_cut.load(Ordering::SeqCst) {
                    continue;
                }
                let Ok(target) = TcpStream::connect(store) else {
                    continue;
                };
                let is_silent = Arc::default();
                forward_both_ways(&caller, &target, &is_silent);
                open.lock().expect("unpoisoned").push(ProxiedConnection {
                    caller,
                    target,
                    is_silent,
                });
            }
        });
        proxy
    }

    /// Closes all connections, and each new one at once.
    pub(crate) fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        for stream in self.open.lock().expect("unpoisoned").drain(..) {
            // Streams that are closed already need nothing.
            let _ = stream.caller.shutdown(Shutdown::Both);
            let _ = stream.target.shutdown(Shutdown::Both);
        }
    }

    /// Nothing passes on the connections that are open now, and none of them is closed; new ones work.
    pub(crate) fn silence_open_connections(&self) {
        for stream in &*self.open.lock().expect("unpoisoned") {
            stream.is_silent.store(true, Ordering::SeqCst);
        }
    }

    /// New connections pass again.
    pub(crate) fn restore(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
    }
}

/// Copies both ways until one end closes; what arrives after the silence began is lost.
fn forward_both_ways(one: &TcpStream, other: &TcpStream, is_silent: &Arc<AtomicBool>) {
    for (from, to) in [(one, other), (other, one)] {
        let mut from = from.try_clone().expect("a stream has copies");
        let mut to = to.try_clone().expect("a stream has copies");
        let is_silent = is_silent.clone();
        std::thread::spawn(move || {
            // Either end may close at any time; then both do.
            let _ = copy_unless_silent(&mut from, &mut to, &is_silent);
            if !is_silent.load(Ordering::SeqCst) {
                let _ = to.shutdown(Shutdown::Both);
            }
        });
    }
}

fn copy_unless_silent(
    from: &mut TcpStream,
    to: &mut TcpStream,
    is_silent: &AtomicBool,
) -> std::io::Result<()> {
    let mut buffer = [0; 16 << 10];
    loop {
        let length = from.read(&mut buffer)?;
        if length == 0 {
            return Ok(());
        }
        if !is_silent.load(Ordering::SeqCst) {
            to.write_all(&buffer[..length])?;
        }
    }
}
