//! Replays a recorded trace through the decision code that the daemons run.
//!
//! This is no simulator of a cluster: workers and upstreams are a few numbers each, so that the
//! same trace gives the same verdict on a decision every time.

mod batch;
mod compare;
mod engine;
mod events;
mod quick;
mod report;
mod trace;
mod world;

pub use compare::{ComparisonReport, PolicyRatios, RatioSpread, compare_policies};
pub use engine::replay;
pub use report::{BatchReport, QuickReport, ReplayReport, UrgentReport};
pub use trace::{ReplayPolicy, TraceError, TraceLine, parse_trace};
