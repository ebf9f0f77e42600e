//! A front's link to the owner: questions about jobs, versions of the config, and heartbeats.

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

/// Longest time for a connection and its first answer.
const CONNECT_LIMIT: Duration = Duration::from_millis(600);
/// A link without an answer for this long is given up.
const LINK_LIMIT: Duration = Duration::from_millis(800);
/// Dead boots that one message names: some kilobytes.
const MOST_DEAD_TOLD: usize = 256;
/// Between two tries, with as much again at random.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Keeps a link to the owner for the life of the process.
pub(crate) async fn keep_owner_link(state: Rc<FrontState>, seeds: Vec<SocketAddr>) {
    let mut hint = None;
    let mut round = 0_usize;
    loop {
        let known = known_owner(&state);
        let seed = nth_seed(&state, &seeds, round);
        round += 1;
        let address = hint.take().or(known).or(seed);
        match address.filter(|address| *address != state.shared.address) {
            Some(address) if looks_for_owner(&state) => {
                hint = try_owner(&state, address).await;
            }
            _ => {}
        }
        let pause = RETRY_PAUSE + RETRY_PAUSE.mul_f64(fastrand::f64());
        let began = state.shared.now();
        sleep(pause).await;
        state.shared.record_timer(pause, began);
    }
}

/// The seeds by turns, and the fronts that were ever linked to this process.
fn nth_seed(state: &FrontState, seeds: &[SocketAddr], round: usize) -> Option<SocketAddr> {
    let fronts = state.shared.front_addresses.borrow();
    let all: Vec<SocketAddr> = seeds.iter().chain(fronts.iter()).copied().collect();
    all.get(round % all.len().max(1)).copied()
}

/// An owner looks for another only once its store is silent: it cannot know that it was replaced.
fn looks_for_owner(state: &FrontState) -> bool {
    let term = state.shared.current_term();
    term.is_none_or(|term| term.may_be_superseded(state.shared.now()))
}

/// The owner as the store had it last, if it is another process than this one.
fn known_owner(state: &FrontState) -> Option<SocketAddr> {
    let owner = state.shared.owner.borrow();
    let address = owner.as_ref().filter(|owner| !owner.released)?.address;
    address.filter(|address| *address != state.shared.address)
}

/// Links to the owner at `address`; returns where else it may be.
async fn try_owner(state: &Rc<FrontState>, address: SocketAddr) -> Option<SocketAddr> {
    match timeout(CONNECT_LIMIT, greet(state, address)).await {
        Ok(Ok(Greeting::Owner(stream, epoch))) => {
            let (reader, writer) = *stream;
            tracing::info!(owner = %address, "linked to the owner");
            run_link(state, epoch, reader, writer).await;
            tracing::info!(owner = %address, "link to the owner ended");
            None
        }
        Ok(Ok(Greeting::Elsewhere(other))) => other,
        Ok(Err(error)) => {
            note_refused(state, address, &error);
            None
        }
        Err(_) => None,
    }
}

/// The owner listens for the life of its process: where nobody does, its term is over.
fn note_refused(state: &FrontState, address: SocketAddr, error: &io::Error) {
    let owner = state.shared.owner.borrow();
    let refused = owner.as_ref().filter(|owner| {
        owner.address == Some(address) && error.kind() == io::ErrorKind::ConnectionRefused
    });
    if let Some(owner) = refused
        && state.shared.refused_epoch.replace(owner.epoch) != owner.epoch
    {
        tracing::info!(owner = %address, epoch = owner.epoch, "nobody listens at the owner's address");
        state.shared.owner_changed.notify(usize::MAX);
    }
}

enum Greeting {
    /// With the owner's term.
    Owner(Box<(PoolReader, PoolWriter)>, u64),
    Elsewhere(Option<SocketAddr>),
}

async fn greet(state: &FrontState, address: SocketAddr) -> io::Result<Greeting> {
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
                let error = "it is of an earlier term than this process";
                return Err(io::Error::new(io::ErrorKind::InvalidData, error));
            }
            Ok(Greeting::Owner(Box::new((reader, writer)), welcome.epoch))
        }
        Some(PoolBody::NotOwner(other)) => Ok(Greeting::Elsewhere(other.address.parse().ok())),
        _ => Err(io::Error::new(io::ErrorKind::InvalidData, "no welcome")),
    }
}

async fn run_link(state: &Rc<FrontState>, epoch: u64, reader: PoolReader, writer: PoolWriter) {
    let (outbox, inbox) = unbounded();
    *state.outbox.borrow_mut() = Some(outbox.clone());
    state.shared.owner_heard_at.set(state.shared.now());
    tell_dead(state, &outbox);
    let writing = spawn(write_link(writer, inbox));
    let pinging = spawn(ping(state.clone(), outbox));
    {
        let read = pin!(read_link(state, reader));
        let replaced = pin!(wait_replaced(state, epoch));
        select(read, replaced).await;
    }
    // What was heard on the link says no more than a heartbeat at the usual period would.
    state.shared.heartbeat_period.set(FRONT_HEARTBEAT_PERIOD);
    *state.outbox.borrow_mut() = None;
    state.asks.borrow_mut().clear();
    state.relays.borrow_mut().clear();
    // Dropped tasks are cancelled; the connection closes with them.
    drop(pinging);
    drop(writing);
}

