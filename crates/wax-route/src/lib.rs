//! The entry: receives the requests of callers and operators and routes quick requests to
//! upstreams through their sidecars.
//!
//! State in `process` lasts for the whole process, state in `peer_link` for the connection to one
//! sidecar, and state in `request` and the modules that it uses for one request.

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
