//! How fast the tasks that fill may work beside tasks that serve.

use std::time::Duration;
use wax_types::TimePoint;

/// When to slow down and when to speed up.
#[derive(Debug, Clone, Copy)]
pub struct PaceRules {
    /// Between two decisions: the worker's figures cover half a second.
    pub period: Duration,
    /// A tail over this share of its target halves the pace.
    pub high: f64,
    /// A tail over its target by this much stops what fills at once.
    pub over: f64,
    /// Below this share the pace rises again.
    pub low: f64,
    /// By how much it rises, percent.
    pub rise: u32,
    /// A pace below this becomes 0, percent.
    pub least: u32,
}

impl Default for PaceRules {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(500),
            high: 0.85,
            over: 1.3,
            low: 0.65,
            rise: 15,
            least: 12,
        }
    }
}

/// The pace of all tasks that fill on one worker.
#[derive(Debug, Clone, Copy)]
pub struct PaceControl {
    percent: u32,
    decided: TimePoint,
}

impl Default for PaceControl {
    fn default() -> Self {
        Self {
            percent: 100,
            decided: TimePoint::default(),
        }
    }
}

impl PaceControl {
    /// The pace in force, percent.
    pub fn percent(&self) -> u32 {
        self.percent
    }

    /// Decides by the worst tail, as a share of its target.
    pub fn decide(&mut self, worst_tail: f64, now: TimePoint, rules: &PaceRules) -> u32 {
        if now.since(self.decided) < rules.period {
            return self.percent;
        }
        self.decided = now;
        if worst_tail > rules.over {
            self.percent = 0;
        } else if worst_tail > rules.high {
            self.percent /= 2;
            if self.percent < rules.least {
                self.percent = 0;
            }
        } else if worst_tail < rules.low {
            self.percent = (self.percent + rules.rise).min(100);
        }
        self.percent
    }
}
