//! Takes jobs of callers into queues: each is stored once before it is accepted.

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
