//! The users' promises, proved on real processes under failures.
//!
//! Each file holds one group of promises. Tests wait for states, never for times; random choices
//! come from a seed that is printed, and `WAXWING_SEED` sets it.

mod alerts;
mod answers;
mod bad_input;
mod billing;
#[path = "../common/mod.rs"]
mod common;
mod history_checks;
mod outage;
mod placement;
mod settings_force;
mod stops;
mod storms;
mod support;
mod tool;
mod wire_edges;
