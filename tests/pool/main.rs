//! The roles of the pool on real processes, against stand-ins of the users' platform.
//!
//! Tests wait for states, never for times. After each, the workers' own histories are audited.

#[path = "../proofs/support/calls.rs"]
#[allow(dead_code, reason = "shared with the proofs, which use all of it")]
mod calls;
#[path = "../common/mod.rs"]
mod common;
mod config;
mod crashes;
mod drains;
mod faults;
mod jobs;
mod links;
mod many_agents;
mod ports;
mod restarts;
mod site;
mod soak;
mod soak_plan;
mod store_proxy;
