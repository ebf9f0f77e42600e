//! Ground truth of a replay: the actual work, interference and faults, which the policies learn
//! late or never.

use crate::events::{EventQueue, ReplayEvent};
use crate::trace::{ReplayPolicy, TraceError, TraceLine};
use fastrand::Rng;
use std::collections::HashMap;
use std::time::Duration;
use wax_policy::{CustomerWeights, KindKey, KindTable, WorkDay};
use wax_settings::TaskClass;
use wax_types::{ResourceVector, TimePoint};

/// Start of every trace: one day after zero, so that earlier points of time can be represented.
pub(crate) const TRACE_START: TimePoint = TimePoint::from_millis(86_400_000);

/// Options of the whole trace.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReplayOptions {
    pub(crate) usage_lag: Duration,
    pub(crate) weights: CustomerWeights,
    pub(crate) day: WorkDay,
    pub(crate) domain_latency: Duration,
    pub(crate) until: TimePoint,
}

/// A worker and its current faults.
#[derive(Debug, Clone)]
pub(crate) struct ReplayWorker {
    pub(crate) name: Box<str>,
    pub(crate) domain: Box<str>,
    pub(crate) capacity: ResourceVector,
    /// Whether every task that runs on the worker fails.
    pub(crate) fails: bool,
    pub(crate) down: bool,
}

/// An upstream and its current slowdown.
#[derive(Debug, Clone)]
pub(crate) struct ReplayUpstream {
    pub(crate) name: Box<str>,
    pub(crate) worker: usize,
    pub(crate) service: Box<str>,
    pub(crate) kind: KindKey,
    pub(crate) slots: u32,
    pub(crate) size: ResourceVector,
    pub(crate) slow_factor: f64,
}

/// A kind of task with its actual use of processors.
#[derive(Debug, Clone)]
pub(crate) struct ReplayKind {
    pub(crate) name: Box<str>,
    pub(crate) key: KindKey,
    pub(crate) urgent: bool,
    pub(crate) declared: ResourceVector,
    pub(crate) true_cpu_milli: u32,
    pub(crate) attempts: u32,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct ReplayJob {
    pub(crate) arrives: TimePoint,
    pub(crate) kind: usize,
    pub(crate) tasks: u32,
    pub(crate) work: Duration,
}

/// A quick request with its actual service time and the time from its arrival to its deadline.
#[derive(Debug, Clone)]
pub(crate) struct ReplayRequest {
    pub(crate) service: Box<str>,
    pub(crate) work: Duration,
    pub(crate) timeout: Duration,
}

/// A fault that starts and ends at given times. Workers and upstreams are named by index.
#[derive(Debug, Clone, Copy)]
pub(crate) enum ReplayFault {
    WorkerFails(usize),
    WorkerDown(usize),
    UpstreamSlow(usize, f64),
    StoreDown,
}

/// Cancels each task of a kind that has not ended with a probability of `percent`.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReplayCancel {
    pub(crate) kind: usize,
    pub(crate) percent: u32,
}

/// Ground truth of a replay, and the events that are due.
#[derive(Debug)]
pub(crate) struct ReplayWorld {
    pub(crate) options: ReplayOptions,
    pub(crate) policy: ReplayPolicy,
    pub(crate) workers: Vec<ReplayWorker>,
    pub(crate) upstreams: Vec<ReplayUpstream>,
    pub(crate) kinds: Vec<ReplayKind>,
    pub(crate) kind_keys: KindTable,
    /// Interference by victim and neighbour: on a lightly and on a heavily loaded worker.
    pairs: HashMap<(KindKey, KindKey), (f64, f64)>,
    pub(crate) jobs: Vec<ReplayJob>,
    pub(crate) requests: Vec<ReplayRequest>,
    pub(crate) faults: Vec<ReplayFault>,
    pub(crate) cancels: Vec<ReplayCancel>,
    pub(crate) store_down: bool,
    pub(crate) rng: Rng,
    pub(crate) queue: EventQueue,
}

/// Returns the point of time `millis` after the start of the trace.
pub(crate) fn trace_time(millis: u64) -> TimePoint {
    TRACE_START + Duration::from_millis(millis)
}

impl ReplayWorld {
    /// Builds the ground truth from a trace and draws the random arrivals and work of its streams.
    pub(crate) fn build(
        lines: &[TraceLine],
        policy: ReplayPolicy,
        seed: u64,
    ) -> Result<Self, TraceError> {
        let mut world = Self {
            options: ReplayOptions {
                usage_lag: Duration::from_secs(2),
                weights: CustomerWeights::default(),
                day: WorkDay::default(),
                domain_latency: Duration::from_micros(500),
                until: trace_time(60_000),
            },
            policy,
            workers: Vec::new(),
            upstreams: Vec::new(),
            kinds: Vec::new(),
            kind_keys: KindTable::default(),
            pairs: HashMap::new(),
            jobs: Vec::new(),
            requests: Vec::new(),
            faults: Vec::new(),
            cancels: Vec::new(),
            store_down: false,
            rng: Rng::with_seed(seed),
            queue: EventQueue::default(),
        };
        for (index, line) in lines.iter().enumerate() {
            world.add_line(line).map_err(|label| TraceError {
                line: index + 1,
                label: label.into(),
            })?;
        }
        Ok(world)
    }

