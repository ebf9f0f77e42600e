//! The process beside one upstream: announces it, keeps its slots, forwards requests to it.
//!
//! Modules by life span: `process` lives as long as the daemon, `link` as long as the connection
//! to one entry, `attempt` as long as one request; `pool` keeps the upstream's connections.

mod announce;
mod attempt;
mod attempt_table;
mod link;
mod pool;
mod process;

pub use process::SidecarProcess;
