//! Failure domains that operators have drained. Each domain has one row in the table; no task is
//! placed or started in a drained domain.

use compio::time::sleep;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use wax_platform::{CommitOutcome, RowEntry, TableClient, TableTransaction};
use wax_policy::DrainView;
use wax_trace::FailureStreak;
use wax_types::{ErrorKind, RowVersion, Step, TimePoint, WaxError};

/// Prefix of the keys of the rows.
const DRAIN_PREFIX: &str = "drain/";
/// Interval between two reads of the rows. A change by an operator must be in force in every
/// process within 5 s.
const READ_PERIOD: Duration = Duration::from_secs(1);
/// Time-out of the commit of a change.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum length of the name of a failure domain.
const MAX_NAME_BYTES: usize = 100;

/// Row `drain/DOMAIN`: whether a failure domain is drained.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct DrainRow {
    drained: bool,
}

/// Drained failure domains as known to this process, and the operation that changes them.
#[derive(Debug, Clone)]
pub struct DomainDrains {
    table: TableClient,
    known: Rc<KnownDrains>,
}

#[derive(Debug, Default)]
struct KnownDrains {
    view: RefCell<DrainView>,
    /// Number of updates to the view. A read that started before a change by this process has an
    /// older revision, and its result is discarded as stale.
    revision: Cell<u64>,
    /// Keys of rows that could not be decoded; an error is logged once for each.
    undecodable_keys: RefCell<BTreeSet<Box<str>>>,
}

impl DomainDrains {
    /// Creates an empty view; no domain is known before the first read.
    pub fn new(table: TableClient) -> Self {
        Self {
            table,
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

    /// Returns the names of the drained failure domains.
    pub fn domains(&self) -> Vec<Box<str>> {
        self.known.view.borrow().domains().iter().cloned().collect()
    }

    /// Returns whether the rows have been read at least once. Before that, any domain may be
    /// drained.
    pub(crate) fn are_known(&self) -> bool {
        self.known.view.borrow().age(self.now()).is_some()
    }

    /// Returns whether a failure domain is drained.
    pub(crate) fn is_drained(&self, domain: &str) -> bool {
        self.known.view.borrow().domains().contains(domain)
    }

    /// Drains a failure domain, or ends its drain. The change is stored when the call returns.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is not valid, if the store does not answer, or if another
    /// client changes the row at the same time.
    pub async fn set_drained(&self, domain: &str, drained: bool) -> Result<(), WaxError> {
        validate_domain_name(domain)?;
        let key = format!("{DRAIN_PREFIX}{domain}");
        let before = self.table.read::<Value>(&key).await?;
        let version = before.map_or_else(RowVersion::default, |row| row.version);
        let mut transaction = TableTransaction::default();
        transaction.put(key, version, &DrainRow { drained });
        let now = self.now();
        match self.table.commit(&transaction, now + COMMIT_TIMEOUT).await {
            CommitOutcome::Committed(_) => {
                // Before the first read the view stays empty, because the other domains are not
                // known yet; that read returns this row too.
                if self.are_known() {
                    self.update_view(|view, new_revision| {
                        view.apply_changes(new_revision, [(domain.into(), drained)], now)
                    });
                }
                Ok(())
            }
            CommitOutcome::Conflict(_) => {
                let text = "another change came first; look at the status and ask again";
                Err(WaxError::new(
                    ErrorKind::Conflict,
                    Step::CommitTable,
                    domain,
                    text,
                ))
            }
            CommitOutcome::NotSent(error) | CommitOutcome::Unknown(error) => Err(error),
        }
    }

    async fn read(&self) -> Result<(), WaxError> {
        let (started_at, revision) = (self.now(), self.known.revision.get());
        let rows = self.table.scan::<Value>(DRAIN_PREFIX).await?;
        let drained = rows.iter().filter(|row| self.is_drain_row(row));
        let names = drained.filter_map(|row| row.key.strip_prefix(DRAIN_PREFIX));
        let names: BTreeSet<Box<str>> = names.map(Into::into).collect();
        if self.known.revision.get() == revision {
            self.update_view(|view, new_revision| view.replace(new_revision, names, started_at));
        }
        Ok(())
    }

    /// Returns whether a row drains its domain. A row that cannot be decoded counts as a drain, so
    /// that no task starts in a domain that may be drained; the other rows stay in effect.
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
                        "the row of a drained failure domain cannot be decoded"
                    );
                }
                true
            }
        }
    }

    fn update_view(&self, change: impl FnOnce(&mut DrainView, u64) -> bool) {
        let new_revision = self.known.revision.get() + 1;
        self.known.revision.set(new_revision);
        let mut view = self.known.view.borrow_mut();
        if change(&mut view, new_revision) {
            tracing::info!(domains = ?view.domains(), "drained failure domains");
        }
    }

    fn now(&self) -> TimePoint {
        self.table.store().clock().now()
    }
}

fn validate_domain_name(domain: &str) -> Result<(), WaxError> {
    let is_allowed =
        |character: char| character.is_ascii_alphanumeric() || "-_.".contains(character);
    if !domain.is_empty() && domain.len() <= MAX_NAME_BYTES && domain.chars().all(is_allowed) {
        return Ok(());
    }
    let text = format!(
        "expected the name of a failure domain: letters, digits, - _ . and at most {MAX_NAME_BYTES} of them"
    );
    Err(WaxError::new(
        ErrorKind::Invalid,
        Step::ParseRequest,
        domain,
        text,
    ))
}
