//! Finds the owner of the shard and keeps a link to it.

use crate::state::{AgentState, OwnerLink};
use compio::net::TcpStream;
use compio::runtime::spawn;
use compio::time::{sleep, timeout};
use futures_channel::mpsc::{UnboundedReceiver, unbounded};
use futures_util::future::{Either, select};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use wax_batch::RunId;
use wax_policy::AGENT_HEARTBEAT_PERIOD;
use wax_types::TimePoint;
use wax_wire::{
    AgentHello, LinkHeartbeat, PoolBody, PoolReader, PoolWriter, WorkerAccepted, split_stream,
};

/// Longest time for a connection and its first answer.
const CONNECT_LIMIT: Duration = Duration::from_millis(600);
/// A link without an answer to its heartbeats for this long is given up.
const LINK_LIMIT: Duration = Duration::from_millis(1_800);
/// The same while the owner still loads its shard and has not taken over the worker's runs.
const TAKEOVER_LIMIT: Duration = Duration::from_millis(5_000);
/// Beside an owner that has lost the store, another is looked for this often.
const SEEK_PERIOD: Duration = Duration::from_millis(400);
/// How long a link that is closed on purpose may take to send what was told on it.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);
/// Between two rounds of the search, with as much again at random.
const SEARCH_PAUSE: Duration = Duration::from_millis(120);

/// Where an owner may be found.
pub trait OwnerDirectory {
    /// The owner's address as the store has it.
    fn read(&self) -> impl Future<Output = Option<SocketAddr>>;
}

/// Keeps a link to the owner for the life of the process.
pub(crate) async fn keep_owner_link(
    state: Rc<AgentState>,
    seeds: Vec<SocketAddr>,
    directory: impl OwnerDirectory,
) {
    let mut search = OwnerSearch {
        seeds,
        directory,
        hint: None,
        round: 0,
    };
    let mut generation = 0;
    let mut found: Option<(Box<OpenLink>, SocketAddr)> = None;
    loop {
        let Some((link, address)) = found.take() else {
            found = search.look(&state, None).await;
            if found.is_none() && search.hint.is_none() {
                pause().await;
            }
            continue;
        };
        generation += 1;
        tracing::info!(owner = %address, epoch = link.epoch, "linked to the owner");
        let why = {
            let run = pin!(run_link(&state, *link, generation));
            let seek = pin!(seek_successor(&state, &mut search, address));
            match select(run, seek).await {
                Either::Left((why, _)) => why,
                Either::Right((successor, _)) => {
                    found = Some(successor);
                    "another owner was found"
                }
            }
        };
        search.hint = found.is_none().then_some(address);
        tracing::warn!(owner = %address, why, "link to the owner lost");
        *state.link.borrow_mut() = None;
    }
}

/// Where an owner is looked for next.
struct OwnerSearch<D> {
    seeds: Vec<SocketAddr>,
    directory: D,
    hint: Option<SocketAddr>,
    round: usize,
}

impl<D: OwnerDirectory> OwnerSearch<D> {
    /// Tries one address, other than `current`; keeps the hint that it may give.
    async fn look(
        &mut self,
        state: &AgentState,
        current: Option<SocketAddr>,
    ) -> Option<(Box<OpenLink>, SocketAddr)> {
        let address = self.next_address().await;
        let address = address.filter(|address| Some(*address) != current)?;
        match open(state, address).await {
            Ok(Opened::Owner(link)) => return Some((link, address)),
            Ok(Opened::Elsewhere(Some(other))) if other != address && Some(other) != current => {
                self.hint = Some(other);
            }
            Ok(Opened::Elsewhere(_)) | Err(_) => {}
        }
        None
    }

    /// The store is asked in one round of four: the other rounds cost the platform nothing.
    async fn next_address(&mut self) -> Option<SocketAddr> {
        if let Some(hint) = self.hint.take() {
            return Some(hint);
        }
        let round = self.round;
        self.round += 1;
        if round % 4 == 3 || self.seeds.is_empty() {
            return self.directory.read().await;
        }
        self.seeds.get(round % self.seeds.len()).copied()
    }
}

/// Looks for a newer owner as long as the present one has lost the store.
///
/// An owner that is cut off cannot know that it was replaced: its agents would stay with it.
async fn seek_successor<D: OwnerDirectory>(
    state: &AgentState,
    search: &mut OwnerSearch<D>,
    current: SocketAddr,
) -> (Box<OpenLink>, SocketAddr) {
    loop {
        sleep(SEEK_PERIOD).await;
        if !state.owner_cut_off.get() {
            continue;
        }
        let found = search.look(state, Some(current)).await;
        if let Some((link, address)) = found.filter(|(link, _)| link.token > state.token.get()) {
            return (link, address);
        }
    }
}

async fn pause() {
    sleep(SEARCH_PAUSE + SEARCH_PAUSE.mul_f64(fastrand::f64())).await;
}

struct OpenLink {
    reader: PoolReader,
    writer: PoolWriter,
    epoch: u64,
    token: u64,
}

enum Opened {
    Owner(Box<OpenLink>),
    Elsewhere(Option<SocketAddr>),
}

async fn open(state: &AgentState, address: SocketAddr) -> io::Result<Opened> {
    let late = || io::Error::new(io::ErrorKind::TimedOut, "no answer in time");
    timeout(CONNECT_LIMIT, greet(state, address))
        .await
        .map_err(|_| late())?
}

