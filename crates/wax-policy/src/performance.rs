//! Estimates the relative speed of a worker from its runs, and decides when the worker counts as
//! slow and when it counts as normal again.
//!
//! The speed is relative to the runs of the same step or image on other workers: 1 for a worker as
//! fast as those. Without evidence, or with evidence older than [`PerformanceRules::window`], a
//! worker counts as normal.

use crate::performance_rules::PerformanceRules;
use std::collections::VecDeque;
use std::time::Duration;
use wax_types::TimePoint;

/// Number of observations that are kept of a worker.
const MAX_OBSERVATIONS: usize = 8;
/// Number of normal observations that one slow observation outweighs. Run times of one step do not
/// differ by the factor that makes an observation slow.
const NORMAL_PER_SLOW: f64 = 1.0 / 3.0;
/// Evidence of slowness at the end of the hold-off extends it if it covers at most this time. A run
/// that began earlier may be overdue only because the worker was slow before.
const FRESH_EVIDENCE: Duration = Duration::from_millis(1_500);

/// One piece of evidence about a worker's speed. `S` identifies the task or report that it is from;
/// a later observation from the same source replaces the earlier one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedObservation<S> {
    /// Task or report that the observation is from.
    pub source: S,
    /// Observed speed as a share of the reference.
    pub speed: f64,
    /// What the observation says of the worker.
    pub finding: SpeedFinding,
    /// Weight of the observation; 1 for a run that is compared with other runs of its step.
    pub weight: f64,
    /// Start of the time that the observation covers.
    pub began_at: TimePoint,
    /// Time of the observation.
    pub at: TimePoint,
}

/// What one observation says of its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpeedFinding {
    /// The worker is as fast as others.
    Normal,
    /// The worker is much slower than others.
    Slow,
}

/// Estimated speed of a worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedEstimate {
    /// Speed as a share of that of other workers.
    pub speed: f64,
    /// Confidence in `speed`, 0 to below 1; 0 without evidence.
    pub confidence: f64,
    /// Time since the last observation; `None` without evidence.
    pub age: Option<Duration>,
    /// Whether the evidence suffices to count the worker as slow.
    pub looks_slow: bool,
}

/// How placement treats a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SpeedVerdict {
    /// The worker takes tasks like others.
    #[default]
    Normal,
    /// Tasks are placed elsewhere if they fit there.
    Slow,
    /// The worker takes a few short tasks that show whether it is still slow.
    Probing,
}

impl SpeedVerdict {
    /// Returns the name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Normal => "normal",
            Self::Slow => "slow",
            Self::Probing => "probing",
        }
    }
}

/// Why the verdict on a worker has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpeedCause {
    /// Several observations were slow.
    Evidence,
    /// The hold-off is over.
    HoldOffOver,
    /// The probe tasks ran at normal speed.
    ProbePassed,
    /// A probe task was slow.
    ProbeFailed,
    /// The probe brought no evidence for a long time.
    NoEvidence,
    /// More workers look slow than may count as slow.
    Floor,
    /// The part was switched off.
    Disabled,
}

impl SpeedCause {
    /// Returns the name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Evidence => "evidence",
            Self::HoldOffOver => "hold_off_over",
            Self::ProbePassed => "probe_passed",
            Self::ProbeFailed => "probe_failed",
            Self::NoEvidence => "no_evidence",
            Self::Floor => "floor",
            Self::Disabled => "disabled",
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SpeedState {
    Normal { since: TimePoint },
    Slow { until: TimePoint },
    Probing { since: TimePoint, runs_left: u32 },
}

/// Evidence of one boot of a worker, and the verdict on it.
#[derive(Debug, Clone)]
pub struct WorkerPerformance<S> {
    /// In the order of `began_at`. A run that lasts long must not outweigh the normal runs that began
    /// after it, however often it is observed.
    observations: VecDeque<SpeedObservation<S>>,
    state: SpeedState,
    hold_off: Duration,
    /// Observations that cover an earlier time are ignored: they would show the state before the
    /// probe.
    counted_from: TimePoint,
    /// Speed when the worker was last found slow.
    slow_speed: f64,
    /// Time since which the worker has not been normal.
    slow_since: TimePoint,
    /// Cause of the last change of the verdict.
    cause: SpeedCause,
}

impl<S> Default for WorkerPerformance<S> {
    fn default() -> Self {
        Self {
            observations: VecDeque::new(),
            state: SpeedState::Normal {
                since: TimePoint::default(),
            },
            hold_off: Duration::ZERO,
            counted_from: TimePoint::default(),
            slow_speed: 1.0,
            slow_since: TimePoint::default(),
            cause: SpeedCause::NoEvidence,
        }
    }
}

impl<S: Copy + PartialEq> WorkerPerformance<S> {
    /// Adds an observation.
    pub fn observe(&mut self, observation: SpeedObservation<S>) {
        if observation.began_at < self.counted_from {
            return;
        }
        self.observations
            .retain(|earlier| earlier.source != observation.source);
        let position = self
            .observations
            .partition_point(|earlier| earlier.began_at <= observation.began_at);
        self.observations.insert(position, observation);
        if self.observations.len() > MAX_OBSERVATIONS {
            self.observations.pop_front();
        }
    }

