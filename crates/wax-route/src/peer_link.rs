//! Connections from sidecars: handshake, heartbeats, and the frames that sidecars send.

use crate::attempts::AttemptEvent;
use crate::peers::PeerState;
use crate::process::EntryShared;
use compio::net::{TcpListener, TcpStream};
use compio::runtime::spawn;
use compio::time::{sleep, timeout};
use futures_channel::mpsc::unbounded;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use wax_policy::{UpstreamLoad, UpstreamView};
use wax_settings::ApplyOutcome;
use wax_trace::{Counter, count};
use wax_types::SettingsVersion;
use wax_wire::{
    LoadReport, PeerBody, PeerFrame, PeerHello, PeerList, PeerReader, SettingsAck, SettingsPush,
    read_hello,
};

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection without a frame for this long is closed. Sidecars send a heartbeat every second.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections from sidecars until the process ends.
pub(crate) async fn accept_peers(shared: Rc<EntryShared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => spawn(handle_connection(shared.clone(), stream)).detach(),
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Sends every sidecar the settings version in force once a second, and the addresses of all
/// entries whenever they change.
pub(crate) async fn send_heartbeats(shared: Rc<EntryShared>) {
    let mut sent_addresses = Vec::new();
    loop {
        sleep(HEARTBEAT_PERIOD).await;
        let version = shared.settings.version().0;
        shared
            .peers
            .send_all(&PeerBody::SettingsAck(SettingsAck { version }));
        let addresses = shared.entry_addresses();
        if addresses != sent_addresses {
            sent_addresses.clone_from(&addresses);
            shared
                .peers
                .send_all(&PeerBody::Peers(PeerList { addresses }));
        }
    }
}

async fn handle_connection(shared: Rc<EntryShared>, stream: TcpStream) {
    // Without TCP_NODELAY, small frames wait for the acknowledgement of earlier ones.
    let _ = stream.set_nodelay(true);
    let address = stream
        .peer_addr()
        .map_or_else(|_| "unknown".to_owned(), |address| address.to_string());
    let handshake = async {
        let Some((hello, reader, mut writer)) = read_hello::<PeerFrame>(stream).await? else {
            return Ok(None);
        };
        writer.write(PeerBody::Hello(shared.own_hello())).await?;
        Ok::<_, std::io::Error>(Some((hello, reader, writer)))
    };
    let (hello, mut reader, mut writer) = match timeout(HANDSHAKE_TIMEOUT, handshake).await {
        Ok(Ok(Some((PeerBody::Hello(hello), reader, writer)))) if is_valid_hello(&hello) => {
            (hello, reader, writer)
        }
        other => {
            let reason = match other {
                Err(_) => "handshake timed out".to_owned(),
                Ok(Err(error)) => error.to_string(),
                Ok(Ok(_)) => "invalid handshake".to_owned(),
            };
            tracing::warn!(peer = %address, reason, "sidecar connection rejected");
            return;
        }
    };
    let (outbox, mut frames) = unbounded();
    spawn(async move { writer.forward(&mut frames).await }).detach();
    let peer = add_peer(&shared, hello, outbox);
    let reason = read_frames(&shared, &peer, &mut reader).await;
    remove_peer(&shared, &peer);
    tracing::info!(sidecar = %peer.hello.name, %reason, "sidecar disconnected");
}

fn is_valid_hello(hello: &PeerHello) -> bool {
    hello.protocol == PeerHello::PROTOCOL
        && !hello.service.is_empty()
        && !hello.name.is_empty()
        && hello.slots > 0
}

fn add_peer(
    shared: &Rc<EntryShared>,
    hello: PeerHello,
    outbox: futures_channel::mpsc::UnboundedSender<PeerBody>,
) -> Rc<PeerState> {
    let now = shared.clock.now();
    let same_domain = *hello.failure_domain == *shared.failure_domain;
    let view = UpstreamView::new(&hello.service, same_domain, hello.slots, now);
    let key = shared.routes.borrow_mut().add(view);
    count(Counter::LinksOpened);
    tracing::info!(
        sidecar = %hello.name,
        service = %hello.service,
        domain = %hello.failure_domain,
        "sidecar connected"
    );
    let peer = Rc::new(PeerState {
        hello,
        key,
        outbox,
        settings_version: Cell::new(SettingsVersion::default()),
        leaving: Cell::new(false),
    });
    shared.peers.add(peer.clone());
    let addresses = shared.entry_addresses();
    let _ = peer
        .outbox
        .unbounded_send(PeerBody::Peers(PeerList { addresses }));
    peer
}

fn remove_peer(shared: &EntryShared, peer: &PeerState) {
    count(Counter::LinksLost);
    shared.peers.remove(shared.clock.now(), peer.key);
    shared.routes.borrow_mut().remove(peer.key);
    shared.attempts.fail_link(peer.key);
}

/// Handles frames until the connection ends. Returns the reason for its end.
async fn read_frames(
    shared: &Rc<EntryShared>,
    peer: &PeerState,
    reader: &mut PeerReader,
) -> Box<str> {
    loop {
        let frame = match timeout(HEARTBEAT_TIMEOUT, reader.read()).await {
            Ok(Ok(Some(frame))) => frame,
            Ok(Ok(None)) => return "closed by the sidecar".into(),
            Ok(Err(error)) => return error.to_string().into(),
            Err(_) => return "heartbeat timed out".into(),
        };
        if let Err(reason) = handle_frame(shared, peer, frame) {
            return reason.into();
        }
    }
}

fn handle_frame(
    shared: &Rc<EntryShared>,
    peer: &PeerState,
    frame: PeerBody,
) -> Result<(), &'static str> {
    let attempts = &shared.attempts;
    match frame {
        PeerBody::Load(report) => handle_load(shared, peer, report),
        PeerBody::Response(head) => {
            attempts.deliver(peer.key, head.attempt, AttemptEvent::Response(head));
        }
        PeerBody::Chunk(chunk) => {
            attempts.deliver(peer.key, chunk.attempt, AttemptEvent::Chunk(chunk));
        }
        PeerBody::NotRun(answer) => {
            attempts.deliver(peer.key, answer.attempt, AttemptEvent::NotRun(answer));
        }
        PeerBody::Lost(lost) => {
            let event = AttemptEvent::Lost(lost.detail.into());
            attempts.deliver(peer.key, lost.attempt, event);
        }
        PeerBody::Credit(credit) => {
            attempts.deliver(peer.key, credit.attempt, AttemptEvent::Credit(credit.bytes));
        }
        PeerBody::SettingsAck(ack) => {
            handle_settings_ack(shared, peer, SettingsVersion(ack.version))
        }
        PeerBody::Settings(push) => handle_settings_push(shared, &push),
        _ => return Err("unexpected kind of frame from a sidecar"),
    }
    Ok(())
}

