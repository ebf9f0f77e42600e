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
    pub ordered: f64,
    /// How long the task had waited then, seconds.
    pub waited: f64,
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
    pub fn done(&self) -> Option<f64> {
        let (at, how) = self.end.as_ref()?;
        (**how == *"Done").then_some(*at)
    }
}

/// A reason for which a step has waited.
#[derive(Debug, Clone, PartialEq)]
pub struct StepPause {
    /// When it was told.
    pub at: f64,
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
    pub asked: f64,
    /// When it was accepted.
    pub accepted: f64,
    /// All its tasks.
    pub tasks: u32,
    /// Its work by the caller's guess, core seconds.
    pub work: f64,
    /// The time within which it should end, seconds.
    pub objective: f64,
    /// Whether it lasts until it is cancelled.
    pub lasts: bool,
    /// Its starts, in order.
    pub runs: Vec<RunHistory>,
    /// Reasons for which its steps waited.
    pub pauses: Vec<StepPause>,
    /// When and how it ended.
    pub end: Option<(f64, Box<str>)>,
}

impl JobHistory {
    /// From its caller's request to its end, if it was completed.
    pub fn age(&self) -> Option<f64> {
        let (at, outcome) = self.end.as_ref()?;
        (**outcome == *"Completed").then_some(at - self.asked)
    }

    /// Whether it was completed within its objective.
    pub fn is_in_time(&self) -> bool {
        self.age().is_some_and(|age| age <= self.objective)
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
pub struct DayHistory {
    /// The jobs, by name.
    pub jobs: BTreeMap<Box<str>, JobHistory>,
    /// Requests for jobs that were not accepted: when, and the queue.
    pub refused: Vec<(f64, Box<str>)>,
    /// Changes of pace: when, the worker, the image, percent.
    pub paces: Vec<(f64, Box<str>, Box<str>, u32)>,
    /// When terms of owners began.
    pub takeovers: Vec<f64>,
    /// When fronts found that the store did not answer.
    pub store_lost: Vec<f64>,
    /// When the first line was written; 0 without a line.
    pub began: f64,
}

impl DayHistory {
    /// Puts lines together, whatever files they came from.
    pub fn new(mut lines: Vec<LogLine>) -> Self {
        lines.sort_by(|one, other| one.at.total_cmp(&other.at));
        let mut day = Self {
            began: lines.first().map_or(0.0, |line| line.at),
            ..Default::default()
        };
        for line in lines {
            day.take(line.at, line.event);
        }
        day
    }

    fn take(&mut self, at: f64, event: LogEvent) {
        match event {
            LogEvent::Accepted {
                job,
                queue,
                took_ms,
                tasks,
                work_ms,
                objective_ms,
                lasts,
            } => {
                let history = JobHistory {
                    job: job.clone(),
                    queue,
                    asked: at - took_ms as f64 / 1e3,
                    accepted: at,
                    tasks,
                    work: work_ms as f64 / 1e3,
                    objective: objective_ms as f64 / 1e3,
                    lasts,
                    runs: Vec::new(),
                    pauses: Vec::new(),
                    end: None,
                };
                self.jobs.entry(job).or_insert(history);
            }
            LogEvent::NotAccepted { queue, .. } => self.refused.push((at, queue)),
            LogEvent::Start { .. } => self.take_start(at, event),
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
                    job.pauses.push(StepPause {
                        at,
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
            } => self.paces.push((at, worker, image, percent)),
            LogEvent::JobEnd { job, outcome } => {
                if let Some(known) = self.jobs.get_mut(&job) {
                    // A later owner may write the same end again.
                    known.end.get_or_insert((at, outcome));
                }
            }
            LogEvent::Takeover { .. } => self.takeovers.push(at),
            LogEvent::StoreLost => self.store_lost.push(at),
            LogEvent::Other => {}
        }
    }

    fn take_start(&mut self, at: f64, event: LogEvent) {
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
                ordered: at,
                waited: waited_ms as f64 / 1e3,
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
