//! The lives of jobs, put together from the lines of all processes.

use crate::event::{LogEvent, job_of, step_of};
use crate::line::LogLine;
use std::collections::BTreeMap;

/// One start of a task and what became of it. Times are seconds since 1970.
#[derive(Debug, Clone, PartialEq)]
pub struct RunHistory {
    /// The task.
    pub task: Box<str>,
    /// The number of the start.
    pub run: u64,
    /// The worker.
    pub worker: Box<str>,
    /// When it was ordered.
    pub ordered_at: f64,
    /// How long the task had waited then, seconds.
    pub waited_s: f64,
    /// The pace that was expected, 0 to 1.
    pub pace: f64,
    /// Whether it went on from a checkpoint.
    pub resumes: bool,
    /// Why it was stopped, if it was.
    pub stop: Option<Box<str>>,
    /// When and how it ended, as far as an owner heard.
    pub end: Option<(f64, Box<str>)>,
}

impl RunHistory {
    /// When it ended with its result.
    pub fn done_at(&self) -> Option<f64> {
        let (at, how) = self.end.as_ref()?;
        (**how == *"Done").then_some(*at)
    }
}

/// A reason for which a step has waited.
#[derive(Debug, Clone, PartialEq)]
pub struct StepWait {
    /// When it was told.
    pub reported_at: f64,
    /// The step.
    pub step: Box<str>,
    /// Why.
    pub reason: Box<str>,
}

/// One job. Times are seconds since 1970.
#[derive(Debug, Clone, PartialEq)]
pub struct JobHistory {
    /// Its name.
    pub job: Box<str>,
    /// Its queue.
    pub queue: Box<str>,
    /// When its caller asked.
    pub requested_at: f64,
    /// When it was accepted.
    pub accepted_at: f64,
    /// All its tasks.
    pub tasks: u32,
    /// Its work by the caller's guess, core seconds.
    pub work_core_s: f64,
    /// The time within which it should end, seconds.
    pub objective_s: f64,
    /// Whether it lasts until it is cancelled.
    pub long_running: bool,
    /// Its starts, in order.
    pub runs: Vec<RunHistory>,
    /// Reasons for which its steps waited.
    pub waits: Vec<StepWait>,
    /// When and how it ended.
    pub end: Option<(f64, Box<str>)>,
}

impl JobHistory {
    /// From its caller's request to its end, if it was completed.
    pub fn response_time_s(&self) -> Option<f64> {
        let (at, outcome) = self.end.as_ref()?;
        (**outcome == *"Completed").then_some(at - self.requested_at)
    }

    /// Whether it was completed within its objective.
    pub fn is_in_time(&self) -> bool {
        self.response_time_s()
            .is_some_and(|age| age <= self.objective_s)
    }

    /// Whether its caller took it back.
    pub fn is_cancelled(&self) -> bool {
        self.end
            .as_ref()
            .is_some_and(|(_, outcome)| **outcome == *"Cancelled")
    }
}

/// All jobs of the lines that were read.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PoolHistory {
    /// The jobs, by name.
    pub jobs: BTreeMap<Box<str>, JobHistory>,
    /// Requests for jobs that were not accepted: when, and the queue.
    pub not_accepted: Vec<(f64, Box<str>)>,
    /// Changes of pace: when, the worker, the image, percent.
    pub pace_changes: Vec<(f64, Box<str>, Box<str>, u32)>,
    /// When terms of owners began.
    pub takeovers: Vec<f64>,
    /// When fronts found that the store did not answer.
    pub store_losses: Vec<f64>,
    /// When the first line was written; 0 without a line.
    pub started_at: f64,
}

impl PoolHistory {
    /// Puts lines together, whatever files they came from.
    pub fn new(mut lines: Vec<LogLine>) -> Self {
        lines.sort_by(|one, other| one.timestamp_s.total_cmp(&other.timestamp_s));
        let mut history = Self {
            started_at: lines.first().map_or(0.0, |line| line.timestamp_s),
            ..Default::default()
        };
        for line in lines {
            history.add_event(line.timestamp_s, line.event);
        }
        history
    }

    fn add_event(&mut self, at: f64, event: LogEvent) {
        match event {
            LogEvent::Accepted {
                job,
                queue,
                took_ms,
                tasks,
                work_ms,
                objective_ms,
                long_running,
            } => {
                let history = JobHistory {
                    job: job.clone(),
                    queue,
                    requested_at: at - took_ms as f64 / 1e3,
                    accepted_at: at,
                    tasks,
                    work_core_s: work_ms as f64 / 1e3,
                    objective_s: objective_ms as f64 / 1e3,
                    long_running,
                    runs: Vec::new(),
                    waits: Vec::new(),
                    end: None,
                };
                self.jobs.entry(job).or_insert(history);
            }
            LogEvent::NotAccepted { queue, .. } => self.not_accepted.push((at, queue)),
            LogEvent::Start { .. } => self.add_start(at, event),
            LogEvent::Stop { task, run, why } => {
                if let Some(known) = self.run_mut(&task, run) {
                    known.stop = Some(why);
                }
            }
            LogEvent::End { task, run, how } => {
                if let Some(known) = self.run_mut(&task, run) {
                    known.end = Some((at, how));
                }
            }
            LogEvent::Wait { task, reason, .. } => {
                if let Some(job) = self.jobs.get_mut(job_of(&task)) {
                    job.waits.push(StepWait {
                        reported_at: at,
                        step: step_of(&task).into(),
                        reason,
                    });
                }
            }
            LogEvent::Pace {
                worker,
                image,
                percent,
                ..
            } => self.pace_changes.push((at, worker, image, percent)),
            LogEvent::JobEnd { job, outcome } => {
                if let Some(known) = self.jobs.get_mut(&job) {
                    // A later owner may write the same end again.
                    known.end.get_or_insert((at, outcome));
                }
            }
            LogEvent::Takeover { .. } => self.takeovers.push(at),
            LogEvent::StoreLost => self.store_losses.push(at),
            LogEvent::Other => {}
        }
    }

    fn add_start(&mut self, at: f64, event: LogEvent) {
        let LogEvent::Start {
            task,
            run,
            worker,
            resumes,
            waited_ms,
            pace,
        } = event
        else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(job_of(&task)) {
            job.runs.push(RunHistory {
                task,
                run,
                worker,
                ordered_at: at,
                waited_s: waited_ms as f64 / 1e3,
                pace,
                resumes,
                stop: None,
                end: None,
            });
        }
    }

    fn run_mut(&mut self, task: &str, run: u64) -> Option<&mut RunHistory> {
        let job = self.jobs.get_mut(job_of(task))?;
        let mut runs = job.runs.iter_mut();
        runs.find(|known| *known.task == *task && known.run == run)
    }
}
