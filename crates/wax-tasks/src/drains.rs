//! Failure domains and workers that operators have drained. Each has one row in the table; no task
//! is placed or started on a drained worker or on a worker in a drained domain.

use compio::time::sleep;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use wax_platform::{
    CommitOutcome, RowEntry, TableClient, TableTransaction, WorkerDirectory, WorkerInfo,
};
use wax_policy::DrainView;
use wax_trace::FailureStreak;
use wax_types::{ErrorKind, RowVersion, Step, TimePoint, WaxError};

/// Prefix of the keys of all rows, so that one read returns the drains of domains and of workers.
const ROWS_PREFIX: &str = "drain";
/// Interval between two reads of the rows. A change by an operator must be in force in every
/// process within 5 s.
const READ_PERIOD: Duration = Duration::from_secs(1);
/// Time-out of the commit of a change.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum length of the name of a failure domain or a worker.
const MAX_NAME_BYTES: usize = 100;

/// Kind of what an operator drains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainTarget {
    /// A failure domain: all workers in it.
    Domain,
    /// One worker, by its id.
    Worker,
}

impl DrainTarget {
    fn label(self) -> &'static str {
        match self {
            Self::Domain => "failure domain",
            Self::Worker => "worker",
        }
    }

    /// Returns the prefix of the keys of the rows; the rest of a key is the name.
    fn key_prefix(self) -> &'static str {
        match self {
            Self::Domain => "drain/",
            // Processes of an earlier version read only the rows of domains, and would take a key
            // that starts like those for a domain's name.
            Self::Worker => "drain-worker/",
        }
    }
}

/// Row of a drain: whether the failure domain or worker is drained.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct DrainRow {
    drained: bool,
}

/// Drained failure domains and workers as known to this process, and the operation that changes
/// them.
#[derive(Debug, Clone)]
pub struct OperatorDrains {
    table: TableClient,
    directory: WorkerDirectory,
    known: Rc<KnownDrains>,
}

#[derive(Debug, Default)]
struct KnownDrains {
    domains: RefCell<DrainView>,
    /// Ids of workers in place of names of domains.
    workers: RefCell<DrainView>,
    /// Number of updates to the views. A read that started before a change by this process has an
    /// older revision, and its result is discarded as stale.
    revision: Cell<u64>,
    /// Keys of rows that could not be decoded; an error is logged once for each.
    undecodable_keys: RefCell<BTreeSet<Box<str>>>,
}

impl OperatorDrains {
    /// Creates empty views; no drain is known before the first read.
    pub fn new(table: TableClient, directory: WorkerDirectory) -> Self {
        Self {
            table,
            directory,
            known: Rc::default(),
        }
    }

    /// Reads the rows periodically until the process ends.
    pub async fn run(self) {
        let streak = FailureStreak::new("reading of the drains");
        loop {
            match self.read().await {
                Ok(()) => streak.record_success(),
                Err(error) => streak.record_failure(&error),
            }
            sleep(READ_PERIOD).await;
        }
    }

    /// Returns the names of the drained failure domains or workers.
    pub fn names(&self, target: DrainTarget) -> Vec<Box<str>> {
        self.view(target)
            .borrow()
            .domains()
            .iter()
            .cloned()
            .collect()
    }

    /// Returns whether the platform lists a worker of this id.
    ///
    /// # Errors
    ///
    /// The platform does not answer.
    pub async fn is_listed_worker(&self, name: &str) -> Result<bool, WaxError> {
        let workers = self.directory.list().await?;
        Ok(workers.iter().any(|worker| *worker.id == *name))
    }

    /// Returns whether the rows have been read at least once. Before that, any worker may be
    /// drained.
    pub(crate) fn are_known(&self) -> bool {
        self.known.domains.borrow().age(self.now()).is_some()
    }

    /// Returns whether a worker or its failure domain is drained.
    pub(crate) fn is_drained(&self, worker: &WorkerInfo) -> bool {
        let domains = self.known.domains.borrow();
        let workers = self.known.workers.borrow();
        domains.domains().contains(&worker.failure_domain)
            || workers.domains().contains(&*worker.id)
    }

