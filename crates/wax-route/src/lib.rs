//! The entry: takes requests of callers and operators and routes them to upstreams.
//!
//! Modules by life span: `process` lives as long as the daemon, `peer_link` as long as the
//! connection to one sidecar, `request` and what it uses as long as one request.

mod attempts;
mod body_forwarder;
mod callers;
mod headers;
mod idempotency;
mod job_api;
mod operators;
mod peer_link;
mod peers;
mod process;
mod request;
mod response;
mod settings_api;
mod settings_sync;
mod status;

pub use process::{EntryProcess, EntryServices};