    fn add_line(&mut self, line: &TraceLine) -> Result<(), String> {
        match line {
            TraceLine::Options { .. } => self.set_options(line),
            TraceLine::Worker {
                name,
                domain,
                cpu_milli,
                memory_mib,
            } => self.workers.push(ReplayWorker {
                name: name.clone(),
                domain: domain.clone(),
                capacity: ResourceVector::new(*cpu_milli, *memory_mib, 0),
                fails: false,
                down: false,
            }),
            TraceLine::Upstream {
                name,
                worker,
                service,
                slots,
                cpu_milli,
                memory_mib,
            } => {
                let upstream = ReplayUpstream {
                    name: name.clone(),
                    worker: self.worker_index(worker)?,
                    service: service.clone(),
                    kind: self.kind_keys.key(service),
                    slots: *slots,
                    size: ResourceVector::new(*cpu_milli, *memory_mib, 0),
                    slow_factor: 1.0,
                };
                self.upstreams.push(upstream);
            }
            TraceLine::Kind {
                name,
                class,
                cpu_milli,
                memory_mib,
                true_cpu_milli,
                attempts,
                ..
            } => {
                let kind = ReplayKind {
                    name: name.clone(),
                    key: self.kind_keys.key(name),
                    urgent: *class == TaskClass::LatencyCritical,
                    declared: ResourceVector::new(*cpu_milli, *memory_mib, 0),
                    true_cpu_milli: true_cpu_milli.unwrap_or(*cpu_milli),
                    attempts: *attempts,
                };
                self.kinds.push(kind);
            }
            TraceLine::Pair {
                victim,
                neighbour,
                light,
                loaded,
            } => {
                let pair = (self.kind_keys.key(victim), self.kind_keys.key(neighbour));
                self.pairs.insert(pair, (*light, *loaded));
            }
            other => return self.add_arrivals(other),
        }
        Ok(())
    }

    fn set_options(&mut self, line: &TraceLine) {
        let TraceLine::Options {
            usage_lag_ms,
            weight_tail,
            weight_throughput,
            weight_eviction,
            day_start_min,
            day_end_min,
            domain_us,
            until_ms,
        } = line
        else {
            return;
        };
        let minutes = |count: &u32| Duration::from_secs(u64::from(*count) * 60);
        self.options = ReplayOptions {
            usage_lag: Duration::from_millis(*usage_lag_ms),
            weights: CustomerWeights {
                tail: (*weight_tail).into(),
                throughput: (*weight_throughput).into(),
                eviction: (*weight_eviction).into(),
            },
            day: WorkDay {
                start: minutes(day_start_min),
                end: minutes(day_end_min),
            },
            domain_latency: Duration::from_micros(*domain_us),
            until: trace_time(*until_ms),
        };
    }

    fn add_arrivals(&mut self, line: &TraceLine) -> Result<(), String> {
        match line {
            TraceLine::Job {
                at_ms,
                kind,
                tasks,
                work_ms,
            } => self.add_job(
                trace_time(*at_ms),
                kind,
                *tasks,
                Duration::from_millis(*work_ms),
            )?,
            TraceLine::JobStream {
                from_ms,
                to_ms,
                kind,
                per_minute,
                tasks,
                work_ms,
            } => {
                let mean = 60_000.0 / per_minute.max(1e-9);
                let mut millis = *from_ms as f64;
                while millis < *to_ms as f64 {
                    let share = 0.5 + self.rng.f64();
                    let work = Duration::from_micros((*work_ms as f64 * 1_000.0 * share) as u64);
                    self.add_job(trace_time(millis as u64), kind, *tasks, work)?;
                    millis += self.draw_exponential(mean);
                }
            }
            TraceLine::Quick {
                at_ms,
                service,
                service_us,
                deadline_ms,
            } => {
                let work = Duration::from_micros(*service_us);
                self.add_quick(trace_time(*at_ms), service, work, *deadline_ms);
            }
            TraceLine::QuickStream {
                from_ms,
                to_ms,
                service,
                rate,
                service_us,
                deadline_ms,
            } => {
                let mean = 1_000_000.0 / rate.max(1e-9);
                let mut micros = (*from_ms * 1_000) as f64;
                while micros < (*to_ms * 1_000) as f64 {
                    let work = self.draw_service_time(*service_us as f64);
                    let arrival = TRACE_START + Duration::from_micros(micros as u64);
                    self.add_quick(arrival, service, work, *deadline_ms);
                    micros += self.draw_exponential(mean);
                }
            }
            other => return self.add_fault(other),
        }
        Ok(())
    }

