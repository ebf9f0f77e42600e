//! Starts a front and keeps it until it is told to stop.

use crate::handler::CallerHandler;
use crate::owner_link::keep_owner_link;
use crate::readiness::{ReadinessHandler, look_after_store};
use crate::state::FrontState;
use compio::runtime::spawn;
use compio::time::sleep;
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;
use platform::StoreClient;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use wax_http::{HttpServer, ShutdownSignal, bind_listener};
use wax_owner::{PoolShared, VmCapacity, follow_operator_rows, run_ownership, serve_peers};
use wax_settings::{DaemonSettings, VmSettings};
use wax_types::{ErrorKind, Step, WaxError};

/// After a stop is asked for, connections are taken this long: the balancer notices by two misses.
const LEAVE_ROTATION: Duration = Duration::from_millis(2_300);
/// Before the process is killed it must be done this long.
const KILL_MARGIN: Duration = Duration::from_millis(600);

/// Runs a front until `shutdown`; no request in progress is cut off.
///
/// # Errors
///
/// A section of the settings is missing, or an address is taken.
pub async fn run_front(
    settings: &DaemonSettings,
    changes: UnboundedReceiver<DaemonSettings>,
    shutdown: ShutdownSignal,
) -> Result<(), WaxError> {
    let missing = |key: &str| {
        let text = format!("pool.{key} is missing");
        WaxError::new(ErrorKind::Invalid, Step::ReadSettings, "role", text)
            .with_help("a front needs pool.callers and pool.readiness")
    };
    let pool = settings.pool.as_ref().ok_or_else(|| missing("peers"))?;
    let callers: SocketAddr = pool.callers.ok_or_else(|| missing("callers"))?;
    let readiness: SocketAddr = pool.readiness.ok_or_else(|| missing("readiness"))?;
    let store = StoreClient::new(settings.platform.address);
    let keep_ended = Duration::from_secs(pool.keep_ended_s.into());
    let mut shared = PoolShared::with_vm_capacity(
        &settings.name,
        pool.peers,
        store,
        pool.advisor,
        keep_ended,
        strength(&pool.vm),
    );
    shared.set_bounds(pool.config_bound(), pool.drain_bound());
    let shared = Rc::new(shared);
    shared.set_place_rules(settings.policy.place);
    let state = Rc::new(FrontState::new(shared.clone()));
    let closed = ShutdownSignal::default();
    let callers_server = HttpServer::new(
        bind_listener(callers)?,
        Rc::new(CallerHandler {
            state: state.clone(),
        }),
        closed.clone(),
    );
    let readiness_server = HttpServer::new(
        bind_listener(readiness)?,
        Rc::new(ReadinessHandler {
            state: state.clone(),
            shutdown: shutdown.clone(),
        }),
        ShutdownSignal::default(),
    );
    spawn(serve_peers(shared.clone(), bind_listener(pool.peers)?)).detach();
    spawn(apply_changes(shared.clone(), changes)).detach();
    spawn(readiness_server.run()).detach();
    spawn(follow_operator_rows(shared.clone())).detach();
    spawn(keep_owner_link(state.clone(), pool.peer_seeds())).detach();
    spawn(look_after_store(state)).detach();
    let ownership = spawn(run_ownership(shared, shutdown.clone()));
    tracing::info!(name = %settings.name, %callers, peers = %pool.peers, "front started");
    spawn(close_later(shutdown, closed)).detach();
    callers_server.run().await;
    let grace =
        Duration::from_secs(pool.stop_grace_s.into()).saturating_sub(LEAVE_ROTATION + KILL_MARGIN);
    // What is left of the grace lets the store take the last notes; another owner waits for nothing else.
    let _ = compio::time::timeout(grace, ownership).await;
    tracing::info!(name = %settings.name, "front stopped");
    Ok(())
}

/// What the settings leave open counts as that of a common machine.
fn strength(machine: &VmSettings) -> VmCapacity {
    let common = VmCapacity::default();
    VmCapacity {
        cores: machine.cpu_share.unwrap_or(common.cores) * machine.cores.unwrap_or(1.0),
        link_mbps: machine.link_mbps.unwrap_or(common.link_mbps),
        memory_mb: machine.memory_mb.unwrap_or(common.memory_mb),
    }
}

/// Applies what may change while the process runs: where the store is, limits and weights.
async fn apply_changes(shared: Rc<PoolShared>, mut changes: UnboundedReceiver<DaemonSettings>) {
    while let Some(settings) = changes.next().await {
        shared.store.set_address(settings.platform.address);
        shared.set_place_rules(settings.policy.place);
        tracing::info!(store = %settings.platform.address, "settings reloaded");
    }
}

async fn close_later(shutdown: ShutdownSignal, closed: ShutdownSignal) {
    shutdown.wait().await;
    sleep(LEAVE_ROTATION).await;
    closed.raise();
}
