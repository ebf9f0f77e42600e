//! Finds the owner of the shard and maintains a link to it.

use crate::run_list::{LinkGeneration, ListNumber};
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

/// Timeout for a connection with its handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// A link is closed if the owner has sent nothing for this long.
const LINK_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Timeout of a link while the owner loads its shard and has not taken over the worker's runs.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Period of the search for another owner while the linked one has lost the store.
const SUCCESSOR_SEARCH_PERIOD: Duration = Duration::from_millis(400);
/// How long a link that this process closes may take to send the queued messages.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Delay between two attempts of the search, plus up to as much again at random.
const SEARCH_RETRY_DELAY: Duration = Duration::from_millis(120);

/// Source for the owner's address.
pub trait OwnerDirectory {
    /// Reads the owner's address from the store; `None` if it is unknown.
    fn read(&self) -> impl Future<Output = Option<SocketAddr>>;
}

/// Maintains a link to the owner for the lifetime of the process.
pub(crate) async fn maintain_owner_link(
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
    let mut generation = LinkGeneration(0);
    let mut found: Option<(Box<OpenLink>, SocketAddr)> = None;
    loop {
        let Some((link, address)) = found.take() else {
            found = search.try_next(&state, None).await;
            if found.is_none() && search.hint.is_none() {
                pause_search().await;
            }
            continue;
        };
        generation.0 += 1;
        tracing::info!(owner = %address, epoch = link.epoch, "linked to the owner");
        let reason = {
            let run = pin!(run_link(&state, *link, generation));
            let seek = pin!(seek_successor(&state, &mut search, address));
            match select(run, seek).await {
                Either::Left((reason, _)) => reason,
                Either::Right((successor, _)) => {
                    found = Some(successor);
                    "a newer owner was found"
                }
            }
        };
        search.hint = found.is_none().then_some(address);
        tracing::warn!(owner = %address, why = reason, "link to the owner lost");
        *state.link.borrow_mut() = None;
    }
}

/// Addresses at which the owner is searched.
struct OwnerSearch<D> {
    seeds: Vec<SocketAddr>,
    directory: D,
    hint: Option<SocketAddr>,
    round: usize,
}

impl<D: OwnerDirectory> OwnerSearch<D> {
    /// Tries the next address, unless it is `current`. If the process there names another address,
    /// this one is tried next.
    async fn try_next(
        &mut self,
        state: &AgentState,
        current: Option<SocketAddr>,
    ) -> Option<(Box<OpenLink>, SocketAddr)> {
        let address = self.next_address().await;
        let address = address.filter(|address| Some(*address) != current)?;
        match connect(state, address).await {
            Ok(ConnectResult::Owner(link)) => return Some((link, address)),
            Ok(ConnectResult::NotOwner(Some(other)))
                if other != address && Some(other) != current =>
            {
                self.hint = Some(other);
            }
            Ok(ConnectResult::NotOwner(_)) | Err(_) => {}
        }
        None
    }

    /// Returns the next address to try. The store is read in one of four rounds, so that most of
    /// the search does not load the platform.
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

/// Searches for a newer owner while the linked one has lost the store.
///
/// An owner without the store does not learn that it was replaced, and its agents would stay
/// linked to it.
async fn seek_successor<D: OwnerDirectory>(
    state: &AgentState,
    search: &mut OwnerSearch<D>,
    current: SocketAddr,
) -> (Box<OpenLink>, SocketAddr) {
    loop {
        sleep(SUCCESSOR_SEARCH_PERIOD).await;
        if !state.owner_store_lost.get() {
            continue;
        }
        let found = search.try_next(state, Some(current)).await;
        if let Some((link, address)) =
            found.filter(|(link, _)| link.token > state.fencing_token.get())
        {
            return (link, address);
        }
    }
}

async fn pause_search() {
    sleep(SEARCH_RETRY_DELAY + SEARCH_RETRY_DELAY.mul_f64(fastrand::f64())).await;
}

struct OpenLink {
    reader: PoolReader,
    writer: PoolWriter,
    epoch: u64,
    token: u64,
    /// Highest token that the agent may use on this link.
    last_token: u64,
}

enum ConnectResult {
    Owner(Box<OpenLink>),
    NotOwner(Option<SocketAddr>),
}

async fn connect(state: &AgentState, address: SocketAddr) -> io::Result<ConnectResult> {
    let timed_out = || {
        io::Error::new(
            io::ErrorKind::TimedOut,
            "connection and handshake timed out",
        )
    };
    timeout(CONNECT_TIMEOUT, handshake(state, address))
        .await
        .map_err(|_| timed_out())?
}

async fn handshake(state: &AgentState, address: SocketAddr) -> io::Result<ConnectResult> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut reader, mut writer) = split_stream(stream);
    let hello = AgentHello {
        node: state.node.to_string(),
        ended_boots: state
            .boots
            .borrow()
            .newest_ended()
            .map(Into::into)
            .collect(),
    };
    writer.write(PoolBody::AgentHello(hello)).await?;
    match reader.read().await? {
        Some(PoolBody::Welcome(welcome)) => Ok(ConnectResult::Owner(Box::new(OpenLink {
            reader,
            writer,
            epoch: welcome.epoch,
            token: welcome.token,
            last_token: welcome.token.saturating_add(welcome.reserved_tokens),
        }))),
        Some(PoolBody::NotOwner(other)) => Ok(ConnectResult::NotOwner(other.address.parse().ok())),
        _ => Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "first message of the process is not a handshake reply",
        )),
    }
}

