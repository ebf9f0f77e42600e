//! What a caller asks for: a job of steps, each of alike tasks.

use std::fmt;

/// What one task needs of its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TaskSize {
    /// Thousandths of a core.
    pub cpu_milli: u32,
    /// Mebibytes.
    pub memory_mb: u32,
    /// Accelerators.
    pub accelerators: u32,
}

impl TaskSize {
    /// The sum of two sizes.
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// What is left after taking `other`; zero where it takes more.
    pub fn minus(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Whether it fits into `room` in every dimension.
    pub fn fits(self, available: Self) -> bool {
        self.cpu_milli <= available.cpu_milli
            && self.memory_mb <= available.memory_mb
            && self.accelerators <= available.accelerators
    }

    /// How many such tasks fit into `room`.
    pub fn count_that_fit(self, available: Self) -> u32 {
        let times = |need: u32, have: u32| have.checked_div(need).unwrap_or(u32::MAX);
        times(self.cpu_milli, available.cpu_milli)
            .min(times(self.memory_mb, available.memory_mb))
            .min(times(self.accelerators, available.accelerators))
    }
}

/// A step: `count` tasks that may run once the steps in `after` are done.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StepSpec {
    /// How many tasks.
    pub count: u32,
    /// What each task needs.
    pub size: TaskSize,
    /// The caller's guess of a task's run time, milliseconds; 0 where there is none.
    pub estimate_ms: u32,
    /// Earlier steps that must be done first.
    pub after: Box<[u16]>,
    /// Whether tasks can resume from a checkpoint.
    pub checkpoints: bool,
    /// Whether all tasks start together, work only together and end together.
    pub gang: bool,
    /// Whether the tasks are slower when spread over racks.
    pub one_rack: bool,
    /// A label that the worker must have.
    pub label: Option<Box<str>>,
    /// The rack that holds the data; slower elsewhere.
    pub data_rack: Option<Box<str>>,
    /// At most this many tasks of the step on one worker; 0 for no limit.
    pub max_per_worker: u32,
    /// Whether copies of a task may run at once; the first to end counts.
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled.
    pub long_running: bool,
    /// Tasks of the same image behave alike.
    pub image: Box<str>,
    /// Bound on the tail latency of what a lasting task serves, milliseconds; 0 for none.
    pub tail_target_ms: u32,
    /// Whether the tasks get only the processor time that others leave.
    pub best_effort: bool,
    /// How many lasting tasks may be away at once by the system's doing; `None` for no bound.
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// Its work by the caller's guess, core milliseconds.
    pub fn work_ms(&self) -> u64 {
        u64::from(self.count) * self.task_work_ms()
    }

    /// The work of one of its tasks by the caller's guess, core milliseconds.
    pub fn task_work_ms(&self) -> u64 {
        u64::from(self.estimate_ms) * u64::from(self.size.cpu_milli) / 1_000
    }

    /// What counts against a worker's capacity: without the processors if the step fills.
    pub fn reserved(&self) -> TaskSize {
        let mut size = self.size;
        if self.best_effort {
            size.cpu_milli = 0;
        }
        size
    }
}

/// When the steps of a job run again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RepeatPlan {
    /// How many occurrences.
    pub count: u32,
    /// When the first is due, Unix milliseconds.
    pub first_ms: u64,
    /// Between two occurrences, milliseconds.
    pub interval_ms: u64,
}

impl RepeatPlan {
    /// When an occurrence is due, Unix milliseconds.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        self.first_ms
            .saturating_add(self.interval_ms.saturating_mul(occurrence.into()))
    }
}

/// A job as its caller submitted it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct JobSpec {
    /// Passed on to the worker as it is.
    pub text: Box<str>,
    /// The steps, in order.
    pub steps: Box<[StepSpec]>,
    /// Set for a job that runs at given times.
    pub repeat: Option<RepeatPlan>,
}

/// Bounds on what a caller may ask for; the state of a job grows with them.
const MAX_STEPS: usize = 256;
const MAX_TASKS: u64 = 100_000;
const MAX_OCCURRENCES: u32 = 1_000_000;
const MAX_TEXT_BYTES: usize = 4_000;

/// Why a job cannot be accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SpecError {
    /// The job has no step.
    NoSteps,
    /// A bound on the job's size is broken.
    TooLarge(&'static str),
    /// A step has no task.
    NoTasks(usize),
    /// A step waits for itself or a later one.
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
    /// All tasks of one occurrence.
    pub fn task_count(&self) -> u32 {
        self.steps.iter().map(|step| step.count).sum()
    }

    /// The work of one occurrence by its caller's guess, core milliseconds.
    pub fn work_ms(&self) -> u64 {
        let work = self.steps.iter().map(StepSpec::work_ms);
        work.sum()
    }

    /// Checks the bounds that every accepted job keeps.
    ///
    /// # Errors
    ///
    /// The first bound that is broken.
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

    /// How many times the steps run.
    pub fn occurrence_count(&self) -> u32 {
        self.repeat.map_or(1, |plan| plan.count)
    }
}
