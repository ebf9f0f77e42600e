//! Ownership of a shard: the owner's term, its jobs, the workers that run them, and the rows it
//! keeps in the store.
//!
//! Every front is a candidate for ownership. Only a conditional write in the platform's store
//! decides which front owns the shard. A former owner is fenced in the store by the versions of two
//! rows (owner and heartbeat), and at each agent by its fencing token.

mod advice;
mod agent_links;
mod candidates;
mod chain_write;
mod dispatch;
mod ended_boots;
mod front_links;
mod front_relay;
mod fronts;
mod interference_log;
mod job_feed;
mod listener;
mod load;
mod operator_rows;
mod owner_term;
mod relay;
mod roster;
mod rows;
mod shared;
mod slow_workers;
mod takeover_delay;
mod timeouts;
mod tx_resolution;
mod watch;
mod waves;
mod writer;

pub use candidates::{
    Candidate, CandidateRank, HandoverCheck, OwnerFitness, TakeoverDelay, TimerLateness,
    VmCapacity, rank_candidates,
};
pub use ended_boots::EndedBoots;
pub use fronts::{FrontRecord, FrontRoster};
pub use interference_log::{InterferenceLog, PendingInterference};
pub use listener::serve_peers;
pub use operator_rows::{follow_operator_rows, read_operator_rows};
pub use owner_term::{JobStatus, OwnerTerm};
pub use relay::{
    RelayAttempt, RelayTracker, TransitDelay, encode_relay_request, relay_transaction,
};
pub use roster::{AgentRoster, AgentUpdate, ExpiredAgents};
pub use rows::{
    AgentRow, CANCEL_SUFFIX, JOB_TABLE, OWNER_TABLE, OwnerRow, PROGRESS_TABLE, cancel_key, job_key,
    owner_key, progress_key,
};
pub use shared::{KnownOwner, PoolShared};
pub use timeouts::OwnerTimeouts;
pub use tx_resolution::{TxResolution, transact};
pub use watch::{record_owner_row, run_ownership};