    /// Returns the estimated speed by the recent observations.
    ///
    /// A worker may turn slow within an instant. The observations are therefore taken from the run
    /// that began last to the one that began first, and normal ones that began earlier do not speak
    /// against slow ones that began later.
    pub fn estimate(&self, now: TimePoint, rules: &PerformanceRules) -> SpeedEstimate {
        let min_weight = match self.state {
            // A job that is long on every worker may fail a probe, which costs one hold-off.
            SpeedState::Probing { .. } => f64::MIN_POSITIVE,
            _ => f64::from(rules.min_evidence),
        };
        let (mut slow, mut normal) = (0.0, 0.0);
        let (mut weight, mut log_speed) = (0.0, 0.0);
        let mut looks_slow = false;
        for observation in self.recent(now, rules).rev() {
            weight += observation.weight;
            log_speed += observation.weight * observation.speed.max(0.01).ln();
            match observation.finding {
                SpeedFinding::Slow => slow += observation.weight,
                SpeedFinding::Normal => normal += observation.weight,
            }
            if slow >= min_weight && normal <= slow * NORMAL_PER_SLOW {
                looks_slow = true;
                break;
            }
        }
        let last_at = self.observations.iter().map(|last| last.at).max();
        let age = last_at.map(|at| now.since(at));
        SpeedEstimate {
            speed: match weight > 0.0 {
                true => (log_speed / weight).exp(),
                false => 1.0,
            },
            confidence: weight / (weight + 1.0),
            age,
            looks_slow,
        }
    }

    fn recent(
        &self,
        now: TimePoint,
        rules: &PerformanceRules,
    ) -> impl DoubleEndedIterator<Item = &SpeedObservation<S>> {
        let window = rules.window;
        let observations = self.observations.iter();
        observations.filter(move |observation| now.since(observation.at) <= window)
    }

    /// Returns the verdict in force.
    pub fn verdict(&self) -> SpeedVerdict {
        match self.state {
            SpeedState::Normal { .. } => SpeedVerdict::Normal,
            SpeedState::Slow { .. } => SpeedVerdict::Slow,
            SpeedState::Probing { .. } => SpeedVerdict::Probing,
        }
    }

    /// Returns whether the worker takes short tasks like others: it is normal, or lacks runs for its
    /// probe.
    pub fn takes_short_tasks(&self) -> bool {
        match self.state {
            SpeedState::Normal { .. } => true,
            SpeedState::Slow { .. } => false,
            SpeedState::Probing { runs_left, .. } => runs_left > 0,
        }
    }

    /// Records that a short task was placed on the worker.
    pub fn record_short_start(&mut self) {
        if let SpeedState::Probing { runs_left, .. } = &mut self.state {
            *runs_left = runs_left.saturating_sub(1);
        }
    }

    /// Records that a short task that was placed at `placed_at` has ended without evidence. During a
    /// probe, another task takes its turn.
    pub fn record_end_without_evidence(&mut self, placed_at: TimePoint) {
        if let SpeedState::Probing { since, runs_left } = &mut self.state
            && placed_at >= *since
        {
            *runs_left += 1;
        }
    }

    /// Returns the speed with which the worker counts: 1 if it is normal.
    pub fn counted_speed(&self) -> f64 {
        match self.state {
            SpeedState::Normal { .. } => 1.0,
            _ => self.slow_speed,
        }
    }

    /// Returns the time since which the worker has not been normal; meaningless for a normal worker.
    pub fn slow_since(&self) -> TimePoint {
        self.slow_since
    }

    /// Returns the cause of the last change of the verdict.
    pub fn cause(&self) -> SpeedCause {
        self.cause
    }

    /// Returns the current hold-off.
    pub fn hold_off(&self) -> Duration {
        self.hold_off
    }

    /// Advances the verdict; returns the cause if it changes. `may_be_slow` is false if the floor
    /// rules out that the worker counts as slow.
    pub fn advance(
        &mut self,
        now: TimePoint,
        may_be_slow: bool,
        rules: &PerformanceRules,
    ) -> Option<SpeedCause> {
        let was_normal = self.verdict() == SpeedVerdict::Normal;
        let cause = self.next_verdict(now, may_be_slow, rules)?;
        if was_normal {
            self.slow_since = now;
        }
        self.cause = cause;
        Some(cause)
    }

