//! Starts an agent and runs it until shutdown.

use crate::check_ins::CheckInHandler;
use crate::driver::drive_worker;
use crate::lease::LeaseRules;
use crate::owner_link::{OwnerDirectory, maintain_owner_link};
use crate::rules::AgentRules;
use crate::state::AgentState;
use compio::runtime::spawn;
use event_listener::Event;
use platform::WorkerClient;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use wax_http::{ClientBudget, HttpServer, ShutdownSignal, bind_listener};
use wax_policy::{AGENT_HEARTBEAT_PERIOD, DrainRules};
use wax_settings::DaemonSettings;
use wax_types::{ErrorKind, ProcessClock, Step, TimePoint, WaxError};

/// Runs an agent until `shutdown`; the worker's tasks continue under their leases. The rules of
/// pacing and of unanswered calls may change while the agent runs. Its clients share `budget`.
///
/// # Errors
///
/// The settings lack a section that an agent needs, or an address is in use.
pub async fn run_agent(
    settings: &DaemonSettings,
    rules: Rc<AgentRules>,
    directory: impl OwnerDirectory + 'static,
    shutdown: ShutdownSignal,
    budget: Rc<ClientBudget>,
) -> Result<(), WaxError> {
    let missing = |key: &str| {
        let text = format!("pool.{key} is missing");
        WaxError::new(ErrorKind::Invalid, Step::ReadSettings, "role", text)
            .with_help("an agent needs pool.check_ins and pool.worker")
    };
    let pool = settings.pool.as_ref().ok_or_else(|| missing("peers"))?;
    let check_ins = pool.check_ins.ok_or_else(|| missing("check_ins"))?;
    let worker = pool.worker.ok_or_else(|| missing("worker"))?;
    let drain_rules = DrainRules {
        bound: pool.drain_bound(),
    };
    let vm = (&*settings.name, &*settings.failure_domain);
    let mut state = new_state(vm, worker, rules, drain_rules);
    state.lease_rules.longest = pool.max_lease();
    let state = Rc::new(state);
    let listener = bind_listener(check_ins)?;
    let handler = Rc::new(CheckInHandler {
        state: state.clone(),
        last_refusal: RefCell::default(),
    });
    let server = HttpServer::new(listener, handler, shutdown.clone()).with_budget(budget);
    spawn(drive_worker(state.clone())).detach();
    spawn(maintain_owner_link(state, pool.peer_seeds(), directory)).detach();
    tracing::info!(name = %settings.name, %check_ins, %worker, "agent started");
    server.run().await;
    tracing::info!(name = %settings.name, "agent stopped");
    Ok(())
}

pub(crate) fn new_state(
    (node, failure_domain): (&str, &str),
    worker: SocketAddr,
    rules: Rc<AgentRules>,
    drain_rules: DrainRules,
) -> AgentState {
    AgentState {
        node: node.into(),
        failure_domain: failure_domain.into(),
        warned_domain_boot: RefCell::default(),
        clock: ProcessClock::start(),
        worker: WorkerClient::new(worker),
        lease_rules: LeaseRules::default(),
        rules,
        order_times: RefCell::default(),
        hold_times: RefCell::default(),
        link: RefCell::default(),
        boot: RefCell::default(),
        boots: RefCell::default(),
        crashes: RefCell::default(),
        granted_until: Cell::new(TimePoint::default()),
        authority_until: Cell::new(TimePoint::default()),
        owner_store_lost: Cell::new(false),
        drains: RefCell::default(),
        drain_rules,
        heartbeat_period: Cell::new(AGENT_HEARTBEAT_PERIOD),
        overload: Cell::new(0.0),
        fencing_token: Cell::new(0),
        last_token: Cell::new(0),
        run_list_count: Cell::new(0),
        changed: Event::new(),
        higher_token_wanted: Event::new(),
    }
}
