//! Link of a front to the owner, for job queries, config versions, relayed transactions and
//! heartbeats.

use crate::state::FrontState;
use compio::net::TcpStream;
use compio::runtime::spawn;
use compio::time::{sleep, timeout};
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::future::select;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use wax_owner::{CandidateRank, OwnerFitness, relay_transaction};
use wax_policy::{FRONT_HEARTBEAT_PERIOD, is_early_candidate};
use wax_types::TimePoint;
use wax_wire::{
    BootsEnded, ConfigPush, FrontHello, LinkHeartbeat, PoolBody, PoolReader, PoolWriter,
    RelayRequest, split_stream,
};

/// Timeout for a connection with its handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// A link is closed if the owner has sent nothing for this long.
const LINK_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of ended boots in one message, which bounds its size to some kilobytes.
const MAX_BOOTS_PER_MESSAGE: usize = 256;
/// Delay between two attempts to link, plus up to as much again at random.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Maintains a link to the owner for the lifetime of the process.
pub(crate) async fn maintain_owner_link(state: Rc<FrontState>, seeds: Vec<SocketAddr>) {
    let mut hint = None;
    let mut round = 0_usize;
    loop {
        let owner_address = known_owner(&state);
        let seed = nth_seed(&state, &seeds, round);
        round += 1;
        let address = hint.take().or(owner_address).or(seed);
        match address.filter(|address| *address != state.shared.address) {
            Some(address) if should_seek_owner(&state) => {
                hint = link_to_owner(&state, address).await;
            }
            _ => {}
        }
        let delay = RETRY_DELAY + RETRY_DELAY.mul_f64(fastrand::f64());
        let started_at = state.shared.now();
        sleep(delay).await;
        state.shared.record_timer(delay, started_at);
    }
}

/// Returns the address for this round: the seeds in turn, then all fronts that were ever linked to
/// this process.
fn nth_seed(state: &FrontState, seeds: &[SocketAddr], round: usize) -> Option<SocketAddr> {
    let fronts = state.shared.front_addresses.borrow();
    let all: Vec<SocketAddr> = seeds.iter().chain(fronts.iter()).copied().collect();
    all.get(round % all.len().max(1)).copied()
}

/// Returns whether to look for an owner. A process that owns the shard looks for another owner only
/// once the store has been silent for so long that one may have taken over: without the store, the
/// process does not learn of its successor in any other way.
fn should_seek_owner(state: &FrontState) -> bool {
    let term = state.shared.current_term();
    term.is_none_or(|term| term.may_be_superseded(state.shared.now()))
}

/// Returns the owner's address as last read from the store, unless the term was released or this
/// process is the owner.
fn known_owner(state: &FrontState) -> Option<SocketAddr> {
    let owner = state.shared.owner.borrow();
    let address = owner.as_ref().filter(|owner| !owner.released)?.address;
    address.filter(|address| *address != state.shared.address)
}

/// Links to the owner at `address` until the link ends. Returns another address for the owner, if
/// the process there names one.
async fn link_to_owner(state: &Rc<FrontState>, address: SocketAddr) -> Option<SocketAddr> {
    match timeout(CONNECT_TIMEOUT, handshake(state, address)).await {
        Ok(Ok(HandshakeResult::Owner(stream, epoch))) => {
            let (reader, writer) = *stream;
            tracing::info!(owner = %address, "linked to the owner");
            run_link(state, epoch, reader, writer).await;
            tracing::info!(owner = %address, "link to the owner ended");
            None
        }
        Ok(Ok(HandshakeResult::NotOwner(other))) => other,
        Ok(Err(error)) => {
            note_connection_refused(state, address, &error);
            None
        }
        Err(_) => None,
    }
}

/// Records that the connection to the owner was refused, so that this front takes over without
/// waiting for the heartbeat row to become old. Usually the owner's process has ended. Behind a
/// partition that refuses connections the owner may still act, so the next term does not take it as
/// ended.
fn note_connection_refused(state: &FrontState, address: SocketAddr, error: &io::Error) {
    let owner = state.shared.owner.borrow();
    let refused = owner.as_ref().filter(|owner| {
        owner.address == Some(address) && error.kind() == io::ErrorKind::ConnectionRefused
    });
    if let Some(owner) = refused
        && state.shared.refused_epoch.replace(owner.epoch) != owner.epoch
    {
        tracing::info!(owner = %address, epoch = owner.epoch, "connection refused at the owner's address");
        state.shared.owner_changed.notify(usize::MAX);
    }
}

