//! Owns a shard: its term, its jobs, the workers that run them, and what the store keeps.
//!
//! Every front is a candidate. Who owns is decided by a conditional write in the platform's store
//! alone; an owner of the past is fenced there by the versions of two rows, and at each agent by
//! its fencing token.

mod advice;
mod agents;
mod candidates;
mod chain;
mod dispatch;
mod entries;
mod fate;
mod front_way;
mod fronts;
mod gone;
mod job_feed;
mod listener;
mod load;
mod operator_rows;
mod press_log;
mod relay;
mod roster;
mod rows;
mod shared;
mod spans;
mod tenure;
mod turn;
mod watch;
mod waves;
mod writer;

pub use candidates::{
    Candidate, CandidateRank, MachineStrength, OwnerFitness, OwnerStanding, TakeoverChance,
    TimerLateness, rank_all,
};
pub use fate::{TxFate, transact};
pub use fronts::{FrontLife, FrontRoster};
pub use gone::GoneBoots;
pub use listener::serve_peers;
pub use operator_rows::{keep_operator_rows, read_operator_rows};
pub use press_log::{PressLog, PressStep};
pub use relay::{AskOutcome, PeerAge, RelayDoubt, encode_ask, relay_transaction};
pub use roster::{AgentNote, AgentRoster, LapsedAgents};
pub use rows::{
    AgentRow, CANCEL_SUFFIX, JOB_TABLE, OWNER_TABLE, OwnerRow, PROGRESS_TABLE, cancel_key, job_key,
    owner_key, progress_key,
};
pub use shared::{KnownOwner, PoolShared};
pub use spans::OwnerSpans;
pub use tenure::{JobWord, Tenure};
pub use watch::{keep_ownership, note_owner_row};
