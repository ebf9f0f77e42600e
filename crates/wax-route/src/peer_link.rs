//! The connection of one sidecar: its frames, its heartbeat, its end.

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
    FrameReader, LoadReport, PeerBody, PeerHello, PeerList, SettingsAck, SettingsPush, split_stream,
};

const GREETING_LIMIT: Duration = Duration::from_secs(2);
/// A sidecar that says nothing for this long is taken for dead; it speaks every second.
const SILENCE_LIMIT: Duration = Duration::from_secs(4);
const HEARTBEAT: Duration = Duration::from_secs(1);
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts sidecars for as long as the process lives.
pub(crate) async fn accept_peers(shared: Rc<EntryShared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => spawn(serve_peer(shared.clone(), stream)).detach(),
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Says the version in force every second, and the addresses of all entries where they change.
pub(crate) async fn beat_peers(shared: Rc<EntryShared>) {
    let mut said = Vec::new();
    loop {
        sleep(HEARTBEAT).await;
        let version = shared.settings.version().0;
        shared
            .peers
            .send_all(&PeerBody::SettingsAck(SettingsAck { version }));
        let addresses = shared.entry_addresses();
        if addresses != said {
            said.clone_from(&addresses);
            shared
                .peers
                .send_all(&PeerBody::Peers(PeerList { addresses }));
        }
    }
}

async fn serve_peer(shared: Rc<EntryShared>, stream: TcpStream) {
    // Small frames must not wait for acknowledgements.
    let _ = stream.set_nodelay(true);
    let address = stream
        .peer_addr()
        .map_or_else(|_| "unknown".to_owned(), |address| address.to_string());
    let (mut reader, mut writer) = split_stream(stream);
    let greeting = async {
        let hello = reader.read().await?;
        writer.write(PeerBody::Hello(shared.hello())).await?;
        Ok::<_, std::io::Error>(hello)
    };
    let hello = match timeout(GREETING_LIMIT, greeting).await {
        Ok(Ok(Some(PeerBody::Hello(hello)))) if hello_is_valid(&hello) => hello,
        other => {
            let reason = match other {
                Err(_) => "no greeting in time".to_owned(),
                Ok(Err(error)) => error.to_string(),
                Ok(Ok(_)) => "no valid greeting".to_owned(),
            };
            tracing::warn!(peer = %address, reason, "peer refused");
            return;
        }
    };
    let (outbox, mut frames) = unbounded();
    spawn(async move { writer.drain(&mut frames).await }).detach();
    let peer = add_peer(&shared, hello, outbox);
    let reason = read_frames(&shared, &peer, &mut reader).await;
    remove_peer(&shared, &peer);
    tracing::info!(sidecar = %peer.hello.name, %reason, "sidecar disconnected");
}

fn hello_is_valid(hello: &PeerHello) -> bool {
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
    let local = *hello.failure_domain == *shared.failure_domain;
    let view = UpstreamView::new(&hello.service, local, hello.slots, now);
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
        settings: Cell::new(SettingsVersion::default()),
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
    shared.attempts.break_link(peer.key);
}

/// Reads until the connection ends; says why it did.
async fn read_frames(
    shared: &Rc<EntryShared>,
    peer: &PeerState,
    reader: &mut FrameReader,
) -> Box<str> {
    loop {
        let frame = match timeout(SILENCE_LIMIT, reader.read()).await {
            Ok(Ok(Some(frame))) => frame,
            Ok(Ok(None)) => return "closed by the sidecar".into(),
            Ok(Err(error)) => return error.to_string().into(),
            Err(_) => return "no heartbeat".into(),
        };
        if let Err(reason) = take_frame(shared, peer, frame) {
            return reason.into();
        }
    }
}

fn take_frame(
    shared: &Rc<EntryShared>,
    peer: &PeerState,
    frame: PeerBody,
) -> Result<(), &'static str> {
    let attempts = &shared.attempts;
    match frame {
        PeerBody::Load(report) => take_load(shared, peer, report),
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
        PeerBody::SettingsAck(ack) => take_ack(shared, peer, SettingsVersion(ack.version)),
        PeerBody::Settings(push) => take_settings(shared, &push),
        _ => return Err("a frame that no sidecar sends"),
    }
    Ok(())
}

fn take_load(shared: &EntryShared, peer: &PeerState, report: LoadReport) {
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

/// A sidecar with a smaller version gets what it lacks.
fn take_ack(shared: &EntryShared, peer: &PeerState, version: SettingsVersion) {
    peer.settings.set(version);
    shared.settings_acked.notify(usize::MAX);
    if version < shared.settings.version() {
        let push = shared.settings_push(version);
        let _ = peer.outbox.unbounded_send(PeerBody::Settings(push));
    }
}

/// A sidecar has a greater version: this entry was cut off from the store.
fn take_settings(shared: &Rc<EntryShared>, push: &SettingsPush) {
    if let ApplyOutcome::Applied(version) = shared.settings.apply_json(&push.tree) {
        tracing::info!(%version, source = "sidecar", "settings in force");
        shared.after_settings(None);
    }
}
