//! Messages between the owner of a shard, the agents on the workers' VMs, and the fronts.
//!
//! A front is a process of the pool that accepts jobs from callers. Fields named `started_ms` tell apart boots
//! (process lives) of workers that have the same id.

use crate::pool_parts::{
    BootFrame, LostRunFrame, RefusalFrame, RunEndFrame, RunIdFrame, RunReportFrame, WorkerFrame,
};
use crate::relay::{RelayReply, RelayRequest};
use prost::{Message, Oneof};
use std::time::Duration;
use wax_batch::{BootId, TaskSize};
use wax_policy::{DrainView, PairInterference};
use wax_types::TimePoint;

/// Upper bound on the heartbeat period that an owner can request. The longest grants are valid for about twice as
/// long, so an agent's authority does not expire between two heartbeats.
const MAX_HEARTBEAT_PERIOD: Duration = Duration::from_millis(1_200);

/// Envelope of each message between an owner and an agent or a front.
#[derive(Clone, PartialEq, Message)]
pub struct PoolFrame {
    /// Content of the message. `None`, which includes unknown tags, is a protocol error.
    #[prost(
        oneof = "PoolBody",
        tags = "1,2,3,4,5,6,7,8,9,10,11,12,13,14,15,16,17,18,19,20,21,22,23"
    )]
    pub body: Option<PoolBody>,
}

/// Content of a [`PoolFrame`].
#[derive(Clone, PartialEq, Oneof)]
pub enum PoolBody {
    /// Agent to owner: first message on a link.
    #[prost(message, tag = "1")]
    AgentHello(AgentHello),
    /// Front to owner: first message on a link.
    #[prost(message, tag = "2")]
    FrontHello(FrontHello),
    /// Owner to agent or front: accepts the link.
    #[prost(message, tag = "3")]
    Welcome(OwnerWelcome),
    /// Answer to a hello by a process that does not own the shard: names the owner.
    #[prost(message, tag = "4")]
    NotOwner(NotOwner),
    /// Agent or front to owner: heartbeat.
    #[prost(message, tag = "5")]
    Heartbeat(LinkHeartbeat),
    /// Owner to agent or front: answer to a heartbeat. Gives an agent authority for a limited time.
    #[prost(message, tag = "6")]
    Grant(LeaseGrant),
    /// Agent to owner: state of its worker, sent after each new link or boot.
    #[prost(message, tag = "7")]
    WorkerSnapshot(WorkerSnapshot),
    /// Owner to agent: accepts a [`WorkerSnapshot`]. From then on the agent may extend the worker's leases.
    #[prost(message, tag = "8")]
    WorkerAccepted(WorkerAccepted),
    /// Agent to owner: the worker's own description has changed.
    #[prost(message, tag = "9")]
    WorkerChanged(WorkerFrame),
    /// Agent to owner: all runs on the worker have provably ended.
    #[prost(message, tag = "10")]
    AllRunsEnded(AllRunsEnded),
    /// Agent to owner: changes of single runs.
    #[prost(message, tag = "11")]
    RunUpdates(RunUpdates),
    /// Owner to agent: order to start a run.
    #[prost(message, tag = "12")]
    Start(StartRun),
    /// Owner to agent: order to stop a run.
    #[prost(message, tag = "13")]
    Stop(StopRun),
    /// Owner to agent: acknowledges ends of runs that the store holds.
    #[prost(message, tag = "14")]
    Ack(AckEnds),
    /// Front to owner: queries a job or a queue.
    #[prost(message, tag = "15")]
    JobQuery(JobQuery),
    /// Owner to front: reply to a [`JobQuery`].
    #[prost(message, tag = "16")]
    JobReply(JobReply),
    /// Either direction between owner and front: a version of the operator's config that the peer lacks.
    #[prost(message, tag = "17")]
    Config(ConfigPush),
    /// Either direction between agent and owner: interference of best-effort images with serving images.
    #[prost(message, tag = "18")]
    Interference(InterferenceUpdate),
    /// Front to owner: a cancelled job. Reaches the owner even while its feed from the store is interrupted.
    #[prost(message, tag = "19")]
    Cancelled(JobCancelled),
    /// Either direction between owner and front: a transaction that the sender cannot send to the store itself.
    #[prost(message, tag = "20")]
    RelayRequest(RelayRequest),
    /// Either direction between owner and front: reply to a [`RelayRequest`].
    #[prost(message, tag = "21")]
    RelayReply(RelayReply),
    /// Either direction between owner and front: boots of workers that have ended for good.
    #[prost(message, tag = "22")]
    BootsEnded(BootsEnded),
    /// Agent to owner: a boot of its worker crashed. Recent crashes are sent again on each new link.
    #[prost(message, tag = "23")]
    BootCrashed(BootCrashed),
}

