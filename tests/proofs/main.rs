//! Tests of the guarantees to users on real processes under failures.
//!
//! Each file covers one group of guarantees. Tests wait for states, never for fixed times. Random choices come
//! from a seed that is printed and that `WAXWING_SEED` sets.

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
