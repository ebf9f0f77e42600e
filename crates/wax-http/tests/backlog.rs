//! Checks that hundreds of peers can connect to a listener before it accepts any of them, as when
//! all processes of a large pool connect at the same time. The kernel drops connections that exceed
//! the backlog.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use wax_http::bind_listener;

/// More connections than the standard library's backlog of 128 holds.
const PEER_COUNT: usize = 600;
/// Shorter than 1 s, the delay after which the kernel repeats a connection attempt that was
/// dropped.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(900);

#[test]
fn hundreds_of_peers_connect_before_any_is_accepted() {
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        let listener = bind_listener(any).expect("the listener binds");
        let address = listener.local_addr().expect("the listener has an address");
        let peers: Vec<_> = (0..PEER_COUNT)
            .map_while(|_| TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok())
            .collect();
        assert_eq!(peers.len(), PEER_COUNT);
    });
}

#[test]
fn an_address_in_use_is_a_clear_error() {
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        let listener = bind_listener(any).expect("the listener binds");
        let address = listener.local_addr().expect("the listener has an address");
        let error = bind_listener(address).expect_err("the address is in use");
        assert!(error.to_string().contains(&address.to_string()), "{error}");
    });
}