impl From<PoolBody> for PoolFrame {
    fn from(body: PoolBody) -> Self {
        Self { body: Some(body) }
    }
}

/// First message of an agent.
#[derive(Clone, PartialEq, Message)]
pub struct AgentHello {
    /// Name of the VM on which the sender runs.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Boots of the agent's worker that have ended for good.
    #[prost(message, repeated, tag = "3")]
    pub ended_boots: Vec<BootFrame>,
}

/// First message of a front.
#[derive(Clone, PartialEq, Message)]
pub struct FrontHello {
    /// Name of the VM on which the sender runs.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Address at which other processes reach the front, as `IP:port`. They need it if the front becomes the owner.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// The owner accepts the link.
#[derive(Clone, PartialEq, Message)]
pub struct OwnerWelcome {
    /// The owner's epoch, the number of its term.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Fencing token of this link; higher than those of all earlier links.
    #[prost(uint64, tag = "2")]
    pub token: u64,
    /// Number of tokens above `token` that are reserved for this link. The agent uses the next one when its worker
    /// has restarted. Owners of older versions reserve none.
    #[prost(uint64, tag = "3")]
    pub reserved_tokens: u64,
}

/// The process that was called does not own the shard.
#[derive(Clone, PartialEq, Message)]
pub struct NotOwner {
    /// Address of the owner, as far as the sender knows; empty if it knows none.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Epoch of that owner.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
}

/// Heartbeat of an agent or a front.
#[derive(Clone, PartialEq, Message)]
pub struct LinkHeartbeat {
    /// The sender's clock, in microseconds.
    #[prost(uint64, tag = "1")]
    pub sent_us: u64,
    /// Version of the operator's config in force at the sender. Set by fronts only.
    #[prost(uint64, tag = "2")]
    pub config_version: u64,
    /// Capacity that the sender's VM has for running an owner, in thousandths of a core. Set by fronts only.
    #[prost(uint32, tag = "3")]
    pub fitness: u32,
    /// Whether the sender has lost its connection to the store. Set by fronts only.
    #[prost(bool, tag = "4")]
    pub store_lost: bool,
    /// Longest time for which leases on the agent's worker may still be valid, in milliseconds, if it exceeds what
    /// the owner's grants allow. Set by agents only.
    #[prost(uint64, optional, tag = "5")]
    pub leases_ms: Option<u64>,
}

/// Answer to a heartbeat.
///
/// For an agent it is a grant: authority to start runs and extend leases, valid for a time counted from the
/// heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseGrant {
    /// [`LinkHeartbeat::sent_us`] of the heartbeat that is answered.
    #[prost(uint64, tag = "1")]
    pub sent_us: u64,
    /// Duration of the authority from `sent_us` on, in milliseconds. 0 for fronts, and while an owner releases
    /// its term.
    #[prost(uint64, tag = "2")]
    pub valid_ms: u64,
    /// Whether the store has not answered the owner for longer than the owner tolerates.
    #[prost(bool, tag = "3")]
    pub store_lost: bool,
    /// Version of the operator's config in force at the owner. Set for fronts only.
    #[prost(uint64, tag = "4")]
    pub config_version: u64,
    /// Share of the open best-effort jobs that are late, 0 to 1. Set for agents only.
    #[prost(float, tag = "5")]
    pub overload: f32,
    /// Number of fronts that try before this one at the next takeover. Set for fronts only.
    #[prost(uint32, tag = "6")]
    pub takeover_rank: u32,
    /// Highest [`LinkHeartbeat::fitness`] among the fronts. Set for fronts only.
    #[prost(uint32, tag = "7")]
    pub best_fitness: u32,
    /// Drained failure domains. Set for agents only; `None` until the owner has read them once.
    #[prost(message, optional, tag = "8")]
    pub drains: Option<DrainFrame>,
    /// Age of the owner's latest own reading of the config when this was sent, in milliseconds: a config newer
    /// than `config_version` may have existed for this long. Set for fronts only; `None` before the first reading.
    #[prost(uint64, optional, tag = "9")]
    pub config_age_ms: Option<u64>,
    /// Requested heartbeat period in milliseconds; 0 if the sender of heartbeats shall use its default.
    #[prost(uint32, tag = "10")]
    pub period_ms: u32,
}

