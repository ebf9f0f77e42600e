//! Runs the roles `front` and `agent` and reloads their settings file when it changes.

use crate::metrics::serve_metrics;
use crate::signals::{ignore_hangup, shutdown_signal};
use compio::runtime::spawn;
use compio::time::sleep;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::StreamExt;
use platform::StoreClient;
use prost::Message;
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use wax_agent::{AgentRules, OwnerDirectory};
use wax_http::ClientBudget;
use wax_owner::{OwnerRow, owner_key};
use wax_settings::{DaemonSettings, SettingsFile};
use wax_types::WaxError;

/// Timeout for reading the owner's row from the store.
const OWNER_READ_TIMEOUT: Duration = Duration::from_millis(600);
/// Memory of a machine whose settings name none, mebibytes.
const DEFAULT_MEMORY_MB: f64 = 1_024.0;
/// Interval at which the settings file is checked for changes. The file is polled because it may
/// change without a SIGHUP; the signal itself is ignored.
const SETTINGS_POLL_PERIOD: Duration = Duration::from_millis(1_000);

pub(crate) async fn run_front(settings: DaemonSettings, file: &Path) -> Result<(), WaxError> {
    let budget = client_budget(&settings);
    serve_metrics(metrics_address(&settings), budget.clone())?;
    wax_front::run_front(&settings, watch_settings(file), shutdown_signal(), budget).await
}

pub(crate) async fn run_agent(settings: DaemonSettings, file: &Path) -> Result<(), WaxError> {
    let budget = client_budget(&settings);
    serve_metrics(metrics_address(&settings), budget.clone())?;
    let store = Rc::new(StoreClient::new(settings.platform.address));
    let rules = Rc::new(AgentRules {
        pace: Cell::new(settings.policy.pace),
        performance: Cell::new(settings.policy.performance),
        orders: Cell::new(settings.policy.orders),
    });
    let changes = watch_settings(file);
    spawn(apply_changes(store.clone(), rules.clone(), changes)).detach();
    let directory = StoreOwnerDirectory(store);
    wax_agent::run_agent(&settings, rules, directory, shutdown_signal(), budget).await
}

fn metrics_address(settings: &DaemonSettings) -> Option<SocketAddr> {
    settings.pool.as_ref()?.metrics
}

/// Returns the budget for the clients of this process.
fn client_budget(settings: &DaemonSettings) -> Rc<ClientBudget> {
    let vm = settings.pool.as_ref().map(|pool| pool.vm);
    let vm = vm.unwrap_or_default();
    ClientBudget::for_machine(vm.memory_mb.unwrap_or(DEFAULT_MEMORY_MB), vm.descriptors)
}

/// Applies the address of the store and the rules of changed settings; an agent ignores other
/// changes.
async fn apply_changes(
    store: Rc<StoreClient>,
    rules: Rc<AgentRules>,
    mut changes: UnboundedReceiver<DaemonSettings>,
) {
    while let Some(settings) = changes.next().await {
        store.set_address(settings.platform.address);
        rules.pace.set(settings.policy.pace);
        rules.performance.set(settings.policy.performance);
        rules.orders.set(settings.policy.orders);
        tracing::info!(store = %settings.platform.address, "settings reloaded");
    }
}

/// Returns a stream of the settings after each change of the file. Invalid settings are logged and
/// skipped.
fn watch_settings(file: &Path) -> UnboundedReceiver<DaemonSettings> {
    ignore_hangup();
    let (sender, changes) = unbounded();
    spawn(poll_settings_file(file.to_owned(), sender)).detach();
    changes
}

async fn poll_settings_file(path: PathBuf, sender: UnboundedSender<DaemonSettings>) {
    let mut last_text = SettingsFile::read(&path).ok().map(|file| file.text);
    loop {
        sleep(SETTINGS_POLL_PERIOD).await;
        let file = match SettingsFile::read(&path) {
            Ok(file) if last_text.as_ref() != Some(&file.text) => file,
            Ok(_) => continue,
            Err(error) => {
                tracing::warn!(%error, "cannot read settings file");
                continue;
            }
        };
        match DaemonSettings::parse(&file) {
            Ok(settings) => {
                if sender.unbounded_send(settings).is_err() {
                    return;
                }
            }
            Err(error) => tracing::error!(%error, "invalid settings file; keeping old settings"),
        }
        last_text = Some(file.text);
    }
}

/// Reads the owner's address from its row in the store.
struct StoreOwnerDirectory(Rc<StoreClient>);

impl OwnerDirectory for StoreOwnerDirectory {
    async fn read(&self) -> Option<SocketAddr> {
        let row = self
            .0
            .read_row(&owner_key(), OWNER_READ_TIMEOUT)
            .await
            .ok()??;
        let owner = OwnerRow::decode(&*row.value).ok()?;
        owner.address.parse().ok()
    }
}
