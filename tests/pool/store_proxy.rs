//! TCP proxy between a front and the store, which can refuse connections or let them go silent.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// TCP proxy to the store for one front. While it is cut, that front cannot reach the store and other fronts can.
pub(crate) struct StoreProxy {
    pub(crate) address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<ProxiedConnection>>>,
}

/// One connection through the proxy.
struct ProxiedConnection {
    caller: TcpStream,
    target: TcpStream,
    /// Set when data is no longer forwarded although both ends stay open.
    is_silent: Arc<AtomicBool>,
}

impl StoreProxy {
    /// Starts a proxy to the store at this address.
    pub(crate) fn start(store: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binding to port 0 must succeed");
        let proxy = Self {
            address: listener
                .local_addr()
                .expect("a bound socket has an address"),
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
                open.lock()
                    .expect("the lock must not be poisoned")
                    .push(ProxiedConnection {
                        caller,
                        target,
                        is_silent,
                    });
            }
        });
        proxy
    }

    /// Closes all connections, and closes each new one at once.
    pub(crate) fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        for stream in self
            .open
            .lock()
            .expect("the lock must not be poisoned")
            .drain(..)
        {
            // Errors mean that the stream is closed already.
            let _ = stream.caller.shutdown(Shutdown::Both);
            let _ = stream.target.shutdown(Shutdown::Both);
        }
    }

    /// Stops forwarding on all connections that are open now, without closing them. New connections work.
    pub(crate) fn silence_open_connections(&self) {
        for stream in &*self.open.lock().expect("the lock must not be poisoned") {
            stream.is_silent.store(true, Ordering::SeqCst);
        }
    }

    /// Accepts new connections again after [`Self::cut`].
    pub(crate) fn restore(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
    }
}

/// Forwards both directions until one end closes, and then closes the other end. On a silent connection, data is
/// dropped and the other end stays open.
fn forward_both_ways(one: &TcpStream, other: &TcpStream, is_silent: &Arc<AtomicBool>) {
    for (from, to) in [(one, other), (other, one)] {
        let mut from = from.try_clone().expect("the stream must be cloned");
        let mut to = to.try_clone().expect("the stream must be cloned");
        let is_silent = is_silent.clone();
        std::thread::spawn(move || {
            // An error means that one end has closed.
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