impl LeaseGrant {
    /// Returns the heartbeat period that the owner requests, limited to between `default` and 1.2 s, or `default`
    /// if it requests none.
    pub fn heartbeat_period(&self, default: Duration) -> Duration {
        match self.period_ms {
            0 => default,
            period_ms => {
                Duration::from_millis(period_ms.into()).clamp(default, MAX_HEARTBEAT_PERIOD)
            }
        }
    }
}

/// Failure domains that are drained: no new tasks start there.
#[derive(Clone, PartialEq, Message)]
pub struct DrainFrame {
    /// Version of the store at which the domains were read.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Names of the failure domains.
    #[prost(string, repeated, tag = "2")]
    pub domains: Vec<String>,
    /// Age of the information when it was sent, in milliseconds: a newer drain may have existed for this long.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

impl DrainFrame {
    /// Encodes a view as of `now`. Returns `None` if the view has not been read yet.
    pub fn new(view: &DrainView, now: TimePoint) -> Option<Self> {
        let age = view.age(now)?;
        Some(Self {
            version: view.version(),
            domains: view.domains().iter().map(ToString::to_string).collect(),
            // Rounded up, so that the view is never reported as younger than it is.
            age_ms: age.as_millis() as u64 + 1,
        })
    }

    /// Updates `view` from the answer to a heartbeat that was sent at `sent_at` on the receiver's clock. Returns
    /// whether the set of drained domains has changed.
    pub fn apply_to(self, view: &mut DrainView, sent_at: TimePoint) -> bool {
        // The age counts back from the answer, which was sent after the heartbeat. Counting back from the heartbeat
        // instead never makes the view look newer than it is.
        let as_of = sent_at - Duration::from_millis(self.age_ms);
        let domains = self.domains.into_iter().map(Into::into).collect();
        view.replace(self.version, domains, as_of)
    }
}

/// Implements `boot` for messages with the fields `worker` and `started_ms`.
macro_rules! impl_boot {
    ($($frame:ident),*) => {
        $(
            impl $frame {
                /// Returns the boot of the worker to which the message refers.
                pub fn boot(&self) -> BootId {
                    BootId::new(&*self.worker, self.started_ms)
                }
            }
        )*
    };
}

impl_boot!(WorkerAccepted, AllRunsEnded, BootCrashed, StartRun, AckEnds);

impl AllRunsEnded {
    /// Creates the message for a boot; `boot_ended` says whether the boot itself has ended for good.
    pub fn new(boot: &BootId, boot_ended: bool) -> Self {
        Self {
            worker: boot.worker_id().into(),
            boot_ended,
            started_ms: boot.started_ms(),
        }
    }
}

impl AckEnds {
    /// Creates the acknowledgement of a boot's ends up to number `cursor`.
    pub fn new(boot: &BootId, cursor: u64) -> Self {
        Self {
            worker: boot.worker_id().into(),
            cursor,
            started_ms: boot.started_ms(),
        }
    }
}

/// State of a worker at one moment: all runs in progress, and as many ends as the worker lists at once.
#[derive(Clone, PartialEq, Message)]
pub struct WorkerSnapshot {
    /// The worker's description.
    #[prost(message, required, tag = "1")]
    pub worker: WorkerFrame,
    /// Runs that are in progress or may still start.
    #[prost(message, repeated, tag = "2")]
    pub runs: Vec<RunReportFrame>,
    /// Ends of runs that the worker still lists because they are not acknowledged.
    #[prost(message, repeated, tag = "3")]
    pub ends: Vec<RunEndFrame>,
    /// Number of pairs of images whose interference the agent knows. The owner sends its whole table to an agent
    /// that knows far fewer pairs than it does.
    #[prost(uint32, tag = "4")]
    pub known_pairs: u32,
    /// Number of the list, counted by the agent.
    #[prost(uint64, optional, tag = "5")]
    pub list: Option<u64>,
    /// Whether the worker may have further ends. They follow in [`RunUpdates`]; the last of these messages has
    /// [`RunUpdates::ends_complete`] set.
    #[prost(bool, tag = "6")]
    pub has_more_ends: bool,
    /// Longest time for which leases on the worker may still be valid, in milliseconds. It may exceed what the
    /// owner's grants allow. Agents of older versions do not send it.
    #[prost(uint64, optional, tag = "7")]
    pub leases_ms: Option<u64>,
}

/// What a run reserves on a worker, and properties of its task that the agent needs.
#[derive(Clone, PartialEq, Message)]
pub struct PlacementFrame {
    /// The task and the number of its run.
    #[prost(message, required, tag = "1")]
    pub run_id: RunIdFrame,
    /// Processors in thousandths of a core.
    #[prost(uint32, tag = "2")]
    pub cpu_milli: u32,
    /// Memory in mebibytes.
    #[prost(uint32, tag = "3")]
    pub memory_mb: u32,
    /// Number of accelerators.
    #[prost(uint32, tag = "4")]
    pub accelerators: u32,
    /// Whether the run only gets processors that others leave free; it reserves none.
    #[prost(bool, tag = "5")]
    pub best_effort: bool,
    /// Tail latency target in milliseconds; 0 for none.
    #[prost(uint32, tag = "6")]
    pub tail_target_ms: u32,
    /// Name of the run's image.
    #[prost(string, tag = "7")]
    pub image: String,
}

impl PlacementFrame {
    /// Returns the resources that the run reserves.
    pub fn reserved(&self) -> TaskSize {
        TaskSize {
            cpu_milli: if self.best_effort { 0 } else { self.cpu_milli },
            memory_mb: self.memory_mb,
            accelerators: self.accelerators,
        }
    }
}

/// Answer to a [`WorkerSnapshot`].
#[derive(Clone, PartialEq, Message)]
pub struct WorkerAccepted {
    /// Id of the worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Placements of the reported runs whose jobs the owner knows.
    #[prost(message, repeated, tag = "2")]
    pub placements: Vec<PlacementFrame>,
    /// Start time of the worker's boot in Unix milliseconds, if known.
    #[prost(uint64, optional, tag = "3")]
    pub started_ms: Option<u64>,
    /// Number of the accepted list, as in [`WorkerSnapshot::list`].
    #[prost(uint64, optional, tag = "4")]
    pub list: Option<u64>,
}

/// All runs on a boot of a worker have provably ended.
#[derive(Clone, PartialEq, Message)]
pub struct AllRunsEnded {
    /// Id of the worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Whether the boot itself has ended for good. If not, all its leases have expired.
    #[prost(bool, tag = "2")]
    pub boot_ended: bool,
    /// Start time of the worker's boot in Unix milliseconds, if known.
    #[prost(uint64, optional, tag = "3")]
    pub started_ms: Option<u64>,
}

/// A boot of a worker ended without announcing its shutdown.
#[derive(Clone, PartialEq, Message)]
pub struct BootCrashed {
    /// Id of the worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Runs that were on the worker when it crashed.
    #[prost(message, repeated, tag = "2")]
    pub runs: Vec<LostRunFrame>,
    /// Start time of the worker's boot in Unix milliseconds, if known.
    #[prost(uint64, optional, tag = "3")]
    pub started_ms: Option<u64>,
}

/// Boots of workers that have ended for good: nothing runs on them now or later.
#[derive(Clone, PartialEq, Message)]
pub struct BootsEnded {
    /// The boots.
    #[prost(message, repeated, tag = "2")]
    pub boots: Vec<BootFrame>,
}

impl BootsEnded {
    /// Creates the message for the given boots.
    pub fn new<'a>(boots: impl Iterator<Item = &'a BootId>) -> Self {
        Self {
            boots: boots.map(BootFrame::from).collect(),
        }
    }
}

