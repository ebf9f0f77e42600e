//! Amounts of processors, memory and accelerators.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Amount of each resource that a worker has or that is reserved for a task.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize, PartialOrd, Ord,
)]
#[serde(deny_unknown_fields)]
pub struct ResourceVector {
    /// Thousandths of a processor core.
    pub cpu_milli: u32,
    /// Memory in mebibytes.
    pub memory_mib: u32,
    /// Number of whole accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

impl ResourceVector {
    /// Zero of every resource.
    pub const ZERO: Self = Self::new(0, 0, 0);

    /// Creates a vector from thousandths of a core, mebibytes and accelerators.
    pub const fn new(cpu_milli: u32, memory_mib: u32, accelerators: u32) -> Self {
        Self {
            cpu_milli,
            memory_mib,
            accelerators,
        }
    }

    /// Adds two vectors; `None` if a component overflows.
    pub fn checked_add(self, other: Self) -> Option<Self> {
        Some(Self {
            cpu_milli: self.cpu_milli.checked_add(other.cpu_milli)?,
            memory_mib: self.memory_mib.checked_add(other.memory_mib)?,
            accelerators: self.accelerators.checked_add(other.accelerators)?,
        })
    }

    /// Subtracts `other`; a component that would become negative is zero.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns whether every component is at most that of `limit`.
    pub fn fits_in(self, limit: Self) -> bool {
        self.cpu_milli <= limit.cpu_milli
            && self.memory_mib <= limit.memory_mib
            && self.accelerators <= limit.accelerators
    }

    /// Returns the name of the first component that exceeds that of `limit`.
    pub fn first_excess(self, limit: Self) -> Option<&'static str> {
        if self.cpu_milli > limit.cpu_milli {
            Some("cpu_milli")
        } else if self.memory_mib > limit.memory_mib {
            Some("memory_mib")
        } else if self.accelerators > limit.accelerators {
            Some("accelerators")
        } else {
            None
        }
    }

    /// Returns the largest share of `capacity` that any component takes: 1 if a component equals
    /// its capacity, infinite if a component is needed and the capacity has none.
    pub fn dominant_share(self, capacity: Self) -> f64 {
        let share = |part: u32, whole: u32| match (part, whole) {
            (0, _) => 0.0,
            (_, 0) => f64::INFINITY,
            (part, whole) => f64::from(part) / f64::from(whole),
        };
        share(self.cpu_milli, capacity.cpu_milli)
            .max(share(self.memory_mib, capacity.memory_mib))
            .max(share(self.accelerators, capacity.accelerators))
    }
}

impl fmt::Display for ResourceVector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} cpu_milli, {} memory_mib, {} accelerators",
            self.cpu_milli, self.memory_mib, self.accelerators
        )
    }
}
