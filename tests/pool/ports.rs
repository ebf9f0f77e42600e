//! Tests of the port selection for processes that tests start.

use crate::site::probe_port;
use std::net::{SocketAddr, TcpListener};

const FREE_ADDRESS: &str = "127.1.2.3:11999";

fn free_address() -> SocketAddr {
    FREE_ADDRESS.parse().expect("the address must be valid")
}

/// Another thread may start a process while a port is probed. That process inherits a copy of the probe's
/// socket until it executes its program, and the copy must not block the port.
#[test]
fn a_port_can_be_bound_although_a_copy_of_the_probe_socket_is_open() {
    let probe = probe_port(free_address()).expect("the port must be free");
    let copy = probe.try_clone().expect("the socket must be cloned");
    drop(probe);
    let listener = TcpListener::bind(free_address());
    listener.expect("binding must succeed while the copy is open");
    drop(copy);
}

#[test]
fn a_port_with_a_listener_is_not_free() {
    let any: SocketAddr = "127.1.2.4:0".parse().expect("the address must be valid");
    let listener = TcpListener::bind(any).expect("binding must succeed");
    let address = listener
        .local_addr()
        .expect("a bound socket has an address");
    assert!(probe_port(address).is_err());
}
