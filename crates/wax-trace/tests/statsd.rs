//! Checks that the exporter sends increments, not totals: StatsD sums what it receives, so repeated
//! totals would be counted several times.

use std::net::UdpSocket;
use std::time::Duration;
use wax_trace::{Counter, MetricsExporter, count_many};

fn receive(socket: &UdpSocket) -> String {
    let mut buffer = [0; 512];
    let length = socket.recv(&mut buffer).expect("a datagram arrives");
    String::from_utf8_lossy(&buffer[..length]).into_owned()
}

#[test]
fn only_increments_are_sent_with_the_name_of_the_process() {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("the socket binds");
    socket
        .set_read_timeout(Some(Duration::from_secs(30)))
        .expect("the read timeout is set");
    let address = socket.local_addr().expect("the socket has an address");
    let mut exporter =
        MetricsExporter::connect(address, "entry-1").expect("the exporter opens its socket");
    count_many(Counter::TasksDone, 3);
    exporter.send();
    assert_eq!(receive(&socket), "waxwing.tasks.done:3|c|#process:entry-1");
    count_many(Counter::TasksDone, 2);
    exporter.send();
    assert_eq!(receive(&socket), "waxwing.tasks.done:2|c|#process:entry-1");
}