    fn add_fault(&mut self, line: &TraceLine) -> Result<(), String> {
        let (from, until, fault) = match line {
            TraceLine::WorkerFails {
                at_ms,
                until_ms,
                worker,
            } => (
                at_ms,
                until_ms,
                ReplayFault::WorkerFails(self.worker_index(worker)?),
            ),
            TraceLine::WorkerDown {
                at_ms,
                until_ms,
                worker,
            } => (
                at_ms,
                until_ms,
                ReplayFault::WorkerDown(self.worker_index(worker)?),
            ),
            TraceLine::UpstreamSlow {
                at_ms,
                until_ms,
                upstream,
                factor,
            } => {
                let index = self
                    .upstreams
                    .iter()
                    .position(|known| known.name == *upstream)
                    .ok_or_else(|| format!("no upstream {upstream} is declared"))?;
                (at_ms, until_ms, ReplayFault::UpstreamSlow(index, *factor))
            }
            TraceLine::StoreDown { at_ms, until_ms } => (at_ms, until_ms, ReplayFault::StoreDown),
            TraceLine::CancelWave {
                at_ms,
                kind,
                percent,
            } => {
                let cancel = ReplayCancel {
                    kind: self.kind_index(kind)?,
                    percent: *percent,
                };
                let event = ReplayEvent::Cancelled(self.cancels.len());
                self.cancels.push(cancel);
                self.queue.push(trace_time(*at_ms), event);
                return Ok(());
            }
            _ => return Ok(()),
        };
        let index = self.faults.len();
        self.faults.push(fault);
        self.queue
            .push(trace_time(*from), ReplayEvent::FaultChanges(index, true));
        self.queue
            .push(trace_time(*until), ReplayEvent::FaultChanges(index, false));
        Ok(())
    }

    fn worker_index(&self, name: &str) -> Result<usize, String> {
        let found = self.workers.iter().position(|worker| *worker.name == *name);
        found.ok_or_else(|| format!("no worker {name} is declared"))
    }

    fn kind_index(&self, name: &str) -> Result<usize, String> {
        let found = self.kinds.iter().position(|kind| *kind.name == *name);
        found.ok_or_else(|| format!("no kind {name} is declared"))
    }

    fn add_job(
        &mut self,
        at: TimePoint,
        kind: &str,
        tasks: u32,
        work: Duration,
    ) -> Result<(), String> {
        let kind = self.kind_index(kind)?;
        let event = ReplayEvent::JobArrives(self.jobs.len());
        self.jobs.push(ReplayJob {
            arrives: at,
            kind,
            tasks,
            work,
        });
        self.queue.push(at, event);
        Ok(())
    }

    fn add_quick(&mut self, at: TimePoint, service: &str, work: Duration, deadline_ms: u64) {
        let event = ReplayEvent::QuickArrives(self.requests.len());
        self.requests.push(ReplayRequest {
            service: service.into(),
            work,
            timeout: Duration::from_millis(deadline_ms),
        });
        self.queue.push(at, event);
    }

    /// Draws from an exponential distribution. Uses `libm` so that a seed gives the same times on
    /// every platform.
    fn draw_exponential(&mut self, mean: f64) -> f64 {
        -mean * libm::log(1.0 - self.rng.f64())
    }

    /// Draws a service time between 0.6 and 1.4 times the mean.
    fn draw_service_time(&mut self, mean: f64) -> Duration {
        let factor = 0.6 + 0.8 * self.rng.f64();
        Duration::from_micros((mean * factor) as u64)
    }

    /// Draws the factor by which a pause of the upstream prolongs an attempt. One attempt in 100
    /// meets a pause and takes 2 to 6 times as long.
    pub(crate) fn draw_pause_factor(&mut self) -> f64 {
        if self.rng.u32(0..100) == 0 {
            2.0 + 4.0 * self.rng.f64()
        } else {
            1.0
        }
    }

    /// Returns the share by which a victim takes longer because of its neighbours. `speed` is the
    /// share of full speed at which a neighbour runs.
    pub(crate) fn excess(
        &self,
        victim: KindKey,
        neighbours: impl Iterator<Item = (KindKey, f64)>,
        loaded: bool,
    ) -> f64 {
        neighbours
            .map(|(neighbour, speed)| {
                let pair = self.pairs.get(&(victim, neighbour));
                let excess =
                    pair.map_or(0.0, |(light, heavy)| if loaded { *heavy } else { *light });
                excess * speed
            })
            .sum()
    }
}
