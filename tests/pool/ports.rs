//! Ports that tests give to their processes.

use crate::site::probe_port;
use std::net::{SocketAddr, TcpListener};

const NOBODY: &str = "127.1.2.3:11999";

fn nobody() -> SocketAddr {
    NOBODY.parse().expect("an address")
}

/// Another thread may start a process while a port is looked at: it holds a copy of the look's socket for a while.
#[test]
fn a_port_can_be_taken_although_a_copy_of_the_look_at_it_is_left() {
    let look = probe_port(nobody()).expect("nobody listens");
    let copy = look.try_clone().expect("it is copied");
    drop(look);
    let taken = TcpListener::bind(nobody());
    taken.expect("the process that it was meant for can listen");
    drop(copy);
}

#[test]
fn a_port_on_which_somebody_listens_is_not_free() {
    let any: SocketAddr = "127.1.2.4:0".parse().expect("an address");
    let listener = TcpListener::bind(any).expect("it binds");
    let address = listener.local_addr().expect("it has an address");
    assert!(probe_port(address).is_err());
}
