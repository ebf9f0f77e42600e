//! The front: accepts callers' jobs, shows and cancels them, and may own the shard.
//!
//! A job is accepted only after it has been stored.

mod accept;
mod cancel;
mod direct_route;
mod handler;
mod job_batch;
mod owner_link;
mod process;
mod readiness;
mod show;
mod state;
mod store_route;
mod store_view;
mod submit_queue;

pub use job_batch::{BatchStep, JobBatch, JobResult, QueuedJob};
pub use process::run_front;
