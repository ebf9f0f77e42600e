//! Specification of a job as submitted by its caller: steps of similar tasks.

use std::fmt;

/// Resources that a task needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TaskSize {
    /// Processors, in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory, in mebibytes.
    pub memory_mb: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl TaskSize {
    /// Returns the sum of two sizes.
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the difference of two sizes, at least 0 in every dimension.
    pub fn minus(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns whether the size fits into `available` in every dimension.
    pub fn fits(self, available: Self) -> bool {
        self.cpu_milli <= available.cpu_milli
            && self.memory_mb <= available.memory_mb
            && self.accelerators <= available.accelerators
    }

    /// Returns how many tasks of this size fit into `available`.
    pub fn count_that_fit(self, available: Self) -> u32 {
        let count = |needed: u32, available: u32| available.checked_div(needed).unwrap_or(u32::MAX);
        count(self.cpu_milli, available.cpu_milli)
            .min(count(self.memory_mb, available.memory_mb))
            .min(count(self.accelerators, available.accelerators))
    }
}

/// Specification of a step: `count` tasks that may run once the steps in `after` are done.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub size: TaskSize,
    /// Caller's estimate of the run time of a task, milliseconds; 0 for none.
    pub estimate_ms: u32,
    /// Indexes of earlier steps that must be done first.
    pub after: Box<[u16]>,
    /// Whether tasks can resume from a checkpoint.
    pub checkpoints: bool,
    /// Whether the tasks form a gang: all start together, depend on each other, and end together.
    pub gang: bool,
    /// Whether the tasks are slower when spread over several racks.
    pub one_rack: bool,
    /// Label that the worker must have.
    pub label: Option<Box<str>>,
    /// Rack that holds the step's data. Tasks are slower on other racks.
    pub data_rack: Option<Box<str>>,
    /// Maximum number of the step's tasks on one worker; 0 for no limit.
    pub max_per_worker: u32,
    /// Whether several copies of a task may run at the same time. The first to complete counts.
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled.
    pub long_running: bool,
    /// Image of the tasks. Tasks of the same image are assumed to behave alike.
    pub image: Box<str>,
    /// Target for the tail latency of a serving task, milliseconds; 0 for a task that does not
    /// serve.
    pub tail_target_ms: u32,
    /// Whether the tasks only get the processor time that other tasks leave.
    pub best_effort: bool,
    /// Maximum number of long-running tasks that the system may take down at the same time; `None`
    /// for no limit.
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// Returns the work of the step by the caller's estimate, core milliseconds.
    pub fn work_ms(&self) -> u64 {
        u64::from(self.count) * self.task_work_ms()
    }

    /// Returns the work of one task by the caller's estimate, core milliseconds.
    pub fn task_work_ms(&self) -> u64 {
        u64::from(self.estimate_ms) * u64::from(self.size.cpu_milli) / 1_000
    }

    /// Returns the resources that each task reserves on its worker; no processors if the step is
    /// best-effort.
    pub fn reserved(&self) -> TaskSize {
        let mut size = self.size;
        if self.best_effort {
            size.cpu_milli = 0;
        }
        size
    }
}

/// Times at which a repeated job runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RepeatPlan {
    /// Number of occurrences.
    pub count: u32,
    /// Time at which the first occurrence is due, Unix milliseconds.
    pub first_ms: u64,
    /// Interval between two occurrences, milliseconds.
    pub interval_ms: u64,
}

impl RepeatPlan {
    /// Returns the time at which an occurrence is due, Unix milliseconds.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        self.first_ms
            .saturating_add(self.interval_ms.saturating_mul(occurrence.into()))
    }
}

/// Specification of a job as submitted by its caller.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct JobSpec {
    /// Text that is passed on to the workers unchanged.
    pub text: Box<str>,
    /// Steps, each after all steps that it depends on.
    pub steps: Box<[StepSpec]>,
    /// Set for a job that runs at given times.
    pub repeat: Option<RepeatPlan>,
}

/// Largest number of steps of a job.
pub const MAX_STEPS: usize = 256;
/// Bounds on a job. The state that the owner keeps of a job grows with them.
const MAX_TASKS: u64 = 100_000;
const MAX_OCCURRENCES: u32 = 1_000_000;
/// Largest number of occurrences of one job in progress, and of steps in them.
const MAX_OPEN_OCCURRENCES: usize = 1_000;
const MAX_OPEN_STEPS: usize = 8_000;
const MAX_TEXT_BYTES: usize = 4_000;

/// Reason why a job cannot be accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SpecError {
    /// The job has no step.
    NoSteps,
    /// The job exceeds the named bound.
    TooLarge(&'static str),
    /// The step with this index has no task.
    NoTasks(usize),
    /// The step with this index depends on itself or on a later step.
    Order(usize),
}

impl fmt::Display for SpecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoSteps => f.write_str("the job has no step"),
            Self::TooLarge(what) => write!(f, "too large: {what}"),
            Self::NoTasks(step) => write!(f, "step {step} has no task"),
            Self::Order(step) => write!(f, "step {step} may only wait for earlier steps"),
        }
    }
}

impl std::error::Error for SpecError {}

impl JobSpec {
    /// Returns the number of tasks of one occurrence.
    pub fn task_count(&self) -> u32 {
        self.steps.iter().map(|step| step.count).sum()
    }

    /// Returns the work of one occurrence by the caller's estimate, core milliseconds.
    pub fn work_ms(&self) -> u64 {
        let work = self.steps.iter().map(StepSpec::work_ms);
        work.sum()
    }

    /// Checks the bounds that every accepted job must respect.
    ///
    /// # Errors
    ///
    /// The first violation that is found.
    pub fn validate(&self) -> Result<(), SpecError> {
        if self.steps.is_empty() {
            return Err(SpecError::NoSteps);
        }
        if self.steps.len() > MAX_STEPS {
            return Err(SpecError::TooLarge("more than 256 steps"));
        }
        if self.text.len() > MAX_TEXT_BYTES {
            return Err(SpecError::TooLarge("the text is longer than 4000 bytes"));
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks > MAX_TASKS {
            return Err(SpecError::TooLarge("more than 100000 tasks"));
        }
        if self.repeat.is_some_and(|plan| plan.count > MAX_OCCURRENCES) {
            return Err(SpecError::TooLarge("more than 1000000 occurrences"));
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(SpecError::NoTasks(number));
            }
            if step
                .after
                .iter()
                .any(|earlier| usize::from(*earlier) >= number)
            {
                return Err(SpecError::Order(number));
            }
        }
        Ok(())
    }

    /// Returns how many occurrences may be in progress together: at least one, and no more than have
    /// room in the owner's memory and in the head row of the job's progress.
    pub fn max_open_occurrences(&self) -> usize {
        let steps = self.steps.len().max(1);
        let tasks = self.task_count().max(1) as usize;
        let max_open = MAX_OPEN_OCCURRENCES
            .min(MAX_OPEN_STEPS / steps)
            .min(MAX_TASKS as usize / tasks);
        max_open.max(1)
    }

    /// Returns the number of occurrences; 1 for a job that runs once.
    pub fn occurrence_count(&self) -> u32 {
        self.repeat.map_or(1, |plan| plan.count)
    }
}