    fn next_verdict(
        &mut self,
        now: TimePoint,
        may_be_slow: bool,
        rules: &PerformanceRules,
    ) -> Option<SpeedCause> {
        let estimate = self.estimate(now, rules);
        if rules.enabled == 0 {
            return self.set_normal(now, SpeedCause::Disabled);
        }
        if !may_be_slow {
            return self.set_normal(now, SpeedCause::Floor);
        }
        match self.state {
            SpeedState::Normal { since } if estimate.looks_slow => {
                let is_relapse =
                    self.hold_off > Duration::ZERO && now.since(since) < rules.max_hold_off;
                self.hold_off = match is_relapse {
                    true => self.doubled_hold_off(rules),
                    false => rules.hold_off,
                };
                self.set_slow(now, estimate.speed);
                Some(SpeedCause::Evidence)
            }
            SpeedState::Normal { .. } => None,
            SpeedState::Slow { until } if now < until => None,
            SpeedState::Slow { .. } => {
                if self.has_fresh_slow_evidence(now) {
                    self.hold_off = self.doubled_hold_off(rules);
                    self.set_slow(now, self.slow_speed);
                    return None;
                }
                self.observations.clear();
                self.counted_from = now;
                self.state = SpeedState::Probing {
                    since: now,
                    runs_left: rules.probe_runs,
                };
                Some(SpeedCause::HoldOffOver)
            }
            SpeedState::Probing { .. } if estimate.looks_slow => {
                self.hold_off = self.doubled_hold_off(rules);
                self.set_slow(now, estimate.speed);
                Some(SpeedCause::ProbeFailed)
            }
            SpeedState::Probing { since, .. } => {
                if self.normal_runs(now, rules) >= rules.probe_runs as usize {
                    self.set_normal(now, SpeedCause::ProbePassed)
                } else if now.since(since) >= rules.max_hold_off {
                    self.set_normal(now, SpeedCause::NoEvidence)
                } else {
                    None
                }
            }
        }
    }

    fn doubled_hold_off(&self, rules: &PerformanceRules) -> Duration {
        let doubled = self.hold_off.saturating_mul(2);
        doubled.clamp(rules.hold_off, rules.max_hold_off.max(rules.hold_off))
    }

    fn set_slow(&mut self, now: TimePoint, speed: f64) {
        self.slow_speed = speed;
        self.state = SpeedState::Slow {
            until: now + self.hold_off,
        };
    }

    fn set_normal(&mut self, now: TimePoint, cause: SpeedCause) -> Option<SpeedCause> {
        if matches!(self.state, SpeedState::Normal { .. }) {
            return None;
        }
        self.observations.clear();
        self.counted_from = now;
        self.state = SpeedState::Normal { since: now };
        Some(cause)
    }

    fn has_fresh_slow_evidence(&self, now: TimePoint) -> bool {
        self.observations.iter().any(|observation| {
            observation.finding == SpeedFinding::Slow
                && now.since(observation.began_at) <= FRESH_EVIDENCE
        })
    }

    fn normal_runs(&self, now: TimePoint, rules: &PerformanceRules) -> usize {
        let recent = self.recent(now, rules);
        let normal = recent.filter(|observation| observation.finding == SpeedFinding::Normal);
        normal.count()
    }
}

/// Returns whether moving a checkpointed run takes less time than letting it continue at `speed`.
///
/// `remaining` is the remaining work and `repeated` the work since the last checkpoint, both as run
/// time at normal speed.
pub fn is_move_worthwhile(
    remaining: Duration,
    repeated: Duration,
    speed: f64,
    rules: &PerformanceRules,
) -> bool {
    let stay = remaining.as_secs_f64() / speed.max(0.01);
    stay > (remaining + repeated + rules.restore_time).as_secs_f64()
}

/// Estimated speed of one ready worker of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceWorker<K> {
    /// Key of the worker.
    pub key: K,
    /// Estimated speed.
    pub speed: f64,
    /// Whether the worker counts as slow, or would without the floor.
    pub looks_slow: bool,
}

/// Returns the workers of a service that may count as slow: at most the share
/// [`PerformanceRules::max_slow_share`].
///
/// If more look slow, slow is the norm: only those that are much slower than the median of the
/// service may count, the slowest first.
pub fn select_slow<K: Copy + Ord>(
    workers: &[ServiceWorker<K>],
    rules: &PerformanceRules,
) -> Vec<K> {
    let max_slow = (workers.len() as f64 * rules.max_slow_share) as usize;
    let mut slow: Vec<&ServiceWorker<K>> =
        workers.iter().filter(|worker| worker.looks_slow).collect();
    if slow.len() > max_slow {
        let mut speeds: Vec<f64> = workers.iter().map(|worker| worker.speed).collect();
        speeds.sort_unstable_by(f64::total_cmp);
        let median = speeds[speeds.len() / 2];
        slow.retain(|worker| worker.speed * rules.slow_factor <= median);
        slow.sort_unstable_by(|a, b| a.speed.total_cmp(&b.speed).then(a.key.cmp(&b.key)));
        slow.truncate(max_slow);
    }
    slow.into_iter().map(|worker| worker.key).collect()
}