async fn run_link(
    state: &Rc<AgentState>,
    link: OpenLink,
    generation: LinkGeneration,
) -> &'static str {
    if link.token <= state.fencing_token.get() {
        return "the owner's fencing token is outdated";
    }
    let (outbox, inbox) = unbounded();
    let higher_token_wanted = state.higher_token_wanted.listen();
    state.fencing_token.set(link.token);
    state.last_token.set(link.last_token);
    state.granted_until.set(TimePoint::default());
    state.owner_store_lost.set(false);
    *state.link.borrow_mut() = Some(OwnerLink {
        generation,
        outbox: outbox.clone(),
    });
    state.changed.notify(usize::MAX);
    let last_received = Rc::new(Cell::new(state.now()));
    let writing = spawn(write_link(link.writer, inbox));
    let heartbeats = spawn(send_heartbeats(
        state.clone(),
        outbox,
        last_received.clone(),
    ));
    let reason = {
        let read = pin!(read_link(state, link.reader, &last_received));
        match select(read, higher_token_wanted).await {
            Either::Left((reason, _)) => Some(reason),
            Either::Right(_) => None,
        }
    };
    // Dropping the tasks cancels them and closes the connection.
    drop(heartbeats);
    *state.link.borrow_mut() = None;
    if reason.is_none() {
        // The owner gets the messages that are queued on this link.
        let _ = timeout(FLUSH_TIMEOUT, writing).await;
    }
    reason.unwrap_or("a higher fencing token is needed")
}

async fn write_link(mut writer: PoolWriter, mut inbox: UnboundedReceiver<PoolBody>) {
    if let Err(error) = writer.forward(&mut inbox).await {
        tracing::info!(%error, "writing to the owner failed");
    }
}

async fn send_heartbeats(
    state: Rc<AgentState>,
    outbox: futures_channel::mpsc::UnboundedSender<PoolBody>,
    last_received: Rc<Cell<TimePoint>>,
) {
    while state.now().since(last_received.get()) < link_timeout(&state) {
        let heartbeat = LinkHeartbeat {
            sent_us: state.now().0,
            leases_ms: state
                .unbounded_leases()
                .map(|left| left.as_millis() as u64 + 1),
            ..Default::default()
        };
        state.send_pending_updates();
        if outbox
            .unbounded_send(PoolBody::Heartbeat(heartbeat))
            .is_err()
        {
            return;
        }
        sleep(state.heartbeat_period.get()).await;
    }
}

fn link_timeout(state: &AgentState) -> Duration {
    let extension = state
        .heartbeat_period
        .get()
        .saturating_sub(AGENT_HEARTBEAT_PERIOD);
    if state.is_reconciled() || state.boot.borrow().is_none() {
        LINK_TIMEOUT + extension
    } else {
        TAKEOVER_TIMEOUT
    }
}

async fn read_link(
    state: &Rc<AgentState>,
    mut reader: PoolReader,
    last_received: &Cell<TimePoint>,
) -> &'static str {
    loop {
        let limit = link_timeout(state);
        let remaining = limit.saturating_sub(state.now().since(last_received.get()));
        let body = match timeout(remaining.max(Duration::from_millis(1)), reader.read()).await {
            Ok(Ok(Some(body))) => body,
            Ok(Ok(None)) => return "the owner closed the link",
            Ok(Err(_)) => return "the connection failed",
            Err(_) if state.now().since(last_received.get()) >= limit => {
                return "the owner sent nothing within the timeout";
            }
            Err(_) => continue,
        };
        last_received.set(state.now());
        handle_message(state, body);
    }
}

pub(crate) fn handle_message(state: &Rc<AgentState>, body: PoolBody) {
    match body {
        PoolBody::Grant(grant) => {
            state.owner_store_lost.set(grant.store_lost);
            state
                .heartbeat_period
                .set(grant.heartbeat_period(AGENT_HEARTBEAT_PERIOD));
            state.overload.set(f64::from(grant.overload));
            if let Some(frame) = grant.drains {
                state.apply_drains(frame, TimePoint(grant.sent_us));
            }
            let until = TimePoint(grant.sent_us) + Duration::from_millis(grant.valid_ms);
            state.apply_grant(until);
        }
        PoolBody::WorkerAccepted(message) => record_acceptance(state, &message),
        PoolBody::Start(order) => state.handle_start(order),
        PoolBody::Stop(order) => state.handle_stop(RunId::from(&order.run_id)),
        PoolBody::Ack(ack) => {
            let mut boot = state.boot.borrow_mut();
            let target = ack.boot();
            if let Some(boot) = boot
                .as_mut()
                .filter(|boot| boot.view.boot.may_match(&target))
            {
                boot.ack_cursor = boot.ack_cursor.max(ack.cursor);
            }
        }
        PoolBody::Interference(update) => {
            if let Some(boot) = state.boot.borrow_mut().as_mut() {
                for pair in &update.pairs {
                    boot.pace
                        .set_pair(&pair.serving, &pair.best_effort, pair.interference());
                }
            }
        }
        other => tracing::warn!(?other, "unexpected message from the owner"),
    }
}

/// Records that the owner has accepted the run list that was sent last.
fn record_acceptance(state: &AgentState, message: &WorkerAccepted) {
    let Some(link) = state.link_generation() else {
        return;
    };
    let target = message.boot();
    {
        let mut boot = state.boot.borrow_mut();
        let boot = boot.as_mut();
        let Some(boot) = boot.filter(|boot| boot.view.boot.may_match(&target)) else {
            return;
        };
        if !boot.run_list.accept(link, message.list.map(ListNumber)) {
            tracing::info!(worker = %boot.view.boot, list = message.list, "ignored the acceptance of an earlier run list");
            return;
        }
        boot.has_unreported_leases = false;
        for placement in &message.placements {
            boot.table
                .set_placement(RunId::from(&placement.run_id), placement.into());
        }
    }
    state.apply_grant(state.granted_until.get());
}
