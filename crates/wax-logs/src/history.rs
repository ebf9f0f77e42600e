//! Reconstructs the history of jobs from the log lines of all processes.

use crate::event::{LogEvent, job_of, step_of};
use crate::line::LogLine;
use crate::run_ends::{WorkerListing, close_runs};
use std::collections::BTreeMap;

/// Reason to give up a run that was lost with its worker.
pub(crate) const LOST: &str = "lost";
/// Reason to stop a run that makes no progress.
pub(crate) const STALLED: &str = "stalled";

/// One run of a task and how it ended. Times are seconds since 1970.
#[derive(Debug, Clone, PartialEq)]
pub struct RunHistory {
    /// Name of the task.
    pub task: Box<str>,
    /// Number of the task's start.
    pub run: u64,
    /// Name of the worker.
    pub worker: Box<str>,
    /// When the owner ordered the start.
    pub ordered_at: f64,
    /// How long the task had waited by then, seconds.
    pub waited_s: f64,
    /// Expected pace, 0 to 1.
    pub pace: f64,
    /// Whether the run continued from a checkpoint.
    pub resumes: bool,
    /// Reason for which the run was ordered to stop; `None` if it was not.
    pub stop_reason: Option<Box<str>>,
    /// When and how the run ended; `None` if no owner has received its end.
    pub end: Option<(f64, Box<str>)>,
    /// When and why the run was refused or given up; `None` if it was not. The reason is that of
    /// the refusal, or `lost` if the worker was lost.
    pub given_up: Option<(f64, Box<str>)>,
    /// When the run was over by its own lines or, without any, at the latest by the lines of its
    /// task, job and worker; `None` if no line shows it.
    pub over_at: Option<f64>,
}

impl RunHistory {
    /// Returns when the run ended, if it ended with a result.
    pub fn done_at(&self) -> Option<f64> {
        let (at, how) = self.end.as_ref()?;
        (**how == *"Done").then_some(*at)
    }
}

/// A report that a step waits, with the reason.
#[derive(Debug, Clone, PartialEq)]
pub struct StepWait {
    /// When the wait was reported, seconds since 1970.
    pub reported_at: f64,
    /// Name of the step, including the job.
    pub step: Box<str>,
    /// Reason for the wait.
    pub reason: Box<str>,
}

/// History of one job. Times are seconds since 1970.
#[derive(Debug, Clone, PartialEq)]
pub struct JobHistory {
    /// Id of the job.
    pub job: Box<str>,
    /// Queue of the job.
    pub queue: Box<str>,
    /// When the caller sent the request.
    pub requested_at: f64,
    /// When the job was accepted.
    pub accepted_at: f64,
    /// Number of tasks of all steps.
    pub tasks: u32,
    /// Total work as estimated by the caller, core seconds.
    pub work_core_s: f64,
    /// Time from the request within which the job should end, seconds.
    pub objective_s: f64,
    /// Whether the job has a long-running step, which ends only when the job is cancelled.
    pub long_running: bool,
    /// Runs of the job's tasks, by the time of their start orders.
    pub runs: Vec<RunHistory>,
    /// Reports that steps of the job wait, by time.
    pub waits: Vec<StepWait>,
    /// When the job was first reported as ended, and its outcome.
    pub end: Option<(f64, Box<str>)>,
    /// When processes took over the shard, from the request on.
    pub takeovers: Vec<f64>,
}

impl JobHistory {
    /// Returns the time from the request to the end, seconds, if the job was completed.
    pub fn response_time_s(&self) -> Option<f64> {
        let (at, outcome) = self.end.as_ref()?;
        (**outcome == *"Completed").then_some(at - self.requested_at)
    }

    /// Returns whether the job was completed within its objective.
    pub fn is_in_time(&self) -> bool {
        self.response_time_s()
            .is_some_and(|response_time| response_time <= self.objective_s)
    }

    /// Returns whether the caller cancelled the job.
    pub fn is_cancelled(&self) -> bool {
        self.end
            .as_ref()
            .is_some_and(|(_, outcome)| **outcome == *"Cancelled")
    }
}

