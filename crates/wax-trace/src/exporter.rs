//! Sends the counters' increments to a StatsD address over UDP.

use crate::counter::counter_values;
use cadence::{Counted, StatsdClient, UdpMetricSink};
use std::io;
use std::net::{SocketAddr, UdpSocket};

/// Remembers what was sent, so that each call sends only the increments.
#[derive(Debug)]
pub struct MetricsExporter {
    client: StatsdClient,
    sent: Vec<u64>,
}

impl MetricsExporter {
    /// Opens a socket that never blocks.
    ///
    /// # Errors
    ///
    /// The socket cannot be opened.
    pub fn connect(address: SocketAddr, process: &str) -> io::Result<Self> {
        let local = match address {
            SocketAddr::V4(_) => "0.0.0.0:0",
            SocketAddr::V6(_) => "[::]:0",
        };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket).map_err(io::Error::other)?;
        let client = StatsdClient::builder("waxwing", sink)
            .with_tag("process", process)
            .build();
        let sent = counter_values().map(|_| 0).collect();
        Ok(Self { client, sent })
    }

    /// Sends what has been counted since the last call; a lost datagram stays lost.
    pub fn send(&mut self) {
        for ((name, value), sent) in counter_values().zip(&mut self.sent) {
            let increment = value - *sent;
            if increment > 0 && self.client.count(name, increment as i64).is_ok() {
                *sent = value;
            }
        }
    }
}
