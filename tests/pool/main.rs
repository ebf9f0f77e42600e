//! Tests the roles of the pool as real processes against stand-ins for the users' platform.
//!
//! Tests wait for states, never for fixed times. At its end a test audits what the workers recorded.

mod attempts;
#[path = "../proofs/support/calls.rs"]
#[allow(dead_code, reason = "shared with the test target `proofs`")]
mod calls;
mod clocks;
#[path = "../common/mod.rs"]
mod common;
mod config;
mod crashes;
mod drains;
mod faults;
mod jobs;
mod large_jobs;
mod links;
mod many_agents;
mod many_ends;
mod memory;
mod odd_entries;
mod orders;
mod ports;
mod restarts;
mod retention;
mod site;
mod slow_workers;
mod soak;
mod soak_plan;
mod store_proxy;