    /// Drains a failure domain or a worker, or ends its drain. The change is stored when the call
    /// returns.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is not valid, if the store does not answer, or if another
    /// client changes the row at the same time.
    pub async fn set_drained(
        &self,
        target: DrainTarget,
        name: &str,
        drained: bool,
    ) -> Result<(), WaxError> {
        validate_name(target, name)?;
        let key = format!("{}{name}", target.key_prefix());
        let before = self.table.read::<Value>(&key).await?;
        let now = self.now();
        if target == DrainTarget::Worker && !drained {
            self.remove_row(&key, before, now).await?;
        } else {
            let version = before.map_or_else(RowVersion::default, |row| row.version);
            let mut transaction = TableTransaction::default();
            transaction.put(key, version, &DrainRow { drained });
            let outcome = self.table.commit(&transaction, now + COMMIT_TIMEOUT).await;
            require_committed(outcome, name)?;
        }
        // Before the first read the view stays empty, because the other drains are not known yet;
        // that read returns this row too.
        if self.are_known() {
            self.update_view(target, |view, new_revision| {
                view.apply_changes(new_revision, [(name.into(), drained)], now)
            });
        }
        Ok(())
    }

    /// Removes the row of a worker's drain. Workers come and go: rows of former drains would pile
    /// up, and each row is read every second.
    async fn remove_row(
        &self,
        key: &str,
        before: Option<RowEntry<Value>>,
        now: TimePoint,
    ) -> Result<(), WaxError> {
        let Some(row) = before else {
            return Ok(());
        };
        let mut transaction = TableTransaction::default();
        transaction.delete(key, row.version);
        let outcome = self.table.commit(&transaction, now + COMMIT_TIMEOUT).await;
        let result = require_committed(outcome, key);
        // A removal leaves no nonce by which the table client could recognize it after a lost
        // reply. If the row is gone, the worker is no longer drained, whoever removed it.
        if result.is_err() && self.table.read::<Value>(key).await?.is_none() {
            return Ok(());
        }
        result
    }

    async fn read(&self) -> Result<(), WaxError> {
        let (started_at, revision) = (self.now(), self.known.revision.get());
        let rows = self.table.scan::<Value>(ROWS_PREFIX).await?;
        let names = |target: DrainTarget| -> BTreeSet<Box<str>> {
            let drained = rows.iter().filter_map(|row| {
                let name = row.key.strip_prefix(target.key_prefix())?;
                self.is_drain_row(row).then_some(name)
            });
            drained.map(Into::into).collect()
        };
        if self.known.revision.get() == revision {
            for target in [DrainTarget::Domain, DrainTarget::Worker] {
                self.update_view(target, |view, new_revision| {
                    view.replace(new_revision, names(target), started_at)
                });
            }
        }
        Ok(())
    }

    /// Returns whether a row is a drain in force. A row that cannot be decoded counts as one, so
    /// that no task starts where it may be drained; the other rows stay in effect.
    fn is_drain_row(&self, row: &RowEntry<Value>) -> bool {
        match DrainRow::deserialize(&row.value) {
            Ok(value) => value.drained,
            Err(error) => {
                if self
                    .known
                    .undecodable_keys
                    .borrow_mut()
                    .insert(row.key.clone())
                {
                    tracing::error!(
                        %error, key = %row.key,
                        "the row of a drain cannot be decoded"
                    );
                }
                true
            }
        }
    }

    fn view(&self, target: DrainTarget) -> &RefCell<DrainView> {
        match target {
            DrainTarget::Domain => &self.known.domains,
            DrainTarget::Worker => &self.known.workers,
        }
    }

    fn update_view(&self, target: DrainTarget, change: impl FnOnce(&mut DrainView, u64) -> bool) {
        let new_revision = self.known.revision.get() + 1;
        self.known.revision.set(new_revision);
        let mut view = self.view(target).borrow_mut();
        if !change(&mut view, new_revision) {
            return;
        }
        let names = view.domains();
        match target {
            DrainTarget::Domain => tracing::info!(domains = ?names, "drained failure domains"),
            DrainTarget::Worker => tracing::info!(workers = ?names, "drained workers"),
        }
    }

    fn now(&self) -> TimePoint {
        self.table.store().clock().now()
    }
}

fn require_committed(outcome: CommitOutcome, name: &str) -> Result<(), WaxError> {
    match outcome {
        CommitOutcome::Committed(_) => Ok(()),
        CommitOutcome::Conflict(_) => {
            let text = "another change came first; look at the status and ask again";
            Err(WaxError::new(
                ErrorKind::Conflict,
                Step::CommitTable,
                name,
                text,
            ))
        }
        CommitOutcome::NotSent(error) | CommitOutcome::Unknown(error) => Err(error),
    }
}

fn validate_name(target: DrainTarget, name: &str) -> Result<(), WaxError> {
    let is_allowed =
        |character: char| character.is_ascii_alphanumeric() || "-_.".contains(character);
    if !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(is_allowed) {
        return Ok(());
    }
    let text = format!(
        "expected the name of a {}: letters, digits, - _ . and at most {MAX_NAME_BYTES} of them",
        target.label()
    );
    Err(WaxError::new(
        ErrorKind::Invalid,
        Step::ParseRequest,
        name,
        text,
    ))
}
