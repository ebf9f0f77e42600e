//! The connection to one entry, re-established with backoff until the process ends.

use crate::process::SidecarShared;
use compio::net::TcpStream;
use compio::runtime::spawn;
use compio::time::{sleep, timeout};
use fastrand::Rng;
use futures_channel::mpsc::{UnboundedSender, unbounded};
use futures_util::future::{Either, select};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use wax_policy::BackoffPlan;
use wax_settings::ApplyOutcome;
use wax_trace::{Counter, count};
use wax_types::{ErrorKind, Step, WaxError};
use wax_wire::{PeerBody, PeerHello, PeerReader, SettingsAck, SettingsPush, split_stream};

const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection without a frame for this long is closed. Entries send a heartbeat every second.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of consecutive failures to connect after which an entry is removed, unless it is named in
/// the sidecar's settings.
const MAX_CONNECT_FAILURES: u32 = 30;

/// Maintains the connection to one entry until the process stops or the entry is removed.
pub(crate) async fn maintain_link(shared: Rc<SidecarShared>, address: SocketAddr) {
    let mut backoff = BackoffPlan::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    let mut rng = Rng::new();
    let mut failures = 0;
    while !shared.is_stopping() {
        match connect(&shared, address).await {
            Ok(()) => {
                backoff.reset();
                failures = 0;
            }
            Err(error) => {
                failures += 1;
                tracing::debug!(%error, "entry not connected");
            }
        }
        if failures >= MAX_CONNECT_FAILURES && shared.remove_entry(address) {
            return;
        }
        sleep(backoff.next_delay(&mut rng)).await;
    }
}

async fn connect(shared: &Rc<SidecarShared>, address: SocketAddr) -> Result<(), WaxError> {
    let unreachable = |error: &dyn std::fmt::Display| {
        let kind = ErrorKind::Unavailable(MAX_RETRY_DELAY);
        WaxError::new(kind, Step::Connect, address.to_string(), error)
    };
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(unreachable(&error)),
        Err(_) => return Err(unreachable(&"connection attempt timed out")),
    };
    // Without TCP_NODELAY, small frames wait for the acknowledgement of earlier ones.
    let _ = stream.set_nodelay(true);
    let (mut reader, mut writer) = split_stream(stream);
    let handshake = async {
        writer.write(PeerBody::Hello(shared.own_hello())).await?;
        reader.read().await
    };
    let hello = match timeout(CONNECT_TIMEOUT, handshake).await {
        Ok(Ok(Some(PeerBody::Hello(hello)))) => hello,
        Ok(Ok(_)) => return Err(handshake_error(address, "the peer is not an entry")),
        Ok(Err(error)) => return Err(unreachable(&error)),
        Err(_) => return Err(unreachable(&"handshake timed out")),
    };
    if hello.protocol != PeerHello::PROTOCOL {
        return Err(handshake_error(
            address,
            "the entry uses another protocol version",
        ));
    }
    let (outbox, mut frames) = unbounded();
    let writer_task = spawn(async move { writer.forward(&mut frames).await });
    let link = shared.add_link(outbox.clone());
    count(Counter::LinksOpened);
    tracing::info!(entry = %hello.name, %address, "entry connected");
    shared.change_open_links(1);
    let result = {
        let reading = pin!(read_frames(shared, &mut reader, &outbox, link));
        let stopping = pin!(shared.wait_for_stop());
        match select(stopping, reading).await {
            Either::Left(_) => "leaving".into(),
            Either::Right((reason, _)) => reason,
        }
    };
    shared.remove_link(link);
    drop(outbox);
    count(Counter::LinksLost);
    tracing::info!(entry = %hello.name, reason = %result, "entry disconnected");
    if shared.is_stopping() {
        // The process must not end before the last answers are written to the connection.
        let _ = writer_task.await;
    }
    shared.change_open_links(-1);
    Ok(())
}

fn handshake_error(address: SocketAddr, text: &str) -> WaxError {
    WaxError::new(
        ErrorKind::Protocol,
        Step::Handshake,
        address.to_string(),
        text,
    )
}

/// Handles frames until the connection ends. Returns the reason for its end.
async fn read_frames(
    shared: &Rc<SidecarShared>,
    reader: &mut PeerReader,
    outbox: &UnboundedSender<PeerBody>,
    link: u64,
) -> Box<str> {
    loop {
        let frame = match timeout(HEARTBEAT_TIMEOUT, reader.read()).await {
            Ok(Ok(Some(frame))) => frame,
            Ok(Ok(None)) => return "closed by the entry".into(),
            Ok(Err(error)) => return error.to_string().into(),
            Err(_) => return "heartbeat timed out".into(),
        };
        if let Err(reason) = handle_frame(shared, frame, outbox, link) {
            return reason;
        }
    }
}

fn handle_frame(
    shared: &Rc<SidecarShared>,
    frame: PeerBody,
    outbox: &UnboundedSender<PeerBody>,
    link: u64,
) -> Result<(), Box<str>> {
    match frame {
        PeerBody::Request(head) => match head.attempt {
            Some(id) => shared.receive_request(id.into(), head, outbox, link),
            None => return Err("request without an attempt key".into()),
        },
        PeerBody::Chunk(chunk) => {
            if let Some(handle) = shared.running_attempt(chunk.attempt) {
                handle.receive_body_chunk(chunk);
            }
        }
        PeerBody::Credit(credit) => {
            if let Some(handle) = shared.running_attempt(credit.attempt) {
                handle.grant(credit.bytes);
            }
        }
        PeerBody::Cancel(cancel) => {
            if let Some(id) = cancel.attempt {
                shared.cancel(id.into());
            }
        }
        PeerBody::Settings(push) => handle_settings_push(shared, &push),
        PeerBody::SettingsAck(ack) => handle_settings_ack(shared, ack, outbox),
        PeerBody::Peers(list) => {
            for address in list.addresses {
                if let Ok(address) = address.parse() {
                    shared.add_entry(address);
                }
            }
        }
        _ => return Err("unexpected kind of frame from an entry".into()),
    }
    Ok(())
}

fn handle_settings_push(shared: &SidecarShared, push: &SettingsPush) {
    let choice = if push.delta.is_empty() {
        shared.settings().apply_json(&push.tree)
    } else {
        shared.settings().apply_delta_json(&push.delta)
    };
    match choice {
        ApplyOutcome::Applied(version) => {
            count(Counter::SettingsApplied);
            tracing::info!(%version, "settings in force");
        }
        ApplyOutcome::Stale => count(Counter::SettingsStale),
        // The delta does not follow on the version in force. The acknowledgement below reports that
        // version, and the entry then sends the whole tree.
        ApplyOutcome::Gap => {}
        ApplyOutcome::Unreadable(error) => {
            tracing::warn!(%error, "cannot parse the settings")
        }
    }
    shared.acknowledge_settings();
}

/// Sends the settings tree of this sidecar to an entry that has an older version. Such an entry may
/// have lost its connection to the store.
fn handle_settings_ack(
    shared: &SidecarShared,
    ack: SettingsAck,
    outbox: &UnboundedSender<PeerBody>,
) {
    let settings = shared.settings();
    if ack.version < settings.version().0 {
        let push = SettingsPush {
            version: settings.version().0,
            tree: settings.to_json().into(),
            delta: Default::default(),
        };
        let _ = outbox.unbounded_send(PeerBody::Settings(push));
    }
}