/// History of the jobs and of the pool, from all log lines that were read. Times are seconds since
/// 1970.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PoolHistory {
    /// Jobs by id.
    pub jobs: BTreeMap<Box<str>, JobHistory>,
    /// Requests for jobs that were not accepted: time and queue.
    pub not_accepted: Vec<(f64, Box<str>)>,
    /// Changes of an image's pace on a worker: time, worker, image, new pace in percent.
    pub pace_changes: Vec<(f64, Box<str>, Box<str>, u32)>,
    /// When processes took over the shard.
    pub takeovers: Vec<f64>,
    /// When fronts found that the store did not answer.
    pub store_losses: Vec<f64>,
    /// Time of the first line; 0 without lines.
    pub started_at: f64,
}

impl PoolHistory {
    /// Builds the history from lines in any order, which may come from several files.
    pub fn new(mut lines: Vec<LogLine>) -> Self {
        lines.sort_by(|one, other| one.timestamp_s.total_cmp(&other.timestamp_s));
        let mut history = Self {
            started_at: lines.first().map_or(0.0, |line| line.timestamp_s),
            ..Default::default()
        };
        // A front logs the acceptance when the store's answer arrives. The owner may learn of the
        // job and start its tasks before that, so all jobs are added before the other events.
        let (accepted, others): (Vec<LogLine>, Vec<LogLine>) = lines
            .into_iter()
            .partition(|line| matches!(line.event, LogEvent::Accepted { .. }));
        for line in accepted {
            history.add_job(line.timestamp_s, line.event);
        }
        let mut listings = Vec::new();
        for line in others {
            listings.extend(WorkerListing::new(line.timestamp_s, &line.event));
            history.add_event(line.timestamp_s, line.event);
        }
        close_runs(&mut history.jobs, &listings);
        let takeovers = &history.takeovers;
        for job in history.jobs.values_mut() {
            let later = takeovers.iter().filter(|at| **at >= job.requested_at);
            job.takeovers = later.copied().collect();
        }
        history
    }

    fn add_job(&mut self, at: f64, event: LogEvent) {
        let LogEvent::Accepted {
            job,
            queue,
            took_ms,
            tasks,
            work_ms,
            objective_ms,
            long_running,
        } = event
        else {
            return;
        };
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
            takeovers: Vec::new(),
        };
        self.jobs.entry(job).or_insert(history);
    }

    fn add_event(&mut self, at: f64, event: LogEvent) {
        match event {
            LogEvent::NotAccepted { queue, .. } => self.not_accepted.push((at, queue)),
            LogEvent::Start { .. } => self.add_start(at, event),
            LogEvent::Stop { task, run, why } => {
                if let Some(known) = self.run_mut(&task, run) {
                    // Later orders to stop the same run repeat the first one.
                    known.stop_reason.get_or_insert(why);
                }
            }
            LogEvent::End { task, run, how } => {
                if let Some(known) = self.run_mut(&task, run) {
                    // A later owner may log the same end again.
                    known.end.get_or_insert((at, how));
                }
            }
            LogEvent::EndWithWorker { task, run } | LogEvent::Lost { task, run } => {
                self.give_up_run(&task, run, at, LOST.into());
            }
            LogEvent::Refused { task, run, why } => self.give_up_run(&task, run, at, why),
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
                    // A later owner may log the same end again.
                    known.end.get_or_insert((at, outcome));
                }
            }
            LogEvent::Takeover { .. } => self.takeovers.push(at),
            LogEvent::StoreLost => self.store_losses.push(at),
            // Jobs were added before, and listings of workers are applied after all events.
            LogEvent::Accepted { .. }
            | LogEvent::WorkerTakenOver { .. }
            | LogEvent::WorkerEnded { .. }
            | LogEvent::Other => {}
        }
    }

    fn give_up_run(&mut self, task: &str, run: u64, at: f64, why: Box<str>) {
        if let Some(known) = self.run_mut(task, run) {
            // Both the agent and the owner log it.
            known.given_up.get_or_insert((at, why));
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
        if self.run_mut(&task, run).is_some() {
            // The same line may be in several files.
            return;
        }
        if let Some(job) = self.jobs.get_mut(job_of(&task)) {
            job.runs.push(RunHistory {
                task,
                run,
                worker,
                ordered_at: at,
                waited_s: waited_ms as f64 / 1e3,
                pace,
                resumes,
                stop_reason: None,
                end: None,
                given_up: None,
                over_at: None,
            });
        }
    }

    fn run_mut(&mut self, task: &str, run: u64) -> Option<&mut RunHistory> {
        let job = self.jobs.get_mut(job_of(task))?;
        let mut runs = job.runs.iter_mut();
        runs.find(|known| *known.task == *task && known.run == run)
    }
}