enum HandshakeResult {
    /// The process is the owner, with this epoch.
    Owner(Box<(PoolReader, PoolWriter)>, u64),
    NotOwner(Option<SocketAddr>),
}

async fn handshake(state: &FrontState, address: SocketAddr) -> io::Result<HandshakeResult> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut reader, mut writer) = split_stream(stream);
    let hello = FrontHello {
        node: state.shared.node.to_string(),
        address: state.shared.address.to_string(),
    };
    writer.write(PoolBody::FrontHello(hello)).await?;
    match reader.read().await? {
        Some(PoolBody::Welcome(welcome)) => {
            let term = state.shared.current_term();
            if term.is_some_and(|term| !term.end_if_superseded(welcome.epoch)) {
                let error = "the owner's term is earlier than the term of this process";
                return Err(io::Error::new(io::ErrorKind::InvalidData, error));
            }
            Ok(HandshakeResult::Owner(
                Box::new((reader, writer)),
                welcome.epoch,
            ))
        }
        Some(PoolBody::NotOwner(other)) => {
            Ok(HandshakeResult::NotOwner(other.address.parse().ok()))
        }
        _ => Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "first message of the process is not a handshake reply",
        )),
    }
}

async fn run_link(state: &Rc<FrontState>, epoch: u64, reader: PoolReader, writer: PoolWriter) {
    let (outbox, inbox) = unbounded();
    *state.outbox.borrow_mut() = Some(outbox.clone());
    state.shared.owner_contact_at.set(state.shared.now());
    send_ended_boots(state, &outbox);
    let writing = spawn(write_link(writer, inbox));
    let heartbeats = spawn(send_heartbeats(state.clone(), outbox));
    {
        let read = pin!(read_link(state, reader));
        let superseded = pin!(wait_until_superseded(state, epoch));
        select(read, superseded).await;
    }
    // The longer heartbeat period of the last grant ends with the link.
    state.shared.heartbeat_period.set(FRONT_HEARTBEAT_PERIOD);
    *state.outbox.borrow_mut() = None;
    state.queries.borrow_mut().clear();
    state.pending_relays.borrow_mut().clear();
    // Dropping the tasks cancels them and closes the connection.
    drop(heartbeats);
    drop(writing);
}

/// Sends the boots that this front knows to have ended; a new owner may be waiting for them. Only
/// fronts that are first in the order of takeover send the list: they learn of each end sooner than
/// others, whose lists have nothing to add.
fn send_ended_boots(state: &FrontState, outbox: &UnboundedSender<PoolBody>) {
    let is_early_candidate = state
        .shared
        .rank
        .get()
        .is_none_or(|candidate| is_early_candidate(candidate.rank));
    let ended = state.shared.ended_boots.borrow();
    let mut sent = if is_early_candidate { 0 } else { ended.count() };
    loop {
        let page = BootsEnded::new(ended.after(sent, MAX_BOOTS_PER_MESSAGE));
        if page.boots.is_empty() {
            return;
        }
        sent += page.boots.len() as u64;
        // If the link has just closed, the list is sent on the next one.
        let _ = outbox.unbounded_send(PoolBody::BootsEnded(page));
    }
}

async fn read_link(state: &Rc<FrontState>, mut reader: PoolReader) {
    loop {
        let limit = state.shared.allowed_silence(LINK_TIMEOUT);
        match timeout(limit, reader.read()).await {
            Ok(Ok(Some(body))) => handle_message(state, body),
            _ => return,
        }
    }
}