/// Changes of runs since the last update.
#[derive(Clone, PartialEq, Message)]
pub struct RunUpdates {
    /// Runs that have started.
    #[prost(message, repeated, tag = "1")]
    pub started: Vec<RunIdFrame>,
    /// Runs that the worker did not start and never will.
    #[prost(message, repeated, tag = "2")]
    pub refused: Vec<RefusalFrame>,
    /// Runs in progress, with their newest reports.
    #[prost(message, repeated, tag = "3")]
    pub running: Vec<RunReportFrame>,
    /// Runs that have ended.
    #[prost(message, repeated, tag = "4")]
    pub ends: Vec<RunEndFrame>,
    /// Whether all ends that a [`WorkerSnapshot`] on this link lacked have now been sent.
    #[prost(bool, tag = "5")]
    pub ends_complete: bool,
}

/// Order to start a run.
#[derive(Clone, PartialEq, Message)]
pub struct StartRun {
    /// The run and what it reserves.
    #[prost(message, required, tag = "1")]
    pub placement: PlacementFrame,
    /// Text of the job, passed to the worker unchanged.
    #[prost(string, tag = "2")]
    pub text: String,
    /// Checkpoint to resume from; empty for none.
    #[prost(string, tag = "3")]
    pub checkpoint: String,
    /// Ticket of the placement advisor; empty for none.
    #[prost(string, tag = "4")]
    pub ticket: String,
    /// Id of the worker that shall run it.
    #[prost(string, tag = "5")]
    pub worker: String,
    /// Start time of the worker's boot in Unix milliseconds, if known.
    #[prost(uint64, optional, tag = "6")]
    pub started_ms: Option<u64>,
}

