//! The entry: takes requests of callers and operators and routes them to upstreams.
//!
//! Modules by life span: `process` lives as long as the daemon, `peer_link` as long as the
//! connection to one sidecar, `request` and what it uses as long as one request.

mod answer;
mod attempts;
mod body_pump;
mod callers;
mod headers;
mod job_calls;
mod once;
mod operators;
mod peer_link;
mod peers;
mod process;
mod request;
mod settings_calls;
mod settings_sync;
mod status;

pub use process::{EntryProcess, EntryServices};
