//! Queues and services as the operator's config gives them.

use std::rc::Rc;

/// The rules of one queue.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueRules {
    /// Its name, which stays across versions.
    pub name: Box<str>,
    /// The host that callers name.
    pub host: Box<str>,
    /// Paths of the queue begin with it.
    pub prefix: Box<str>,
    /// The service whose workers run its tasks.
    pub service: Box<str>,
    /// 0 comes first and may preempt others.
    pub priority: u32,
    /// Failed runs of a task after which its job has failed.
    pub max_attempts: u32,
    /// The objective is this many times the longest chain of work, and the target latency more.
    pub stretch: f64,
    /// See `stretch`; milliseconds.
    pub target_latency_ms: u32,
    /// Longest time for an answer to a caller, milliseconds; 0 for none.
    pub timeout_ms: u32,
    /// Set where a placement advisor must approve workers.
    pub advice: Option<AdviceRules>,
}

/// What advice on a queue's steps costs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdviceRules {
    /// Time of a decision, milliseconds.
    pub decision_ms: f64,
    /// Time for each worker named, milliseconds.
    pub per_worker_ms: f64,
    /// How long a ticket is valid, milliseconds.
    pub validity_ms: u64,
}

/// The rules of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRules {
    /// Its name.
    pub name: Box<str>,
    /// Whether its workers refuse what does not fit.
    pub admission_control: bool,
    /// Whether its machines are off.
    pub standby: bool,
}

/// One version of the config.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct QueueConfig {
    /// Greater versions win.
    pub version: u64,
    /// All queues.
    pub queues: Vec<Rc<QueueRules>>,
    /// All services.
    pub services: Vec<ServiceRules>,
    /// Longest body of a request, bytes.
    pub max_body_bytes: usize,
}

/// The greatest version that this process has seen.
#[derive(Debug, Clone, Default)]
pub struct QueueTable {
    config: Option<Rc<QueueConfig>>,
}

impl QueueTable {
    /// Takes a version if it is greater; says whether it was.
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

    /// The version in force.
    pub fn version(&self) -> Option<u64> {
        self.config.as_ref().map(|config| config.version)
    }

    /// The config in force.
    pub fn config(&self) -> Option<&Rc<QueueConfig>> {
        self.config.as_ref()
    }

    /// The queue of a host and a path: the longest prefix wins.
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

    /// The queue of a name.
    pub fn queue(&self, name: &str) -> Option<&Rc<QueueRules>> {
        let config = self.config.as_ref()?;
        config.queues.iter().find(|queue| *queue.name == *name)
    }
}
