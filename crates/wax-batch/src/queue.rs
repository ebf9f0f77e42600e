//! Rules of queues and services as given by the operator's config.

use std::rc::Rc;

/// Rules of one queue.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueRules {
    /// Name of the queue, the same in all versions of the config.
    pub name: Box<str>,
    /// Host in the callers' requests.
    pub host: Box<str>,
    /// Path prefix of the requests that go to this queue.
    pub prefix: Box<str>,
    /// Service whose workers run the queue's tasks.
    pub service: Box<str>,
    /// Priority; 0 is the highest and may preempt others.
    pub priority: u32,
    /// Number of failed runs of one task after which the job fails.
    pub max_attempts: u32,
    /// Factor on the job's critical path in its objective; the target latency is added to the
    /// product.
    pub stretch: f64,
    /// Part of the objective that does not depend on the job's length, milliseconds; see `stretch`.
    pub target_latency_ms: u32,
    /// Maximum time for an answer to a caller, milliseconds; 0 for no limit.
    pub timeout_ms: u32,
    /// Set if a placement advisor must approve the workers.
    pub advice: Option<AdviceRules>,
}

/// Cost and validity of the placement advisor's answers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdviceRules {
    /// Time that the advisor takes for a decision, milliseconds.
    pub decision_ms: f64,
    /// Additional decision time for each worker in the request, milliseconds.
    pub per_worker_ms: f64,
    /// Time for which a ticket is valid, milliseconds.
    pub validity_ms: u64,
}

/// Rules of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRules {
    /// Name of the service.
    pub name: Box<str>,
    /// Whether the service's workers refuse tasks that do not fit.
    pub admission_control: bool,
    /// Whether the service's VMs are off.
    pub standby: bool,
}

/// One version of the config.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct QueueConfig {
    /// Version number; the highest version is in force.
    pub version: u64,
    /// Rules of all queues.
    pub queues: Vec<Rc<QueueRules>>,
    /// Rules of all services.
    pub services: Vec<ServiceRules>,
    /// Maximum size of a request body, bytes.
    pub max_body_bytes: usize,
}

impl QueueRules {
    /// Returns the time within which a job should end whose critical path has the given length, both
    /// in milliseconds.
    pub(crate) fn objective_ms(&self, path_ms: f64) -> f64 {
        self.stretch * path_ms + f64::from(self.target_latency_ms)
    }
}

impl QueueConfig {
    /// Returns the queue with the given name.
    pub fn queue(&self, name: &str) -> Option<&Rc<QueueRules>> {
        self.queues.iter().find(|queue| *queue.name == *name)
    }
}

/// Holds the config with the highest version that this process has received.
#[derive(Debug, Clone, Default)]
pub struct QueueTable {
    config: Option<Rc<QueueConfig>>,
}

impl QueueTable {
    /// Replaces the config if the given version is higher. Returns whether it was replaced.
    pub fn apply_if_newer(&mut self, config: QueueConfig) -> bool {
        if self
            .version()
            .is_some_and(|version| config.version <= version)
        {
            return false;
        }
        self.config = Some(Rc::new(config));
        true
    }

    /// Returns the version in force; `None` before the first config.
    pub fn version(&self) -> Option<u64> {
        self.config.as_ref().map(|config| config.version)
    }

    /// Returns the config in force; `None` before the first.
    pub fn config(&self) -> Option<&Rc<QueueConfig>> {
        self.config.as_ref()
    }

    /// Returns the queue for a host and a path. The longest matching prefix wins.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<QueueRules>> {
        let host = host.split(':').next().unwrap_or(host);
        self.config
            .as_ref()?
            .queues
            .iter()
            .filter(|queue| {
                queue.host.eq_ignore_ascii_case(host) && path.starts_with(&*queue.prefix)
            })
            .max_by_key(|queue| queue.prefix.len())
    }

    /// Returns the queue with the given name.
    pub fn queue(&self, name: &str) -> Option<&Rc<QueueRules>> {
        self.config.as_ref()?.queue(name)
    }
}
