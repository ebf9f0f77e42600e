//! Replays a recorded trace through the decision code that the daemons run.
//!
//! This is no simulator of a cluster: workers and upstreams are a few numbers each, so that the
//! same trace gives the same verdict on a decision every time.

mod batch;
mod bound;
mod compare;
mod engine;
mod events;
mod quick;
mod report;
mod trace;
mod trace_bound;
mod world;

pub use bound::{BoundJob, BoundSlot, WorkBound, compute_bound};
pub use compare::{ComparisonReport, PolicyRatios, RatioSpread, compare_policies};
pub use engine::replay;
pub use report::{BatchReport, QuickReport, ReplayReport, UrgentReport};
pub use trace::{ReplayPolicy, TraceError, TraceLine, parse_trace};
pub use trace_bound::bound_trace;
