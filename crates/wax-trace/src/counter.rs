//! The counters of the process, one atomic each.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$doc:meta])* $variant:ident = $name:literal,)*) => {
        /// What is counted; the name in metrics is `waxwing.` and the counter's name.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Counter {
            $($(#[$doc])* $variant,)*
        }

        const NAMES: &[&str] = &[$($name),*];
    };
}

counters! {
    /// Quick requests received by an entry.
    EntryRequests = "entry.requests",
    /// Quick requests answered whole.
    EntryAnswered = "entry.answered",
    /// Quick requests refused before any attempt.
    EntryRefused = "entry.refused",
    /// Quick requests whose deadline passed.
    EntryTimeouts = "entry.timeouts",
    /// Further attempts after a "not run" or a lost answer.
    EntryRetries = "entry.retries",
    /// Hedged attempts of idempotent requests.
    EntryHedges = "entry.hedges",
    /// Answers for attempts that were no longer pending.
    EntryLateAnswers = "entry.late_answers",
    /// Answers that ended before they were whole.
    EntryTruncatedAnswers = "entry.cut_answers",
    /// Repeated idempotency keys.
    EntryRepeatedKeys = "entry.repeated_keys",
    /// Requests that a sidecar dispatched to its upstream.
    SidecarDispatched = "sidecar.dispatched",
    /// Requests that a sidecar answered "not run".
    SidecarNotRun = "sidecar.not_run",
    /// Requests dispatched whose answer was lost.
    SidecarLost = "sidecar.lost",
    /// Cancels that met a queued or not yet arrived attempt.
    SidecarCancelled = "sidecar.cancelled",
    /// Connections opened to the upstream.
    SidecarConnects = "sidecar.connects",
    /// Peer connections opened or accepted.
    LinksOpened = "links.opened",
    /// Peer connections lost.
    LinksLost = "links.lost",
    /// Bytes of control frames sent, without bodies of requests and answers.
    LinksControlBytes = "links.control_bytes",
    /// Calls that read the table.
    StoreReads = "store.reads",
    /// Commits sent to the table.
    StoreCommits = "store.commits",
    /// Rows written by the commits sent.
    StoreRowsWritten = "store.rows_written",
    /// Commits that failed their conditions.
    StoreConflicts = "store.conflicts",
    /// Transactions that an owner sent for a front that could not.
    TransactionsRelayed = "store.transactions_relayed",
    /// Calls to the store that failed or timed out.
    StoreFailures = "store.failures",
    /// Commits whose lost reply was settled by sending them again.
    StoreCommitsResolved = "store.settled",
    /// Calls refused because the store is known to be down.
    StoreCallsRejected = "store.refused",
    /// Jobs accepted.
    JobsAccepted = "jobs.accepted",
    /// Jobs refused because no worker can ever run them.
    JobsUnplaceable = "jobs.impossible",
    /// Tasks placed by a committed transaction.
    TasksPlaced = "tasks.placed",
    /// Tasks that ended with a result.
    TasksDone = "tasks.done",
    /// Tasks evicted with a checkpoint.
    TasksEvicted = "tasks.evicted",
    /// Task runs that failed.
    TasksFailed = "tasks.failed",
    /// Tasks lost with their worker and queued again.
    TasksLost = "tasks.lost",
    /// Tasks found running after a takeover and kept.
    TasksAdopted = "tasks.adopted",
    /// Task runs stopped because no allocation stands for them.
    TasksOrphaned = "tasks.orphaned",
    /// Lease renewals sent to workers.
    LeaseRenewals = "leases.renewals",
    /// Shards gained.
    ShardsGained = "shards.gained",
    /// Shards lost or handed over.
    ShardsLost = "shards.lost",
    /// Settings versions applied.
    SettingsApplied = "settings.applied",
    /// Settings versions refused because they were not greater.
    SettingsStale = "settings.stale",
    /// Usage intervals written to the ledger.
    UsageIntervals = "usage.intervals",
    /// Usage intervals received a second time.
    UsageRepeated = "usage.repeated",
    /// Readings of the operator's rows that found what the feed had not told.
    ConfigChangesFoundByReading = "config.found_by_reading",
    /// Routes that were neither found nor denied, as the config may be old.
    RoutesIndeterminate = "config.routes_unsure",
    /// Requests that submitted a job which was already known.
    JobsRepeated = "jobs.repeated",
    /// Jobs that were not accepted, or of which it is not known.
    JobsNotAccepted = "jobs.not_accepted",
    /// Cancels stored.
    JobsCancelled = "jobs.cancelled",
    /// Jobs whose end the store has.
    JobsEnded = "jobs.ended",
    /// Terms of ownership begun.
    TermsBegun = "terms.begun",
    /// Terms of ownership ended.
    TermsEnded = "terms.ended",
    /// Transactions of an owner's chain.
    ChainWrites = "chain.writes",
    /// Transactions of an owner's chain that a front has sent.
    ChainRelayed = "chain.relayed",
    /// Transactions of an owner's chain that the store does not take.
    ChainRefused = "chain.refused",
    /// Workers asked what they take for a task.
    WorkersEvaluated = "workers.asked",
    /// Agents looked at by rounds of the dispatcher.
    AgentsVisited = "agents.looked_at",
    /// Starts ordered from agents.
    StartsOrdered = "starts.ordered",
    /// Starts that a worker or its agent refused.
    StartsRefused = "starts.refused",
    /// Starts without an answer.
    StartsUnanswered = "starts.unanswered",
    /// Stops ordered from agents.
    StopsOrdered = "stops.ordered",
    /// Holds without an answer.
    HoldsUnanswered = "holds.unanswered",
    /// Changes of pace ordered from a worker.
    PaceOrders = "pace.orders",
    /// Boots of workers that are gone, or whose leases have lapsed.
    WorkersEnded = "workers.gone",
    /// Runs that were on a worker when it ended or its leases lapsed.
    RunsLost = "runs.lost",
    /// Tasks that ended their workers and are not started again.
    TasksGivenUp = "tasks.given_up",
    /// Workers quarantined because they fail every task.
    WorkersQuarantined = "workers.quarantined",
}

const COUNTER_COUNT: usize = NAMES.len();

static VALUES: [AtomicU64; COUNTER_COUNT] = [const { AtomicU64::new(0) }; COUNTER_COUNT];

/// Adds one.
pub fn count(counter: Counter) {
    count_many(counter, 1);
}

/// Adds `amount`.
pub fn count_many(counter: Counter, amount: u64) {
    VALUES[counter as usize].fetch_add(amount, Ordering::Relaxed);
}

/// The name and value of every counter, in the order of their declaration.
pub fn counter_values() -> impl Iterator<Item = (&'static str, u64)> {
    NAMES
        .iter()
        .zip(&VALUES)
        .map(|(name, value)| (*name, value.load(Ordering::Relaxed)))
}
