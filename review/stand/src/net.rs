//! The network between the machines. Loopback knows no partitions, so each machine reaches each
//! front through a proxy of its own pair, which can be cut.
//!
//! A front with number F listens at 127.50.1.(F+1). Machine M reaches it at 127.(60+M).1.(F+1),
//! where the pair's proxy listens. As behind address translation, the texts of these addresses are
//! translated where they pass from one machine to another; nothing else is changed.

use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub fn real(front: usize, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 50, 1, front as u8 + 1)), port)
}

/// Address at which machine `machine` reaches front `front`. Fronts are the first machines.
pub fn view(machine: usize, front: usize, port: u16) -> SocketAddr {
    if machine == front {
        return real(front, port);
    }
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 60 + machine as u8, 1, front as u8 + 1)), port)
}

/// Translates the addresses of fronts in `bytes` to those that `machine` uses; `None` for the
/// addresses at which the fronts listen. All these texts have the same length.
fn translate(bytes: &mut [u8], machine: Option<usize>) {
    let mut at = 0;
    while at + 10 <= bytes.len() {
        let window = &bytes[at..at + 10];
        let is_address = window.starts_with(b"127.")
            && window[4].is_ascii_digit()
            && window[5].is_ascii_digit()
            && &window[6..9] == b".1."
            && window[9].is_ascii_digit();
        if is_address {
            let net = usize::from(window[4] - b'0') * 10 + usize::from(window[5] - b'0');
            let front = usize::from(window[9] - b'1');
            if net >= 50 {
                let net = match machine {
                    Some(machine) if machine != front => 60 + machine,
                    _ => 50,
                };
                bytes[at + 4] = b'0' + (net / 10) as u8;
                bytes[at + 5] = b'0' + (net % 10) as u8;
            }
        }
        at += 1;
    }
}

/// Translates the owner's address in the rows of the owner; other rows hold no address of a front.
pub fn translate_value(table: &str, mut value: Vec<u8>, machine: Option<usize>) -> Vec<u8> {
    if table == "owner" {
        translate(&mut value, machine);
    }
    value
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Nothing passes and nothing is answered.
    Silent,
    /// Connections break and new ones are refused.
    Refuse,
}

struct Pair {
    machine: usize,
    front: usize,
    one_way: Duration,
    cut: Arc<Mutex<Option<Cut>>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    listening: Mutex<Option<TcpStream>>,
}

/// All proxies of an installation.
pub struct Net {
    port: u16,
    pairs: Vec<Arc<Pair>>,
}

impl Net {
    /// Starts a proxy from each machine to each front but itself.
    /// `one_way` is the time of the way between two machines.
    pub fn start(fronts: usize, machines: usize, port: u16, one_way: Duration) -> Self {
        let mut pairs = Vec::new();
        for machine in 0..machines {
            for front in (0..fronts).filter(|front| *front != machine) {
                let pair = Arc::new(Pair {
                    machine,
                    front,
                    one_way,
                    cut: Arc::default(),
                    open: Arc::default(),
                    listening: Mutex::new(None),
                });
                listen(&pair, port);
                pairs.push(pair);
            }
        }
        Self { port, pairs }
    }

    /// Cuts all pairs that `is_cut` names, by machine and front.
    pub fn cut(&self, how: Cut, is_cut: impl Fn(usize, usize) -> bool) {
        for pair in self.pairs.iter().filter(|pair| is_cut(pair.machine, pair.front)) {
            *pair.cut.lock().unwrap() = Some(how);
            if how == Cut::Refuse {
                // Wakes the accepting thread, which then closes its listener.
                let _ = TcpStream::connect(view(pair.machine, pair.front, self.port));
                for stream in pair.open.lock().unwrap().drain(..) {
                    let _ = stream.shutdown(Shutdown::Both);
                }
            }
        }
    }

    /// Ends all cuts. Connections from before a silent cut break: their bytes are lost.
    pub fn heal(&self) {
        for pair in &self.pairs {
            let cut = pair.cut.lock().unwrap().take();
            if cut.is_some() {
                for stream in pair.open.lock().unwrap().drain(..) {
                    let _ = stream.shutdown(Shutdown::Both);
                }
            }
            if cut == Some(Cut::Refuse) {
                listen(pair, self.port);
            }
        }
    }
}

fn listen(pair: &Arc<Pair>, port: u16) {
    let address = view(pair.machine, pair.front, port);
    let listener = loop {
        match TcpListener::bind(address) {
            Ok(listener) => break listener,
            Err(_) => thread::sleep(Duration::from_millis(5)),
        }
    };
    *pair.listening.lock().unwrap() = None;
    let pair = pair.clone();
    thread::spawn(move || {
        for caller in listener.incoming().flatten() {
            match *pair.cut.lock().unwrap() {
                Some(Cut::Refuse) => return,
                Some(Cut::Silent) => {
                    // Nothing answers; the caller gives up by itself.
                    pair.open.lock().unwrap().push(caller);
                    continue;
                }
                None => {}
            }
            let Ok(target) = TcpStream::connect(real(pair.front, port)) else {
                // As a port without a listener: the connection is reset.
                continue;
            };
            let _ = caller.set_nodelay(true);
            let _ = target.set_nodelay(true);
            forward(&pair, &caller, &target, pair.front);
            forward(&pair, &target, &caller, pair.machine);
            pair.open.lock().unwrap().extend([caller, target]);
        }
    });
}

fn forward(pair: &Arc<Pair>, from: &TcpStream, to: &TcpStream, receiver: usize) {
    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
        return;
    };
    let (cut, one_way) = (pair.cut.clone(), pair.one_way);
    thread::spawn(move || {
        let mut buffer = [0; 65_536];
        while let Ok(length) = from.read(&mut buffer) {
            if length == 0 {
                break;
            }
            if cut.lock().unwrap().is_some() {
                continue;
            }
            thread::sleep(one_way);
            translate(&mut buffer[..length], Some(receiver));
            if to.write_all(&buffer[..length]).is_err() {
                break;
            }
        }
        if cut.lock().unwrap().is_none() {
            let _ = to.shutdown(Shutdown::Both);
            let _ = from.shutdown(Shutdown::Both);
        }
    });
}
