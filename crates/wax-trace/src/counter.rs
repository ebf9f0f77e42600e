//! Counters of the process, one atomic integer each.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$doc:meta])* $variant:ident = $name:literal,)*) => {
        /// Counters of the process. The name of a metric is `waxwing.` followed by the name of the
        /// counter.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Counter {
            $($(#[$doc])* $variant,)*
        }

        const NAMES: &[&str] = &[$($name),*];
    };
}

counters! {
    /// Connections of clients that were closed at once, as the process has no room for them.
    ClientsRefused = "clients.refused",
    /// Connections of clients that were closed to make room for others.
    ClientsGivenUp = "clients.given_up",
    /// Bodies that were refused, as the process has no memory for them.
    BodiesRefused = "bodies.refused",
    /// Bodies that were given up, as they did not arrive in time.
    BodiesTooSlow = "bodies.too_slow",
    /// Connections to the peers' port that were closed before the peer had identified itself.
    PeersUnidentified = "peers.unidentified",
    /// Quick requests received by an entry.
    EntryRequests = "entry.requests",
    /// Quick requests whose complete response was sent to the caller.
    EntryAnswered = "entry.answered",
    /// Quick requests refused before any attempt.
    EntryRefused = "entry.refused",
    /// Quick requests whose deadline expired.
    EntryTimeouts = "entry.timeouts",
    /// Retries after a sidecar answered "not run" or the response was lost.
    EntryRetries = "entry.retries",
    /// Hedged attempts of idempotent requests.
    EntryHedges = "entry.hedges",
    /// Responses that arrived for attempts that were no longer pending.
    EntryLateAnswers = "entry.late_answers",
    /// Responses that ended before they were complete.
    EntryTruncatedAnswers = "entry.cut_answers",
    /// Quick requests with an idempotency key that had been used before.
    EntryRepeatedKeys = "entry.repeated_keys",
    /// Requests that a sidecar dispatched to its upstream.
    SidecarDispatched = "sidecar.dispatched",
    /// Requests that a sidecar answered "not run".
    SidecarNotRun = "sidecar.not_run",
    /// Requests that were dispatched to the upstream and whose response was lost.
    SidecarLost = "sidecar.lost",
    /// Cancellations of attempts that were still queued at the sidecar or had not arrived yet.
    SidecarCancelled = "sidecar.cancelled",
    /// Connections that a sidecar opened to its upstream.
    SidecarConnects = "sidecar.connects",
    /// Peer connections opened or accepted.
    LinksOpened = "links.opened",
    /// Peer connections that were closed or failed.
    LinksLost = "links.lost",
    /// Bytes of control frames sent; bodies of requests and responses are not included.
    LinksControlBytes = "links.control_bytes",
    /// Read calls to the table.
    StoreReads = "store.reads",
    /// Commits sent to the table.
    StoreCommits = "store.commits",
    /// Rows in the commits sent to the table.
    StoreRowsWritten = "store.rows_written",
    /// Commits that the table rejected because a condition did not hold.
    StoreConflicts = "store.conflicts",
    /// Transactions that this process sent to the store on behalf of a peer that could not reach
    /// it.
    TransactionsRelayed = "store.transactions_relayed",
    /// Calls to the store that failed or timed out.
    StoreFailures = "store.failures",
    /// Commits with a lost reply whose outcome was determined afterwards.
    StoreCommitsResolved = "store.settled",
    /// Calls to the store that the circuit breaker rejected without sending them.
    StoreCallsRejected = "store.refused",
    /// Jobs accepted.
    JobsAccepted = "jobs.accepted",
    /// Jobs rejected because no worker is large enough for their tasks.
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
    /// Tasks that were running at a takeover and were taken over by the new owner.
    TasksAdopted = "tasks.adopted",
    /// Runs that were stopped because the store holds no allocation for them.
    TasksOrphaned = "tasks.orphaned",
    /// Lease renewals sent to workers.
    LeaseRenewals = "leases.renewals",
    /// Shards of which this process became the owner.
    ShardsGained = "shards.gained",
    /// Shards that this process lost or handed over.
    ShardsLost = "shards.lost",
    /// Settings versions applied.
    SettingsApplied = "settings.applied",
    /// Received settings versions that were ignored because they were not newer.
    SettingsStale = "settings.stale",
    /// Usage intervals written to the ledger.
    UsageIntervals = "usage.intervals",
    /// Usage intervals that were received more than once.
    UsageRepeated = "usage.repeated",
    /// Reads of the operator's rows that found a change which the feed had not delivered.
    ConfigChangesFoundByReading = "config.found_by_reading",
    /// Lookups of a queue that was not found in a config that may be stale; the caller is asked to
    /// retry.
    RoutesIndeterminate = "config.routes_unsure",
    /// Submissions of jobs that had been accepted before.
    JobsRepeated = "jobs.repeated",
    /// Submissions that were rejected or whose outcome is indeterminate.
    JobsNotAccepted = "jobs.not_accepted",
    /// Job cancellations that were stored.
    JobsCancelled = "jobs.cancelled",
    /// Jobs whose end was stored.
    JobsEnded = "jobs.ended",
    /// Terms of ownership that this process began.
    TermsBegun = "terms.begun",
    /// Terms of ownership of this process that ended.
    TermsEnded = "terms.ended",
    /// Transactions of the owner's write chain.
    ChainWrites = "chain.writes",
    /// Transactions of the owner's write chain that a front sent to the store on request.
    ChainRelayed = "chain.relayed",
    /// Transactions of the owner's write chain that the store rejected as invalid.
    ChainRefused = "chain.refused",
    /// Updates of jobs whose progress the store cannot take; each such job fails.
    JobsUnstorable = "jobs.unstorable",
    /// Ended jobs whose state was removed from the store.
    EndedJobsRemoved = "jobs.ended_removed",
    /// Workers that the scheduler evaluated as candidates for a task.
    WorkersEvaluated = "workers.asked",
    /// Agents that the dispatcher visited.
    AgentsVisited = "agents.looked_at",
    /// Start orders sent to agents.
    StartsOrdered = "starts.ordered",
    /// Start orders that a worker or its agent refused.
    StartsRefused = "starts.refused",
    /// Start orders that were not answered.
    StartsUnanswered = "starts.unanswered",
    /// Further copies of starts that were sent because no answer had arrived.
    StartsResent = "starts.resent",
    /// Starts that only a later copy resolved.
    StartsRecovered = "starts.recovered",
    /// Further copies of stops that were sent because no answer had arrived.
    StopsResent = "stops.resent",
    /// Further copies of holds that were sent because no answer had arrived.
    HoldsResent = "holds.resent",
    /// Answers to holds that are older than the link to the owner, so that they give no run list.
    RunListsOutdated = "run_lists.outdated",
    /// Pace orders that were repeated because a late copy of an earlier one may still be executed.
    PacesRepeated = "pace.repeated",
    /// Unanswered starts after which the owner limited the starts on a worker.
    StartLimits = "starts.limited",
    /// Stop orders sent to agents.
    StopsOrdered = "stops.ordered",
    /// Hold calls to workers that were not answered.
    HoldsUnanswered = "holds.unanswered",
    /// Changes of the pace of a run that an agent ordered from its worker.
    PaceOrders = "pace.orders",
    /// Boots of workers that ended or whose leases expired.
    WorkersEnded = "workers.gone",
    /// Runs that were lost because their worker ended or its leases expired.
    RunsLost = "runs.lost",
    /// Tasks that are not retried because their runs crashed workers.
    TasksGivenUp = "tasks.given_up",
    /// Workers quarantined because they fail every task.
    WorkersQuarantined = "workers.quarantined",
    /// Verdicts that a worker is slow.
    WorkersFoundSlow = "workers.found_slow",
    /// Verdicts that a slow worker is normal again.
    WorkersFoundNormal = "workers.found_normal",
    /// Runs that were stopped on a slow worker to start on another.
    RunsMovedOffSlow = "runs.moved_off_slow",
}

const COUNTER_COUNT: usize = NAMES.len();

static VALUES: [AtomicU64; COUNTER_COUNT] = [const { AtomicU64::new(0) }; COUNTER_COUNT];

/// Adds one to a counter.
pub fn count(counter: Counter) {
    count_many(counter, 1);
}

/// Adds `amount` to a counter.
pub fn count_many(counter: Counter, amount: u64) {
    VALUES[counter as usize].fetch_add(amount, Ordering::Relaxed);
}

/// Returns the name and value of every counter, in the order of declaration.
pub fn counter_values() -> impl Iterator<Item = (&'static str, u64)> {
    NAMES
        .iter()
        .zip(&VALUES)
        .map(|(name, value)| (*name, value.load(Ordering::Relaxed)))
}