/// Waits until a term later than that of the link is known, so that messages of the linked owner
/// are outdated.
async fn wait_until_superseded(state: &FrontState, epoch: u64) {
    loop {
        let listener = state.shared.owner_changed.listen();
        let known_epoch = state
            .shared
            .owner
            .borrow()
            .as_ref()
            .map(|owner| owner.epoch);
        if known_epoch.is_some_and(|known_epoch| known_epoch > epoch) {
            return;
        }
        listener.await;
    }
}

async fn write_link(mut writer: PoolWriter, mut inbox: UnboundedReceiver<PoolBody>) {
    if let Err(error) = writer.forward(&mut inbox).await {
        tracing::info!(%error, "writing to the owner failed");
    }
}

async fn send_heartbeats(state: Rc<FrontState>, outbox: UnboundedSender<PoolBody>) {
    loop {
        let now = state.shared.now();
        let heartbeat = LinkHeartbeat {
            sent_us: now.0,
            config_version: state.shared.config_version(),
            fitness: state.shared.fitness().0,
            store_lost: state.store_lost_since.get().is_some(),
            leases_ms: None,
        };
        if outbox
            .unbounded_send(PoolBody::Heartbeat(heartbeat))
            .is_err()
        {
            return;
        }
        let period = state.shared.heartbeat_period.get();
        sleep(period).await;
        state.shared.record_timer(period, now);
    }
}

/// Sends a transaction on behalf of the owner, whose calls the store refuses or does not answer.
fn relay_for_owner(state: &Rc<FrontState>, request: RelayRequest) {
    let Some(outbox) = state.outbox.borrow().clone() else {
        return;
    };
    let state = state.clone();
    spawn(async move {
        // Transactions that wait longer than `LINK_TIMEOUT` are dropped with the link.
        let reply = relay_transaction(&state.shared, request, Duration::ZERO).await;
        // If the link has closed, the owner does not wait for the reply any more.
        let _ = outbox.unbounded_send(PoolBody::RelayReply(reply));
    })
    .detach();
}

fn handle_message(state: &Rc<FrontState>, body: PoolBody) {
    match body {
        PoolBody::Grant(grant) => {
            // A grant from an owner that has lost the store does not count as contact, so that
            // candidates check the heartbeat row at once.
            let contact_at = if grant.store_lost {
                TimePoint::default()
            } else {
                state.shared.now()
            };
            state.shared.owner_contact_at.set(contact_at);
            state.shared.link_contact_at.set(state.shared.now());
            state
                .shared
                .heartbeat_period
                .set(grant.heartbeat_period(FRONT_HEARTBEAT_PERIOD));
            state.shared.rank.set(Some(CandidateRank {
                rank: grant.takeover_rank,
                best_fitness: OwnerFitness(grant.best_fitness),
            }));
            if let Some(age_ms) = grant.config_age_ms {
                let (sent_at, age) = (TimePoint(grant.sent_us), Duration::from_millis(age_ms));
                state
                    .shared
                    .record_owner_config(grant.config_version, sent_at, age);
            }
            if grant.config_version < state.shared.config_version() {
                let text = state.shared.config_text.borrow().clone();
                if let Some(outbox) = &*state.outbox.borrow() {
                    // If the link has closed, versions are compared again on the next one.
                    let _ = outbox.unbounded_send(PoolBody::Config(ConfigPush { text }));
                }
            }
        }
        PoolBody::JobReply(reply) => {
            if let Some(caller) = state.queries.borrow_mut().remove(&reply.request_id) {
                // The caller may have given up waiting.
                let _ = caller.send(reply);
            }
        }
        PoolBody::RelayReply(reply) => {
            if let Some(caller) = state.pending_relays.borrow_mut().remove(&reply.request_id) {
                // The caller may have given up waiting.
                let _ = caller.send(reply);
            }
        }
        PoolBody::RelayRequest(request) => relay_for_owner(state, request),
        PoolBody::BootsEnded(message) => {
            let mut ended = state.shared.ended_boots.borrow_mut();
            for boot in &message.boots {
                ended.record(&boot.into());
            }
        }
        PoolBody::Config(push) => {
            if let Err(error) = state.shared.offer_config(&push.text, "the owner") {
                tracing::error!(%error, "refused the owner's config");
            }
        }
        other => tracing::warn!(?other, "unexpected message from the owner"),
    }
}
