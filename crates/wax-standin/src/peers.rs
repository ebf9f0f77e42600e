//! Command `peers`: simulates many sidecars of one entry. They connect, report load and acknowledge
//! settings.

use crate::args::PeersOptions;
use compio::net::TcpStream;
use compio::runtime::spawn;
use compio::time::sleep;
use futures_channel::mpsc::{UnboundedSender, unbounded};
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use wax_types::{ErrorKind, Step, WaxError};
use wax_wire::{LoadReport, PeerBody, PeerFrame, PeerHello, SettingsAck, split_stream};

const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);

pub(crate) async fn run(options: PeersOptions) -> Result<(), WaxError> {
    let failed = |error: io::Error| {
        let peer = options.entry.to_string();
        WaxError::new(ErrorKind::Invalid, Step::Connect, peer, error)
    };
    for n in 1..=options.count {
        let hello = PeerHello {
            protocol: PeerHello::PROTOCOL,
            incarnation: fastrand::u64(1..),
            name: format!("played-{n}"),
            failure_domain: format!("domain-{}", n % 7),
            service: options.service.clone(),
            slots: 8,
        };
        connect(options.entry, hello).await.map_err(failed)?;
    }
    println!("{}", json!({ "peers": options.count }));
    std::future::pending().await
}

async fn connect(entry: SocketAddr, hello: PeerHello) -> io::Result<()> {
    let stream = TcpStream::connect(entry).await?;
    let (mut reader, mut writer) = split_stream::<PeerFrame>(stream);
    writer.write(PeerBody::Hello(hello)).await?;
    let (outbox, mut frames) = unbounded();
    spawn(async move { writer.forward(&mut frames).await }).detach();
    spawn(send_load_reports(outbox.clone())).detach();
    spawn(async move {
        while let Ok(Some(body)) = reader.read().await {
            if let PeerBody::Settings(push) = body {
                let version = push.version;
                let ack = PeerBody::SettingsAck(SettingsAck { version });
                let _ = outbox.unbounded_send(ack);
            }
        }
    })
    .detach();
    Ok(())
}

/// Sends the load report of an idle sidecar once per second until the connection ends.
async fn send_load_reports(outbox: UnboundedSender<PeerBody>) {
    let load = LoadReport {
        upstream_up: true,
        ..LoadReport::default()
    };
    while outbox.unbounded_send(PeerBody::Load(load)).is_ok() {
        sleep(HEARTBEAT_PERIOD).await;
    }
}
