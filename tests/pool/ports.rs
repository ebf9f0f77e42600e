//! Ports that tests give to their processes.

use crate::site::probe_port;
use std::net::{SocketAddr, TcpListener};

const FREE_ADDRESS: &str = "127.1.2.3:11999";

fn free_address() -> SocketAddr {
    FREE_ADDRESS.parse().expect("an address")
}

/// Another thread may start a process while a port is looked at: it holds a copy of the look's socket for a while.
#[test]
fn a_port_can_be_bound_although_a_copy_of_the_probe_socket_is_open() {
    let probe = probe_port(free_address()).expect("nobody listens");
    let copy = probe.try_clone().expect("it is copied");
    drop(probe);
    let listener = TcpListener::bind(free_address());
    listener.expect("the process that it was meant for can listen");
    drop(copy);
}

#[test]
fn a_port_with_a_listener_is_not_free() {
    let any: SocketAddr = "127.1.2.4:0".parse().expect("an address");
    let listener = TcpListener::bind(any).expect("it binds");
    let address = listener.local_addr().expect("it has an address");
    assert!(probe_port(address).is_err());
}