async fn greet(state: &AgentState, address: SocketAddr) -> io::Result<Opened> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut reader, mut writer) = split_stream(stream);
    let hello = AgentHello {
        node: state.node.to_string(),
        ended_boots: state.boots.borrow().newest_dead().map(Into::into).collect(),
    };
    writer.write(PoolBody::AgentHello(hello)).await?;
    match reader.read().await? {
        Some(PoolBody::Welcome(welcome)) => Ok(Opened::Owner(Box::new(OpenLink {
            reader,
            writer,
            epoch: welcome.epoch,
            token: welcome.token,
        }))),
        Some(PoolBody::NotOwner(other)) => Ok(Opened::Elsewhere(other.address.parse().ok())),
        _ => Err(io::Error::new(io::ErrorKind::InvalidData, "no welcome")),
    }
}

async fn run_link(state: &Rc<AgentState>, link: OpenLink, generation: u64) -> &'static str {
    if link.token <= state.token.get() {
        return "an owner of the past";
    }
    let (outbox, inbox) = unbounded();
    let token_wanted = state.token_wanted.listen();
    state.token.set(link.token);
    state.granted.set(TimePoint::default());
    state.owner_cut_off.set(false);
    *state.link.borrow_mut() = Some(OwnerLink {
        generation,
        outbox: outbox.clone(),
        kept: false,
    });
    state.changed.notify(usize::MAX);
    let heard = Rc::new(Cell::new(state.now()));
    let writing = spawn(write_link(link.writer, inbox));
    let pinging = spawn(ping(state.clone(), outbox, heard.clone()));
    let why = {
        let read = pin!(read_link(state, link.reader, &heard));
        match select(read, token_wanted).await {
            Either::Left((why, _)) => Some(why),
            Either::Right(_) => None,
        }
    };
    // Dropped tasks are cancelled; the connection closes with them.
    drop(pinging);
    *state.link.borrow_mut() = None;
    if why.is_none() {
        // The owner is to hear what was told before on this link.
        let _ = timeout(FLUSH_LIMIT, writing).await;
    }
    why.unwrap_or("a higher token is needed")
}

async fn write_link(mut writer: PoolWriter, mut inbox: UnboundedReceiver<PoolBody>) {
    if let Err(error) = writer.forward(&mut inbox).await {
        tracing::info!(%error, "writing to the owner failed");
    }
}

async fn ping(
    state: Rc<AgentState>,
    outbox: futures_channel::mpsc::UnboundedSender<PoolBody>,
    heard: Rc<Cell<TimePoint>>,
) {
    while state.now().since(heard.get()) < silence_limit(&state) {
        let ping = LinkHeartbeat {
            sent_us: state.now().0,
            ..Default::default()
        };
        state.tell_gathered();
        if outbox.unbounded_send(PoolBody::Heartbeat(ping)).is_err() {
            return;
        }
        sleep(state.period.get()).await;
    }
}

fn silence_limit(state: &AgentState) -> Duration {
    let longer = state.period.get().saturating_sub(AGENT_HEARTBEAT_PERIOD);
    if state.is_kept() || state.boot.borrow().is_none() {
        LINK_LIMIT + longer
    } else {
        TAKEOVER_LIMIT
    }
}

async fn read_link(
    state: &Rc<AgentState>,
    mut reader: PoolReader,
    heard: &Cell<TimePoint>,
) -> &'static str {
    loop {
        let limit = silence_limit(state);
        let left = limit.saturating_sub(state.now().since(heard.get()));
        let body = match timeout(left.max(Duration::from_millis(1)), reader.read()).await {
            Ok(Ok(Some(body))) => body,
            Ok(Ok(None)) => return "the owner closed it",
            Ok(Err(_)) => return "it broke",
            Err(_) if state.now().since(heard.get()) >= limit => return "the owner is silent",
            Err(_) => continue,
        };
        heard.set(state.now());
        take_message(state, body);
    }
}

fn take_message(state: &Rc<AgentState>, body: PoolBody) {
    match body {
        PoolBody::Grant(grant) => {
            state.owner_cut_off.set(grant.store_lost);
            state
                .period
                .set(grant.heartbeat_period(AGENT_HEARTBEAT_PERIOD));
            state.overload.set(f64::from(grant.overload));
            if let Some(frame) = grant.drains {
                state.take_drains(frame, TimePoint(grant.sent_us));
            }
            let until = TimePoint(grant.sent_us) + Duration::from_millis(grant.valid_ms);
            state.take_grant(until);
        }
        PoolBody::WorkerAccepted(kept) => keep_worker(state, &kept),
        PoolBody::Start(order) => state.order_start(order),
        PoolBody::Stop(order) => state.order_stop(RunId::from(&order.run_id)),
        PoolBody::Ack(ack) => {
            let mut boot = state.boot.borrow_mut();
            let meant = ack.boot();
            if let Some(boot) = boot
                .as_mut()
                .filter(|boot| boot.view.boot.may_match(&meant))
            {
                boot.ack_cursor = boot.ack_cursor.max(ack.cursor);
            }
        }
        PoolBody::Interference(news) => {
            if let Some(boot) = state.boot.borrow_mut().as_mut() {
                for pair in &news.pairs {
                    boot.pace
                        .set_pair(&pair.serving, &pair.best_effort, pair.interference());
                }
            }
        }
        other => tracing::warn!(?other, "unexpected message of the owner"),
    }
}

fn keep_worker(state: &AgentState, kept: &WorkerAccepted) {
    let meant = kept.boot();
    let mut boot = state.boot.borrow_mut();
    let Some(boot) = boot
        .as_mut()
        .filter(|boot| boot.view.boot.may_match(&meant))
    else {
        return;
    };
    for seat in &kept.placements {
        boot.table.learn(RunId::from(&seat.run_id), seat.into());
    }
    if let Some(link) = state.link.borrow_mut().as_mut() {
        link.kept = true;
    }
    state.take_grant(state.granted.get());
}