fn handle_load(shared: &EntryShared, peer: &PeerState, report: LoadReport) {
    peer.leaving.set(report.leaving);
    let load = UpstreamLoad {
        slots_used: report.slots_used,
        queued: report.queued,
        service_time: Duration::from_micros(report.service_time_us.into()),
        leaving: report.leaving,
        up: report.upstream_up,
    };
    let now = shared.clock.now();
    shared.routes.borrow_mut().update_load(now, peer.key, load);
}

/// Records the settings version of a sidecar, and sends an update if it is older than the one in
/// force.
fn handle_settings_ack(shared: &EntryShared, peer: &PeerState, version: SettingsVersion) {
    peer.settings_version.set(version);
    shared.settings_progress.notify(usize::MAX);
    if version < shared.settings.version() {
        let push = shared.build_settings_push(version);
        let _ = peer.outbox.unbounded_send(PeerBody::Settings(push));
    }
}

/// Applies the settings tree of a sidecar that has a newer version. This happens after the entry has
/// lost its connection to the store.
fn handle_settings_push(shared: &Rc<EntryShared>, push: &SettingsPush) {
    if let ApplyOutcome::Applied(version) = shared.settings.apply_json(&push.tree) {
        tracing::info!(%version, source = "sidecar", "settings in force");
        shared.publish_settings(None);
    }
}
