//! The front: accepts callers' jobs, shows and cancels them, and may own the shard.
//!
//! A job is accepted only after it has been stored.

mod accept;
mod cancel;
mod handler;
mod owner_link;
mod process;
mod readiness;
mod show;
mod state;
mod store_route;

pub use process::run_front;
