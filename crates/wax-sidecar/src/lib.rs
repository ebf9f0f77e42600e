//! The sidecar of one upstream: reports its load to the entries, limits the requests that it runs at
//! the same time, and forwards requests to it.
//!
//! State in `process` lasts for the whole process, state in `link` for the connection to one entry,
//! and state in `attempt` for one request. `pool` manages the connections to the upstream.

mod announce;
mod attempt;
mod attempt_table;
mod link;
mod pool;
mod process;

pub use process::SidecarProcess;