/// A new owner may wait for workers that this front knows to be gone. The fronts that go first at a takeover hear
/// of each sooner than others; what all would tell is the same.
fn tell_dead(state: &FrontState, outbox: &UnboundedSender<PoolBody>) {
    let is_early_candidate = state
        .shared
        .rank
        .get()
        .is_none_or(|turn| is_early_candidate(turn.rank));
    let gone = state.shared.ended_boots.borrow();
    let mut told = if is_early_candidate { 0 } else { gone.count() };
    loop {
        let page = BootsEnded::new(gone.after(told, MOST_DEAD_TOLD));
        if page.boots.is_empty() {
            return;
        }
        told += page.boots.len() as u64;
        // A link that has just closed is replaced, and all is told on the next one.
        let _ = outbox.unbounded_send(PoolBody::BootsEnded(page));
    }
}

async fn read_link(state: &Rc<FrontState>, mut reader: PoolReader) {
    loop {
        let limit = state.shared.allowed_silence(LINK_LIMIT);
        match timeout(limit, reader.read()).await {
            Ok(Ok(Some(body))) => take_message(state, body),
            _ => return,
        }
    }
}

/// Waits until a later term than the link's is known: what its owner says is of the past.
async fn wait_replaced(state: &FrontState, epoch: u64) {
    loop {
        let listener = state.shared.owner_changed.listen();
        let known = state
            .shared
            .owner
            .borrow()
            .as_ref()
            .map(|owner| owner.epoch);
        if known.is_some_and(|known| known > epoch) {
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

async fn ping(state: Rc<FrontState>, outbox: UnboundedSender<PoolBody>) {
    loop {
        let now = state.shared.now();
        let ping = LinkHeartbeat {
            sent_us: now.0,
            config_version: state.shared.config_version(),
            fitness: state.shared.fitness().0,
            store_lost: state.store_lost.get().is_some(),
        };
        if outbox.unbounded_send(PoolBody::Heartbeat(ping)).is_err() {
            return;
        }
        let period = state.shared.heartbeat_period.get();
        sleep(period).await;
        state.shared.record_timer(period, now);
    }
}

/// The store turns the owner away: this front sends its transaction.
fn send_for_owner(state: &Rc<FrontState>, ask: RelayRequest) {
    let Some(outbox) = state.outbox.borrow().clone() else {
        return;
    };
    let state = state.clone();
    spawn(async move {
        // What waits longer than a link may be silent is dropped with the link.
        let told = relay_transaction(&state.shared, ask, Duration::ZERO).await;
        // An owner that has gone asks nobody any more.
        let _ = outbox.unbounded_send(PoolBody::RelayReply(told));
    })
    .detach();
}

fn take_message(state: &Rc<FrontState>, body: PoolBody) {
    match body {
        PoolBody::Grant(grant) => {
            // An owner without its store is in doubt at once: its beat is looked at.
            let heard = if grant.store_lost {
                TimePoint::default()
            } else {
                state.shared.now()
            };
            state.shared.owner_heard_at.set(heard);
            state.shared.link_heard_at.set(state.shared.now());
            state
                .shared
                .heartbeat_period
                .set(grant.heartbeat_period(FRONT_HEARTBEAT_PERIOD));
            state.shared.rank.set(Some(CandidateRank {
                rank: grant.takeover_rank,
                best_fitness: OwnerFitness(grant.best_fitness),
            }));
            if let Some(age_ms) = grant.config_age_ms {
                let (sent, age) = (TimePoint(grant.sent_us), Duration::from_millis(age_ms));
                state
                    .shared
                    .record_owner_config(grant.config_version, sent, age);
            }
            if grant.config_version < state.shared.config_version() {
                let text = state.shared.config_text.borrow().clone();
                if let Some(outbox) = &*state.outbox.borrow() {
                    // A closed link is replaced, and versions are compared anew.
                    let _ = outbox.unbounded_send(PoolBody::Config(ConfigPush { text }));
                }
            }
        }
        PoolBody::JobReply(told) => {
            if let Some(asker) = state.asks.borrow_mut().remove(&told.request_id) {
                // An asker that has given up does not need the answer.
                let _ = asker.send(told);
            }
        }
        PoolBody::RelayReply(told) => {
            if let Some(asker) = state.relays.borrow_mut().remove(&told.request_id) {
                // As above.
                let _ = asker.send(told);
            }
        }
        PoolBody::RelayRequest(ask) => send_for_owner(state, ask),
        PoolBody::BootsEnded(dead) => {
            let mut gone = state.shared.ended_boots.borrow_mut();
            for boot in &dead.boots {
                gone.record(&boot.into());
            }
        }
        PoolBody::Config(push) => {
            if let Err(error) = state.shared.offer_config(&push.text, "the owner") {
                tracing::error!(%error, "config of the owner refused");
            }
        }
        other => tracing::warn!(?other, "unexpected message of the owner"),
    }
}
