//! Rules of its queue that apply to a job, and how many runs of a task may fail under them.

use crate::queue::{AdviceRules, QueueConfig, QueueRules};
use std::rc::Rc;

/// Rules of a queue, and the version of the config that they are from.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionedRules {
    /// Version of the config.
    pub version: u64,
    /// The rules.
    pub rules: Rc<QueueRules>,
}

/// Rules of its queue that apply to a job.
#[derive(Debug, Clone, PartialEq)]
pub enum JobRules {
    /// Rules from the config in force; if it does not have the queue, the newest rules that the
    /// owner knows.
    InForce(VersionedRules),
    /// Rules from the time of acceptance. The config in force is not known, and may have others.
    AtAcceptance(VersionedRules),
    /// The job was stored by a release that did not store rules, and no known config has the queue.
    Unknown {
        /// Name of the queue.
        queue: Box<str>,
        /// Service of the queue at the time of acceptance.
        service: Box<str>,
    },
}

/// Number of failed runs of a task after which its job fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptLimit {
    /// The limit in force.
    Known(u32),
    /// The limit is not known, but it is at least 1.
    Unknown,
    /// The task is long-running: it starts again however its runs end.
    Unlimited,
}

impl AttemptLimit {
    /// Returns whether a task may start again of which at most this number of runs has failed.
    pub(crate) fn allows_start(self, max_failures: u64) -> bool {
        match self {
            Self::Known(_) | Self::Unlimited => !self.is_exhausted(max_failures),
            Self::Unknown => max_failures == 0,
        }
    }

    /// Returns whether a task of which this number of runs has failed fails its job.
    pub(crate) fn is_exhausted(self, failures: u64) -> bool {
        match self {
            Self::Known(limit) => failures >= u64::from(limit.max(1)),
            Self::Unknown | Self::Unlimited => false,
        }
    }
}

impl JobRules {
    /// Returns the rules of a job by the config in force, if that is known. `at_acceptance` is from
    /// the job's row.
    pub(crate) fn of_job(
        queue: &str,
        service: &str,
        at_acceptance: Option<VersionedRules>,
        config: Option<&QueueConfig>,
    ) -> Self {
        let mut rules = match at_acceptance {
            Some(rules) => Self::AtAcceptance(rules),
            None => Self::Unknown {
                queue: queue.into(),
                service: service.into(),
            },
        };
        if let Some(config) = config {
            rules.update(config);
        }
        rules
    }

    /// Applies the config in force. A job may have been accepted by a front with a later version.
    pub(crate) fn update(&mut self, config: &QueueConfig) {
        let known = match self {
            Self::InForce(known) | Self::AtAcceptance(known) => Some(known.clone()),
            Self::Unknown { .. } => None,
        };
        let version = config.version;
        let is_later = |known: &VersionedRules| known.version > version;
        let in_config = config.queue(self.queue());
        *self = match (in_config, known) {
            (_, Some(known)) if is_later(&known) => Self::InForce(known),
            (Some(rules), _) => Self::InForce(VersionedRules {
                version,
                rules: rules.clone(),
            }),
            (None, Some(known)) => Self::InForce(known),
            (None, None) => return,
        };
    }

    fn rules(&self) -> Option<&QueueRules> {
        match self {
            Self::InForce(known) | Self::AtAcceptance(known) => Some(&known.rules),
            Self::Unknown { .. } => None,
        }
    }

    /// Returns whether the rules in force are known.
    pub fn are_in_force(&self) -> bool {
        matches!(self, Self::InForce(_))
    }

    /// Returns the name of the queue.
    pub fn queue(&self) -> &str {
        match self {
            Self::InForce(known) | Self::AtAcceptance(known) => &known.rules.name,
            Self::Unknown { queue, .. } => queue,
        }
    }

    /// Returns the service whose workers run the job's tasks.
    pub fn service(&self) -> &str {
        match self {
            Self::InForce(known) | Self::AtAcceptance(known) => &known.rules.service,
            Self::Unknown { service, .. } => service,
        }
    }

    /// Returns the priority of the queue; 0 is the highest. A job without known rules goes last.
    pub fn priority(&self) -> u32 {
        self.rules().map_or(u32::MAX, |rules| rules.priority)
    }

    /// Returns the rules of the placement advisor; `None` if it need not approve the workers, or if the
    /// rules are not known. In the latter case workers refuse starts for which it has to.
    pub fn advice(&self) -> Option<AdviceRules> {
        self.rules()?.advice
    }

    /// Returns the objective of a job whose critical path has the given length, both in milliseconds;
    /// 0 without known rules.
    pub(crate) fn objective_ms(&self, path_ms: f64) -> f64 {
        self.rules()
            .map_or(0.0, |rules| rules.objective_ms(path_ms))
    }

    pub(crate) fn attempt_limit(&self) -> AttemptLimit {
        match self {
            Self::InForce(known) => AttemptLimit::Known(known.rules.max_attempts),
            Self::AtAcceptance(_) | Self::Unknown { .. } => AttemptLimit::Unknown,
        }
    }
}
