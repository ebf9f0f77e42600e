//! Starts the roles of the pool: a front, or an agent beside a worker.

use crate::signals::shutdown_signal;
use platform::StoreClient;
use prost::Message;
use std::net::SocketAddr;
use std::time::Duration;
use wax_agent::OwnerDirectory;
use wax_owner::{OwnerRow, owner_key};
use wax_settings::DaemonSettings;
use wax_types::WaxError;

/// Longest time for a look at the owner's row.
const LOOK_LIMIT: Duration = Duration::from_millis(600);

pub(crate) async fn run_front(settings: DaemonSettings) -> Result<(), WaxError> {
    wax_front::run_front(&settings, shutdown_signal()).await
}

pub(crate) async fn run_agent(settings: DaemonSettings) -> Result<(), WaxError> {
    let directory = StoreDirectory(StoreClient::new(settings.platform.address));
    wax_agent::run_agent(&settings, directory, shutdown_signal()).await
}

/// Finds the owner by its row in the store.
struct StoreDirectory(StoreClient);

impl OwnerDirectory for StoreDirectory {
    async fn read(&self) -> Option<SocketAddr> {
        let row = self.0.read_row(&owner_key(), LOOK_LIMIT).await.ok()??;
        let owner = OwnerRow::decode(&*row.value).ok()?;
        owner.address.parse().ok()
    }
}
