//! Sends the increments of the counters to a StatsD server over UDP.

use crate::counter::counter_values;
use cadence::{Counted, StatsdClient, UdpMetricSink};
use std::io;
use std::net::{SocketAddr, UdpSocket};

/// Exporter of the counters. Keeps the values of the last export to send only increments.
#[derive(Debug)]
pub struct MetricsExporter {
    client: StatsdClient,
    sent: Vec<u64>,
}

impl MetricsExporter {
    /// Opens a non-blocking UDP socket to `address`. Each metric carries the tag `process`.
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

    /// Sends the increments since the last call. Lost datagrams are not sent again.
    pub fn send(&mut self) {
        for ((name, value), sent) in counter_values().zip(&mut self.sent) {
            let increment = value - *sent;
            if increment > 0 && self.client.count(name, increment as i64).is_ok() {
                *sent = value;
            }
        }
    }
}
