//! Renews this process's row and observes all others.

use crate::row::{MEMBER_PREFIX, MemberRow, member_key};
use crate::watch::MemberWatch;
use compio::time::timeout;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use wax_http::ShutdownSignal;
use wax_platform::{CommitOutcome, TableClient, TableTransaction};
use wax_types::{ErrorKind, ProcessClock, RowVersion, SettingsVersion, Step, TimePoint, WaxError};

/// Rows that stood still for so many terms are deleted.
const TTLS_BEFORE_DELETION: u32 = 20;

/// What the rest of the process knows of membership.
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
    /// Begins with `row`; nothing is written yet.
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

    /// The next renewal says this version.
    pub fn set_settings_version(&self, version: SettingsVersion) {
        self.shared.row.borrow_mut().settings = version;
    }

    /// The next renewal says that this process takes no new work.
    pub fn mark_leaving(&self) {
        self.shared.row.borrow_mut().leaving = true;
    }

    /// This process's own row.
    pub fn own_row(&self) -> MemberRow {
        self.shared.row.borrow().clone()
    }

    /// The rows of the live members, as last observed.
    pub fn live_members(&self, now: TimePoint) -> Vec<MemberRow> {
        let watch = self.shared.watch.borrow();
        watch
            .live_members(now, self.shared.ttl)
            .map(|state| state.row.clone())
            .collect()
    }

    /// Runs `look` on the members as last observed.
    pub fn with_watch<T>(&self, read: impl FnOnce(&MemberWatch) -> T) -> T {
        read(&self.shared.watch.borrow())
    }

    /// When the members were last observed; `None` before the first time.
    pub fn last_observed(&self) -> Option<TimePoint> {
        self.shared.last_observed.get()
    }

    /// A member whose row stands still for this long is taken for dead.
    pub fn ttl(&self) -> Duration {
        self.shared.ttl
    }
}

/// Renews and observes every `period` until `stop`, then deletes the row.
///
/// `stop` comes after the drain: until then the row says that this process is leaving.
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
            tracing::warn!(%error, "membership is not renewed");
        }
        failing = result.is_err();
        // Woken early, so that the end of the process does not wait for a whole period.
        let _ = timeout(period, stop.wait()).await;
    }
    let mut transaction = TableTransaction::default();
    transaction.delete(member_key(&handle.own_row().name), version);
    // Where it fails, the row stands still and the others delete it later.
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

/// The version of a row under our name; the next beat overwrites it.
///
/// The row may be an earlier run's. Where another live process has our name, the two overwrite
/// each other, and both say so.
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
            "another process renews the row of this name",
        );
        tracing::error!(error = %error.with_help("give each process a name of its own"));
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
            .stale(now, handle.ttl() * TTLS_BEFORE_DELETION)
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
        tracing::info!(member = %row.name, "member row deleted");
        // Whoever else deletes it does the same work.
        let _ = table.commit(&transaction, now + commit_timeout).await;
    }
}
