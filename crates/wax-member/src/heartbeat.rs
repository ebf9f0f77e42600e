//! Heartbeat of a member: renews the row of this process, observes the rows of all others and
//! deletes rows of members that have been dead for long.

use crate::row::{MEMBER_PREFIX, MemberRow, member_key};
use crate::watch::MemberWatch;
use compio::time::timeout;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use wax_http::ShutdownSignal;
use wax_platform::{CommitOutcome, TableClient, TableTransaction};
use wax_types::{ErrorKind, ProcessClock, RowVersion, SettingsVersion, Step, TimePoint, WaxError};

/// Rows that have not changed for this number of membership TTLs are deleted.
const TTLS_BEFORE_DELETION: u32 = 20;

/// Shared view of the membership: the row of this process and the last observed rows of all
/// members.
#[derive(Debug, Clone)]
pub struct MemberHandle {
    shared: Rc<HandleShared>,
}

#[derive(Debug)]
struct HandleShared {
    row: RefCell<MemberRow>,
    watch: RefCell<MemberWatch>,
    last_observed: Cell<Option<TimePoint>>,
    ttl: Duration,
}

impl MemberHandle {
    /// Creates a handle for a process whose first row is `row`. Nothing is written to the table
    /// yet.
    pub fn new(row: MemberRow, ttl: Duration) -> Self {
        let shared = HandleShared {
            row: RefCell::new(row),
            watch: RefCell::default(),
            last_observed: Cell::new(None),
            ttl,
        };
        Self {
            shared: Rc::new(shared),
        }
    }

    /// Sets the settings version that the next renewal publishes.
    pub fn set_settings_version(&self, version: SettingsVersion) {
        self.shared.row.borrow_mut().settings = version;
    }

    /// Makes the next renewal publish that this process takes no new work.
    pub fn mark_leaving(&self) {
        self.shared.row.borrow_mut().leaving = true;
    }

    /// Returns the row of this process.
    pub fn own_row(&self) -> MemberRow {
        self.shared.row.borrow().clone()
    }

    /// Returns the rows of the members that are live at `now` by the last observation.
    pub fn live_members(&self, now: TimePoint) -> Vec<MemberRow> {
        let watch = self.shared.watch.borrow();
        watch
            .live_members(now, self.shared.ttl)
            .map(|state| state.row.clone())
            .collect()
    }

    /// Calls `read` with the members as last observed.
    pub fn with_watch<T>(&self, read: impl FnOnce(&MemberWatch) -> T) -> T {
        read(&self.shared.watch.borrow())
    }

    /// Returns the time of the last observation of the members; `None` before the first one.
    pub fn last_observed(&self) -> Option<TimePoint> {
        self.shared.last_observed.get()
    }

    /// Returns the time after which a member whose row does not change counts as dead.
    pub fn ttl(&self) -> Duration {
        self.shared.ttl
    }
}

/// Renews the row of this process and observes all members every `period` until `stop` is raised,
/// then deletes the row.
///
/// `stop` must be raised only after the process has drained; until then the row shows that the
/// process is leaving.
pub async fn maintain_membership(
    handle: MemberHandle,
    table: TableClient,
    clock: ProcessClock,
    period: Duration,
    stop: ShutdownSignal,
) {
    let mut version = RowVersion::default();
    let mut failing = false;
    while !stop.is_raised() {
        let result = renew_and_observe(&handle, &table, clock, period, &mut version).await;
        if let Err(error) = &result
            && !failing
        {
            tracing::warn!(%error, "membership renewal failed");
        }
        failing = result.is_err();
        // The wait ends early at `stop`, so that the shutdown does not take a whole period longer.
        let _ = timeout(period, stop.wait()).await;
    }
    let mut transaction = TableTransaction::default();
    transaction.delete(member_key(&handle.own_row().name), version);
    // If the commit fails, other members delete the row once it is stale.
    let _ = table.commit(&transaction, clock.now() + period).await;
}

async fn renew_and_observe(
    handle: &MemberHandle,
    table: &TableClient,
    clock: ProcessClock,
    period: Duration,
    version: &mut RowVersion,
) -> Result<(), WaxError> {
    let row = {
        let mut row = handle.shared.row.borrow_mut();
        row.beat += 1;
        row.clone()
    };
    let key = member_key(&row.name);
    let mut transaction = TableTransaction::default();
    transaction.put(key.clone(), *version, &row);
    match table.commit(&transaction, clock.now() + period).await {
        CommitOutcome::Committed(written) => *version = written,
        CommitOutcome::Conflict(_) => {
            *version = read_conflicting_version(table, &key, &row).await?
        }
        CommitOutcome::NotSent(error) | CommitOutcome::Unknown(error) => return Err(error),
    }
    let now = clock.now();
    let rows = table.scan::<MemberRow>(MEMBER_PREFIX).await?;
    handle.shared.watch.borrow_mut().observe(now, rows);
    handle.shared.last_observed.set(Some(now));
    delete_stale_rows(handle, table, now, period).await;
    Ok(())
}

/// Returns the version of the row that already exists under the name of this process, so that the
/// next renewal overwrites it.
///
/// The row may be left over from an earlier run of this process. If another live process has the same
/// name, the two processes overwrite each other's row and both log an error. The first two renewals
/// log none, because a restarted process first meets the row of its earlier run.
async fn read_conflicting_version(
    table: &TableClient,
    key: &str,
    row: &MemberRow,
) -> Result<RowVersion, WaxError> {
    let Some(found) = table.read::<MemberRow>(key).await? else {
        return Ok(RowVersion::default());
    };
    if found.value.incarnation != row.incarnation && row.beat > 2 {
        let error = WaxError::new(
            ErrorKind::Conflict,
            Step::CommitTable,
            key,
            "another live process renews the membership row of this name",
        );
        tracing::error!(error = %error.with_help("give each process a unique name"));
    }
    Ok(found.version)
}

async fn delete_stale_rows(
    handle: &MemberHandle,
    table: &TableClient,
    now: TimePoint,
    commit_timeout: Duration,
) {
    let stale: Vec<_> = handle.with_watch(|watch| {
        watch
            .stale_members(now, handle.ttl() * TTLS_BEFORE_DELETION)
            .map(|state| {
                (
                    member_key(&state.row.name),
                    state.version,
                    state.row.clone(),
                )
            })
            .collect()
    });
    for (key, version, row) in stale {
        let mut transaction = TableTransaction::default();
        transaction.delete(key, version);
        tracing::info!(member = %row.name, "deleting the stale row of a member");
        // A failure does not matter: every other member tries to delete the row too.
        let _ = table.commit(&transaction, now + commit_timeout).await;
    }
}