/// Order to stop a run.
#[derive(Clone, PartialEq, Message)]
pub struct StopRun {
    /// The task and the number of its run.
    #[prost(message, required, tag = "1")]
    pub run_id: RunIdFrame,
}

/// Acknowledges ends of runs that the store holds, so that the worker may forget them.
#[derive(Clone, PartialEq, Message)]
pub struct AckEnds {
    /// Id of the worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Number up to which ends are acknowledged.
    #[prost(uint64, tag = "2")]
    pub cursor: u64,
    /// Start time of the worker's boot in Unix milliseconds, if known.
    #[prost(uint64, optional, tag = "3")]
    pub started_ms: Option<u64>,
}

/// Query for the state of a job, or of a queue if one is named.
#[derive(Clone, PartialEq, Message)]
pub struct JobQuery {
    /// Number that pairs the query with its reply, unique per sender.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// Id of the job; ignored if `queue` is set.
    #[prost(fixed64, tag = "2")]
    pub job: u64,
    /// Name of the queue; empty to query a job.
    #[prost(string, tag = "3")]
    pub queue: String,
}

/// Reply to a [`JobQuery`].
#[derive(Clone, PartialEq, Message)]
pub struct JobReply {
    /// Number of the query.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// Whether the owner knows the job or the queue. If not, the other fields are unset.
    #[prost(bool, tag = "2")]
    pub known: bool,
    /// Outcome of the job as stored in its row, a `JobOutcome`.
    #[prost(int32, tag = "3")]
    pub outcome: i32,
    /// Whether any task of the job has started.
    #[prost(bool, tag = "4")]
    pub started: bool,
    /// Number of the queue's accepted jobs of which no task has started.
    #[prost(uint64, tag = "5")]
    pub pending_job_count: u64,
}

/// A version of the operator's config.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigPush {
    /// The config's text, byte for byte as the operator wrote it.
    #[prost(bytes = "vec", tag = "1")]
    pub text: Vec<u8>,
}

/// Interference of a best-effort image with a serving image on the same worker.
#[derive(Clone, PartialEq, Message)]
pub struct InterferenceFrame {
    /// Name of the serving image.
    #[prost(string, tag = "1")]
    pub serving: String,
    /// Name of the best-effort image.
    #[prost(string, tag = "2")]
    pub best_effort: String,
    /// Share by which the serving image's load grows for each core that the best-effort image uses.
    #[prost(float, tag = "3")]
    per_core: f32,
    /// Certainty of `per_core`: one over its variance; 0 without an observation.
    #[prost(float, tag = "4")]
    precision: f32,
}

impl InterferenceFrame {
    /// Encodes what is known of a pair of images.
    pub fn new(serving: &str, best_effort: &str, interference: PairInterference) -> Self {
        Self {
            serving: serving.into(),
            best_effort: best_effort.into(),
            per_core: interference.per_core as f32,
            precision: interference.precision as f32,
        }
    }

    /// Decodes what is known of the pair of images.
    pub fn interference(&self) -> PairInterference {
        PairInterference {
            per_core: f64::from(self.per_core),
            precision: f64::from(self.precision),
        }
    }
}

/// Interference between images: observations of an agent, or what the owner has merged from all agents.
#[derive(Clone, PartialEq, Message)]
pub struct InterferenceUpdate {
    /// Pairs of images whose estimates have changed, or all pairs for an agent that knows far fewer than the owner.
    #[prost(message, repeated, tag = "1")]
    pub pairs: Vec<InterferenceFrame>,
    /// Headroom of each serving image on the sender's worker. Set by agents only.
    #[prost(message, repeated, tag = "3")]
    pub headrooms: Vec<HeadroomFrame>,
}

/// Headroom of a serving image on the sender's worker: the interference that it tolerates in total, independent of
/// which best-effort images cause it.
#[derive(Clone, PartialEq, Message)]
pub struct HeadroomFrame {
    /// Name of the serving image.
    #[prost(string, tag = "1")]
    pub serving: String,
    /// Share by which the image's load may grow before its tail latency nears the target.
    #[prost(float, tag = "2")]
    pub headroom: f32,
}

/// A job whose cancellation is in the store.
#[derive(Clone, PartialEq, Message)]
pub struct JobCancelled {
    /// Id of the job.
    #[prost(fixed64, tag = "1")]
    pub job: u64,
}
