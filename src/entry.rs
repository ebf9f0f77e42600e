//! Runs the role `entry`, including the coordinator that owns shards if the settings have a section
//! `coordinator`.

use crate::signals::shutdown_signal;
use compio::runtime::spawn;
use compio::time::sleep;
use std::time::Duration;
use wax_http::{ShutdownSignal, bind_listener};
use wax_member::{MemberHandle, MemberRow, maintain_membership};
use wax_platform::{
    GroupWriter, ObjectClient, StoreHandle, StoreLimits, TableClient, WorkerDirectory,
};
use wax_policy::{PlacementPolicy, RoutePolicy};
use wax_route::{EntryProcess, EntryServices};
use wax_settings::{CoordinatorSettings, DaemonSettings, SettingsHolder};
use wax_tasks::{CoordinatorHandle, CoordinatorProcess, JobService, OperatorDrains};
use wax_trace::MetricsExporter;
use wax_types::{ErrorKind, ProcessClock, ProcessIncarnation, SettingsVersion, Step, WaxError};

/// Interval between two exports of the counters.
const METRICS_EXPORT_PERIOD: Duration = Duration::from_secs(10);

pub(crate) async fn run(settings: DaemonSettings) -> Result<(), WaxError> {
    let Some(options) = settings.entry.clone() else {
        let text = "the section `entry` is missing";
        return Err(WaxError::new(
            ErrorKind::Invalid,
            Step::ReadSettings,
            "role",
            text,
        ));
    };
    export_metrics(&settings)?;
    let listeners = (
        bind_listener(options.callers)?,
        bind_listener(options.operators)?,
        bind_listener(options.peers)?,
    );
    let addresses = ListenAddresses::of(&listeners)?;
    let clock = ProcessClock::start();
    let store = open_store(&settings, clock)?;
    let table = TableClient::new(store.clone());
    let objects = ObjectClient::new(store.clone());
    let directory = WorkerDirectory::new(store);
    let coordinator_settings = settings.coordinator.clone().unwrap_or_default();
    let members = member_handle(&settings, &addresses, &coordinator_settings);
    let writer = GroupWriter::start(table.clone());
    let shutdown = shutdown_signal();
    let tree = SettingsHolder::default();
    let drains = OperatorDrains::new(table.clone(), directory.clone());
    let coordinator = match &settings.coordinator {
        Some(options) => Some(CoordinatorProcess::new(
            options.clone(),
            (table.clone(), objects.clone()),
            directory.clone(),
            members.clone(),
            tree.clone(),
            PlacementPolicy::default(),
            drains.clone(),
        )?),
        None => None,
    };
    let handle = coordinator
        .as_ref()
        .map_or_else(CoordinatorHandle::default, CoordinatorProcess::handle);
    let job_service = JobService::new(
        table.clone(),
        writer.clone(),
        objects.clone(),
        directory,
        coordinator_settings.shards,
    );
    let services = EntryServices {
        table: table.clone(),
        writer,
        objects,
        members: members.clone(),
        settings: tree,
        job_service,
        coordinator: handle,
        drains,
        policy: RoutePolicy::default(),
    };
    let process = EntryProcess::new(&settings, &options, services, listeners);
    let period = Duration::from_millis(coordinator_settings.heartbeat_ms.into());
    let membership_shutdown = ShutdownSignal::default();
    let membership = spawn(maintain_membership(
        members,
        table,
        clock,
        period,
        membership_shutdown.clone(),
    ));
    let coordinator_task = coordinator.map(|coordinator| spawn(coordinator.run(shutdown.clone())));
    println!("{}", addresses.ready_line());
    process.run(shutdown).await;
    if let Some(coordinator_task) = coordinator_task {
        // If the coordinator panicked, other processes take over its shards once this process has
        // ended.
        let _ = coordinator_task.await;
    }
    membership_shutdown.raise();
    let _ = membership.await;
    Ok(())
}

fn open_store(settings: &DaemonSettings, clock: ProcessClock) -> Result<StoreHandle, WaxError> {
    let limits = StoreLimits {
        call_timeout: Duration::from_millis(settings.platform.call_ms.into()),
        concurrency: settings.platform.concurrency as usize,
    };
    let base = format!("http://{}", settings.platform.address);
    StoreHandle::new(&base, limits, clock)
}

fn member_handle(
    settings: &DaemonSettings,
    addresses: &ListenAddresses,
    coordinator_settings: &CoordinatorSettings,
) -> MemberHandle {
    let row = MemberRow {
        name: settings.name.clone(),
        incarnation: ProcessIncarnation::generate(),
        beat: 0,
        region: settings.region.clone(),
        failure_domain: settings.failure_domain.clone(),
        peers: Some(addresses.peers.clone()),
        operators: Some(addresses.operators.clone()),
        coordinator: settings.coordinator.is_some(),
        leaving: false,
        settings: SettingsVersion::default(),
    };
    MemberHandle::new(
        row,
        Duration::from_millis(coordinator_settings.member_ttl_ms.into()),
    )
}

/// Addresses on which this entry listens, with the actual ports where the settings say port 0.
struct ListenAddresses {
    callers: Box<str>,
    operators: Box<str>,
    peers: Box<str>,
}

type Listeners = (
    compio::net::TcpListener,
    compio::net::TcpListener,
    compio::net::TcpListener,
);

impl ListenAddresses {
    fn of(listeners: &Listeners) -> Result<Self, WaxError> {
        let address = |listener: &compio::net::TcpListener| {
            listener
                .local_addr()
                .map(|address| address.to_string().into())
                .map_err(|error| WaxError::new(ErrorKind::Invalid, Step::Listen, "entry", error))
        };
        Ok(Self {
            callers: address(&listeners.0)?,
            operators: address(&listeners.1)?,
            peers: address(&listeners.2)?,
        })
    }

    /// Returns a line of JSON that tells the parent process that the entry is ready, and its
    /// addresses.
    fn ready_line(&self) -> String {
        format!(
            "{{\"ready\":{{\"role\":\"entry\",\"callers\":\"{}\",\"operators\":\"{}\",\"peers\":\"{}\"}}}}",
            self.callers, self.operators, self.peers
        )
    }
}

/// Starts sending the counters to the StatsD address in the settings; does nothing without an
/// address.
pub(crate) fn export_metrics(settings: &DaemonSettings) -> Result<(), WaxError> {
    let Some(address) = settings.logs.metrics else {
        return Ok(());
    };
    let mut exporter = MetricsExporter::connect(address, &settings.name).map_err(|error| {
        WaxError::new(
            ErrorKind::Invalid,
            Step::Connect,
            address.to_string(),
            error,
        )
    })?;
    spawn(async move {
        loop {
            sleep(METRICS_EXPORT_PERIOD).await;
            exporter.send();
        }
    })
    .detach();
    Ok(())
}
