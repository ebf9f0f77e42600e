//! Starts a front and runs it until shutdown.

use crate::handler::CallerHandler;
use crate::owner_link::maintain_owner_link;
use crate::readiness::{ReadinessHandler, watch_store};
use crate::state::FrontState;
use compio::runtime::spawn;
use compio::time::sleep;
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;
use platform::StoreClient;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use wax_http::{ClientBudget, HttpServer, ShutdownSignal, bind_listener};
use wax_owner::{PoolShared, VmCapacity, follow_operator_rows, run_ownership, serve_peers};
use wax_settings::{DaemonSettings, VmSettings};
use wax_types::{ErrorKind, Step, WaxError};

/// How long connections are still accepted after a shutdown request: the load balancer takes the
/// front out of rotation after two failed readiness checks.
const ROTATION_DELAY: Duration = Duration::from_millis(2_300);
/// How long before the end of the grace period, when the process is killed, shutdown must be done.
const KILL_MARGIN: Duration = Duration::from_millis(600);

/// Runs a front until `shutdown`, and finishes requests that are in progress. Its clients share
/// `budget`.
///
/// # Errors
///
/// The settings lack a section that a front needs, or an address is in use.
pub async fn run_front(
    settings: &DaemonSettings,
    changes: UnboundedReceiver<DaemonSettings>,
    shutdown: ShutdownSignal,
    budget: Rc<ClientBudget>,
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
        vm_capacity(&pool.vm),
    );
    shared.set_bounds(pool.config_bound(), pool.drain_bound());
    shared.set_longest_lease(pool.max_lease());
    let shared = Rc::new(shared);
    shared.set_placement_rules(settings.policy.place);
    shared.set_sharing_rules(settings.policy.sharing);
    shared.set_performance_rules(settings.policy.performance);
    shared.set_order_rules(settings.policy.orders);
    let state = Rc::new(FrontState::new(shared.clone()));
    let callers_shutdown = ShutdownSignal::default();
    let callers_server = HttpServer::new(
        bind_listener(callers)?,
        Rc::new(CallerHandler {
            state: state.clone(),
        }),
        callers_shutdown.clone(),
    )
    .with_budget(budget.clone());
    let readiness_server = HttpServer::new(
        bind_listener(readiness)?,
        Rc::new(ReadinessHandler {
            state: state.clone(),
            shutdown: shutdown.clone(),
        }),
        ShutdownSignal::default(),
    )
    .with_budget(budget.clone())
    .with_vital_clients();
    let peers = bind_listener(pool.peers)?;
    spawn(serve_peers(shared.clone(), peers, budget)).detach();
    spawn(apply_changes(shared.clone(), changes)).detach();
    spawn(readiness_server.run()).detach();
    spawn(follow_operator_rows(shared.clone())).detach();
    spawn(maintain_owner_link(state.clone(), pool.peer_seeds())).detach();
    spawn(watch_store(state)).detach();
    let ownership = spawn(run_ownership(shared, shutdown.clone()));
    tracing::info!(name = %settings.name, %callers, peers = %pool.peers, "front started");
    spawn(close_after_rotation(shutdown, callers_shutdown)).detach();
    callers_server.run().await;
    let grace =
        Duration::from_secs(pool.stop_grace_s.into()).saturating_sub(ROTATION_DELAY + KILL_MARGIN);
    // The rest of the grace period lets the owner store its last progress updates. A successor can
    // take over without them.
    let _ = compio::time::timeout(grace, ownership).await;
    tracing::info!(name = %settings.name, "front stopped");
    Ok(())
}

/// Returns the capacity of this VM; values that the settings omit are those of an average VM.
fn vm_capacity(vm: &VmSettings) -> VmCapacity {
    let default = VmCapacity::default();
    VmCapacity {
        cores: vm.cpu_share.unwrap_or(default.cores) * vm.cores.unwrap_or(1.0),
        link_mbps: vm.link_mbps.unwrap_or(default.link_mbps),
        memory_mb: vm.memory_mb.unwrap_or(default.memory_mb),
    }
}

/// Applies reloaded settings to the running process: the store's address and the rules of the owner.
async fn apply_changes(shared: Rc<PoolShared>, mut changes: UnboundedReceiver<DaemonSettings>) {
    while let Some(settings) = changes.next().await {
        shared.store.set_address(settings.platform.address);
        shared.set_placement_rules(settings.policy.place);
        shared.set_sharing_rules(settings.policy.sharing);
        shared.set_performance_rules(settings.policy.performance);
        shared.set_order_rules(settings.policy.orders);
        tracing::info!(store = %settings.platform.address, "settings reloaded");
    }
}

async fn close_after_rotation(shutdown: ShutdownSignal, callers_shutdown: ShutdownSignal) {
    shutdown.wait().await;
    sleep(ROTATION_DELAY).await;
    callers_shutdown.raise();
}
