//! The connection to one entry: dialled again, with backoff, until the process ends.

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
use wax_wire::{FrameReader, PeerBody, PeerHello, SettingsAck, SettingsPush, split_stream};

const RETRY_FLOOR: Duration = Duration::from_millis(50);
const RETRY_CEILING: Duration = Duration::from_secs(2);
const CONNECT_LIMIT: Duration = Duration::from_secs(2);
/// An entry that says nothing for this long is taken for dead; it speaks every second.
const SILENCE_LIMIT: Duration = Duration::from_secs(5);
/// Dials without success after which a learned entry is forgotten.
const TRIES_BEFORE_FORGETTING: u32 = 30;

/// Keeps one entry connected.
pub(crate) async fn keep_link(shared: Rc<SidecarShared>, address: SocketAddr) {
    let mut backoff = BackoffPlan::new(RETRY_FLOOR, RETRY_CEILING);
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
        if failures >= TRIES_BEFORE_FORGETTING && shared.forget_entry(address) {
            return;
        }
        sleep(backoff.next_delay(&mut rng)).await;
    }
}

async fn connect(shared: &Rc<SidecarShared>, address: SocketAddr) -> Result<(), WaxError> {
    let unreachable = |error: &dyn std::fmt::Display| {
        let kind = ErrorKind::Unavailable(RETRY_CEILING);
        WaxError::new(kind, Step::Connect, address.to_string(), error)
    };
    let stream = match timeout(CONNECT_LIMIT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(unreachable(&error)),
        Err(_) => return Err(unreachable(&"no connection in time")),
    };
    // Small frames must not wait for acknowledgements.
    let _ = stream.set_nodelay(true);
    let (mut reader, mut writer) = split_stream(stream);
    let hello = async {
        writer.write(PeerBody::Hello(shared.hello())).await?;
        reader.read().await
    };
    let hello = match timeout(CONNECT_LIMIT, hello).await {
        Ok(Ok(Some(PeerBody::Hello(hello)))) => hello,
        Ok(Ok(_)) => return Err(handshake(address, "the peer is no entry")),
        Ok(Err(error)) => return Err(unreachable(&error)),
        Err(_) => return Err(unreachable(&"no greeting in time")),
    };
    if hello.protocol != PeerHello::PROTOCOL {
        return Err(handshake(address, "the entry speaks another version"));
    }
    let (outbox, mut frames) = unbounded();
    let writing = spawn(async move { writer.drain(&mut frames).await });
    let link = shared.add_link(outbox.clone());
    count(Counter::LinksOpened);
    tracing::info!(entry = %hello.name, %address, "entry connected");
    shared.change_open_links(1);
    let result = {
        let reading = pin!(read_frames(shared, &mut reader, &outbox, link));
        let stopping = pin!(shared.wait_stopping());
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
        // The last answers are flushed before the process ends.
        let _ = writing.await;
    }
    shared.change_open_links(-1);
    Ok(())
}

fn handshake(address: SocketAddr, text: &str) -> WaxError {
    WaxError::new(
        ErrorKind::Protocol,
        Step::Handshake,
        address.to_string(),
        text,
    )
}

/// Reads until the connection ends; says why it did.
async fn read_frames(
    shared: &Rc<SidecarShared>,
    reader: &mut FrameReader,
    outbox: &UnboundedSender<PeerBody>,
    link: u64,
) -> Box<str> {
    loop {
        let frame = match timeout(SILENCE_LIMIT, reader.read()).await {
            Ok(Ok(Some(frame))) => frame,
            Ok(Ok(None)) => return "closed by the entry".into(),
            Ok(Err(error)) => return error.to_string().into(),
            Err(_) => return "no heartbeat".into(),
        };
        if let Err(reason) = take_frame(shared, frame, outbox, link) {
            return reason;
        }
    }
}

fn take_frame(
    shared: &Rc<SidecarShared>,
    frame: PeerBody,
    outbox: &UnboundedSender<PeerBody>,
    link: u64,
) -> Result<(), Box<str>> {
    match frame {
        PeerBody::Request(head) => match head.attempt {
            Some(id) => shared.take_request(id.into(), head, outbox, link),
            None => return Err("a request without a key".into()),
        },
        PeerBody::Chunk(chunk) => {
            if let Some(handle) = shared.running_attempt(chunk.attempt) {
                handle.take_chunk(chunk);
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
        PeerBody::Settings(push) => take_settings(shared, &push),
        PeerBody::SettingsAck(ack) => answer_ack(shared, ack, outbox),
        PeerBody::Peers(list) => {
            for address in list.addresses {
                if let Ok(address) = address.parse() {
                    shared.learn_entry(address);
                }
            }
        }
        _ => return Err("a frame that no entry sends".into()),
    }
    Ok(())
}

fn take_settings(shared: &SidecarShared, push: &SettingsPush) {
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
        // The acknowledgement of the old version makes the entry send the whole tree.
        ApplyOutcome::Gap => {}
        ApplyOutcome::Unreadable(error) => tracing::warn!(%error, "settings not readable"),
    }
    shared.acknowledge_settings();
}

/// An entry with a smaller version gets ours: it may be cut off from the store.
fn answer_ack(shared: &SidecarShared, ack: SettingsAck, outbox: &UnboundedSender<PeerBody>) {
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
