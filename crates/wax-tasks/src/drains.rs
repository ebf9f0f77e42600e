//! Failure domains that operators drain, one row each: nothing new is placed or started there.

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

/// Keys of the rows begin with it.
const DRAIN_PREFIX: &str = "drain/";
/// Between two readings; a change of the operators is in force everywhere within five seconds.
const READ_PERIOD: Duration = Duration::from_secs(1);
/// A change is offered to the store this long.
const COMMIT_SPAN: Duration = Duration::from_secs(3);
/// Longest name of a failure domain, bytes.
const MOST_NAME: usize = 100;

/// Whether a failure domain is drained.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct DrainRow {
    drained: bool,
}

/// The drained failure domains as this process knows them.
#[derive(Debug, Clone)]
pub struct DomainDrains {
    table: TableClient,
    known: Rc<KnownDrains>,
}

#[derive(Debug, Default)]
struct KnownDrains {
    view: RefCell<DrainView>,
    /// Counts what was learned: a reading that began before a change of our own is of the past.
    learned: Cell<u64>,
    /// Rows that did not decode: each is told once.
    damaged: RefCell<BTreeSet<Box<str>>>,
}

impl DomainDrains {
    /// Nothing is known to be drained before the first reading.
    pub fn new(table: TableClient) -> Self {
        Self {
            table,
            known: Rc::default(),
        }
    }

    /// Reads the rows again and again for the life of the process.
    pub async fn keep(self) {
        let streak = FailureStreak::new("reading of the drains");
        loop {
            match self.read().await {
                Ok(()) => streak.record_success(),
                Err(error) => streak.record_failure(&error),
            }
            sleep(READ_PERIOD).await;
        }
    }

    /// The drained failure domains.
    pub fn names(&self) -> Vec<Box<str>> {
        self.known.view.borrow().domains().iter().cloned().collect()
    }

    /// Whether the rows were read; before that any domain may be drained.
    pub(crate) fn are_known(&self) -> bool {
        self.known.view.borrow().age(self.now()).is_some()
    }

    /// Whether a failure domain gets nothing new.
    pub(crate) fn is_drained(&self, domain: &str) -> bool {
        self.known.view.borrow().domains().contains(domain)
    }

    /// Drains a failure domain, or takes it back; it is in the store when this returns.
    ///
    /// # Errors
    ///
    /// The name is none, the store does not answer, or others change the row at the same time.
    pub async fn change(&self, domain: &str, drained: bool) -> Result<(), WaxError> {
        check_name(domain)?;
        let key = format!("{DRAIN_PREFIX}{domain}");
        let before = self.table.read::<Value>(&key).await?;
        let version = before.map_or_else(RowVersion::default, |row| row.version);
        let mut transaction = TableTransaction::default();
        transaction.put(key, version, &DrainRow { drained });
        let now = self.now();
        match self.table.commit(&transaction, now + COMMIT_SPAN).await {
            CommitOutcome::Committed(_) => {
                // Before the first reading the others are not known: it will bring this one too.
                if self.are_known() {
                    self.learn(|view, nth| {
                        view.apply_changes(nth, [(domain.into(), drained)], now)
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
        let (asked, learned) = (self.now(), self.known.learned.get());
        let rows = self.table.scan::<Value>(DRAIN_PREFIX).await?;
        let drained = rows.iter().filter(|row| self.is_drain(row));
        let names = drained.filter_map(|row| row.key.strip_prefix(DRAIN_PREFIX));
        let names: BTreeSet<Box<str>> = names.map(Into::into).collect();
        if self.known.learned.get() == learned {
            self.learn(|view, nth| view.replace(nth, names, asked));
        }
        Ok(())
    }

    /// A row that cannot be read counts as a drain: what is not certain is kept out, and no other is hidden.
    fn is_drain(&self, row: &RowEntry<Value>) -> bool {
        match DrainRow::deserialize(&row.value) {
            Ok(value) => value.drained,
            Err(error) => {
                if self.known.damaged.borrow_mut().insert(row.key.clone()) {
                    tracing::error!(%error, key = %row.key, "the row of a drain does not decode");
                }
                true
            }
        }
    }

    fn learn(&self, change: impl FnOnce(&mut DrainView, u64) -> bool) {
        let nth = self.known.learned.get() + 1;
        self.known.learned.set(nth);
        let mut view = self.known.view.borrow_mut();
        if change(&mut view, nth) {
            tracing::info!(domains = ?view.domains(), "drained failure domains");
        }
    }

    fn now(&self) -> TimePoint {
        self.table.health().clock().now()
    }
}

fn check_name(domain: &str) -> Result<(), WaxError> {
    let is_plain = |sign: char| sign.is_ascii_alphanumeric() || "-_.".contains(sign);
    if !domain.is_empty() && domain.len() <= MOST_NAME && domain.chars().all(is_plain) {
        return Ok(());
    }
    let text = format!(
        "expected the name of a failure domain: letters, digits, - _ . and at most {MOST_NAME} of them"
    );
    Err(WaxError::new(
        ErrorKind::Invalid,
        Step::ParseRequest,
        domain,
        text,
    ))
}
