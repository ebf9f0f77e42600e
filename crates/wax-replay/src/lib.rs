//! Replays a recorded trace through the decision code of the daemons.
//!
//! Workers and upstreams are modelled by a few numbers each, not simulated in detail, so that the
//! same trace always gives the same result for a decision.

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
