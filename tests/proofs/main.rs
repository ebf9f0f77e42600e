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
mod fault_sequences;
mod history_checks;
mod outage;
mod peer_protocol;
mod placement;
mod settings_rollout;
mod stops;
mod support;
mod tool;
