//! Messages between the owner of a shard, the agents beside workers, and entries.

use crate::pool_parts::{
    BootFrame, LostRunFrame, RefusalFrame, RunEndFrame, RunIdFrame, RunReportFrame, WorkerFrame,
};
use crate::relay::{RelayReply, RelayRequest};
use prost::{Message, Oneof};
use std::time::Duration;
use wax_batch::{BootId, TaskSize};
use wax_policy::{DrainView, PairPress};
use wax_types::TimePoint;

/// Heartbeats come at least this often, whatever an owner asks for: its grants reach twice as far.
const MAX_HEARTBEAT_PERIOD: Duration = Duration::from_millis(1_200);

/// One message.
#[derive(Clone, PartialEq, Message)]
pub struct PoolFrame {
    /// What it says; a message without a known body is a protocol error.
    #[prost(
        oneof = "PoolBody",
        tags = "1,2,3,4,5,6,7,8,9,10,11,12,13,14,15,16,17,18,19,20,21,22,23"
    )]
    pub body: Option<PoolBody>,
}

/// The kinds of message.
#[derive(Clone, PartialEq, Oneof)]
pub enum PoolBody {
    /// Agent to owner, first.
    #[prost(message, tag = "1")]
    AgentHello(AgentHello),
    /// Entry to owner, first.
    #[prost(message, tag = "2")]
    FrontHello(FrontHello),
    /// Owner's answer to either hello.
    #[prost(message, tag = "3")]
    Welcome(OwnerWelcome),
    /// Answer of a process that owns nothing: who does.
    #[prost(message, tag = "4")]
    NotOwner(NotOwner),
    /// Agent or entry to owner: heartbeat.
    #[prost(message, tag = "5")]
    Heartbeat(LinkHeartbeat),
    /// Owner's answer to a heartbeat: authority until a time on the asker's clock.
    #[prost(message, tag = "6")]
    Grant(LeaseGrant),
    /// Agent to owner: all that its worker runs and has ended.
    #[prost(message, tag = "7")]
    WorkerSnapshot(WorkerSnapshot),
    /// Owner to agent: the runs that are kept, and that leases may be extended.
    #[prost(message, tag = "8")]
    WorkerAccepted(WorkerAccepted),
    /// Agent to owner: the worker says something new of itself.
    #[prost(message, tag = "9")]
    WorkerChanged(WorkerFrame),
    /// Agent to owner: all that ran on the worker has surely ended.
    #[prost(message, tag = "10")]
    AllRunsEnded(AllRunsEnded),
    /// Agent to owner: what became of runs.
    #[prost(message, tag = "11")]
    RunUpdates(RunUpdates),
    /// Owner to agent.
    #[prost(message, tag = "12")]
    Start(StartRun),
    /// Owner to agent.
    #[prost(message, tag = "13")]
    Stop(StopRun),
    /// Owner to agent: these ends are in the store.
    #[prost(message, tag = "14")]
    Ack(AckEnds),
    /// Entry to owner: asks for a job or a queue.
    #[prost(message, tag = "15")]
    JobQuery(JobQuery),
    /// Owner to entry.
    #[prost(message, tag = "16")]
    JobReply(JobReply),
    /// Either direction between owner and entry: a version of the config.
    #[prost(message, tag = "17")]
    Config(ConfigPush),
    /// Either direction between agent and owner: what filling images press on serving ones.
    #[prost(message, tag = "18")]
    Interference(InterferenceUpdate),
    /// Entry to owner: the store has a cancel; the owner's feed may be cut off.
    #[prost(message, tag = "19")]
    Cancelled(JobCancelled),
    /// Entry to owner: a transaction that the entry cannot send itself.
    #[prost(message, tag = "20")]
    RelayRequest(RelayRequest),
    /// Owner to entry.
    #[prost(message, tag = "21")]
    RelayReply(RelayReply),
    /// Either direction between owner and entry: boots of workers that are dead for good.
    #[prost(message, tag = "22")]
    BootsEnded(BootsEnded),
    /// Agent to owner: a boot of its worker crashed under these runs. Told again on a new link.
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
    /// The machine's name.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Boots of its worker that it knows to be dead for good.
    #[prost(message, repeated, tag = "3")]
    pub ended_boots: Vec<BootFrame>,
}

/// First message of an entry.
#[derive(Clone, PartialEq, Message)]
pub struct FrontHello {
    /// The machine's name.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Where other processes reach it: one of them may own the shard later.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// The owner takes the link.
#[derive(Clone, PartialEq, Message)]
pub struct OwnerWelcome {
    /// Its term.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The fencing token of this link: higher than that of any earlier one.
    #[prost(uint64, tag = "2")]
    pub token: u64,
}

/// The process is not the owner.
#[derive(Clone, PartialEq, Message)]
pub struct NotOwner {
    /// The owner's address as this process knows it; empty if it knows none.
    #[prost(string, tag = "1")]
    pub address: String,
    /// The owner's term.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
}

/// A heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct LinkHeartbeat {
    /// The sender's clock, microseconds.
    #[prost(uint64, tag = "1")]
    pub sent_us: u64,
    /// The config version in force at the sender.
    #[prost(uint64, tag = "2")]
    pub config_version: u64,
    /// Entry: how well its machine would carry an owner, thousandths of a core.
    #[prost(uint32, tag = "3")]
    pub fitness: u32,
    /// Entry: whether the store turns it away.
    #[prost(bool, tag = "4")]
    pub store_lost: bool,
}

/// Authority, counted from the heartbeat that it answers.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseGrant {
    /// The clock of the heartbeat.
    #[prost(uint64, tag = "1")]
    pub sent_us: u64,
    /// For how long from then on, milliseconds.
    #[prost(uint64, tag = "2")]
    pub valid_ms: u64,
    /// Whether the owner's store has not answered for a while.
    #[prost(bool, tag = "3")]
    pub store_lost: bool,
    /// The config version in force at the owner.
    #[prost(uint64, tag = "4")]
    pub config_version: u64,
    /// The share of the open jobs that fill which are late, 0 to 1.
    #[prost(float, tag = "5")]
    pub overload: f32,
    /// To an entry: how many others go before it at the next takeover.
    #[prost(uint32, tag = "6")]
    pub takeover_rank: u32,
    /// To an entry: how well the strongest machine would carry an owner, thousandths of a core.
    #[prost(uint32, tag = "7")]
    pub best_fitness: u32,
    /// To an agent: the drained failure domains; nothing before the owner's first reading.
    #[prost(message, optional, tag = "8")]
    pub drains: Option<DrainFrame>,
    /// To an entry: for how long a newer config than `config` may have gone unseen by the owner's own
    /// readings when this was sent, milliseconds; nothing before the first.
    #[prost(uint64, optional, tag = "9")]
    pub config_age_ms: Option<u64>,
    /// When the next heartbeat is due, milliseconds after the one that is answered; 0 leaves it to the sender.
    #[prost(uint32, tag = "10")]
    pub period_ms: u32,
}

impl LeaseGrant {
    /// The pause between two heartbeats: as the owner asks, or `usual`.
    pub fn heartbeat_period(&self, default: Duration) -> Duration {
        match self.period_ms {
            0 => default,
            period_ms => {
                Duration::from_millis(period_ms.into()).clamp(default, MAX_HEARTBEAT_PERIOD)
            }
        }
    }
}

/// The failure domains to which nothing new is sent.
#[derive(Clone, PartialEq, Message)]
pub struct DrainFrame {
    /// The store's version at which they were read.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Their names.
    #[prost(string, repeated, tag = "2")]
    pub domains: Vec<String>,
    /// For how long a drain may have gone unseen when this was sent, milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

impl DrainFrame {
    /// What is told of a view now; nothing before its first reading.
    pub fn new(view: &DrainView, now: TimePoint) -> Option<Self> {
        let age = view.age(now)?;
        Some(Self {
            version: view.version(),
            domains: view.domains().iter().map(ToString::to_string).collect(),
            // Rounded up: a view is never told to be younger than it is.
            age_ms: age.as_millis() as u64 + 1,
        })
    }

    /// Takes it as the answer to a heartbeat that was sent at `asked` on the taker's clock; says whether
    /// other domains are drained now.
    pub fn apply_to(self, view: &mut DrainView, sent_at: TimePoint) -> bool {
        // The answer is later than the heartbeat, and the age is counted back from the answer.
        let as_of = sent_at - Duration::from_millis(self.age_ms);
        let domains = self.domains.into_iter().map(Into::into).collect();
        view.replace(self.version, domains, as_of)
    }
}

/// Messages that name a boot of a worker by its id and its start time.
macro_rules! impl_boot {
    ($($frame:ident),*) => {
        $(
            impl $frame {
                /// The boot that is meant.
                pub fn boot(&self) -> BootId {
                    BootId::new(&*self.worker, self.started_ms)
                }
            }
        )*
    };
}

impl_boot!(WorkerAccepted, AllRunsEnded, BootCrashed, StartRun, AckEnds);

impl AllRunsEnded {
    /// Says that all that ran on a boot has ended.
    pub fn new(boot: &BootId, boot_ended: bool) -> Self {
        Self {
            worker: boot.worker_id().into(),
            boot_ended,
            started_ms: boot.started_ms(),
        }
    }
}

impl AckEnds {
    /// Says that a boot's ends up to a number are in the store.
    pub fn new(boot: &BootId, cursor: u64) -> Self {
        Self {
            worker: boot.worker_id().into(),
            cursor,
            started_ms: boot.started_ms(),
        }
    }
}

/// All that a worker runs and has ended, as of one moment.
#[derive(Clone, PartialEq, Message)]
pub struct WorkerSnapshot {
    /// The worker.
    #[prost(message, required, tag = "1")]
    pub worker: WorkerFrame,
    /// What runs, or may begin yet.
    #[prost(message, repeated, tag = "2")]
    pub runs: Vec<RunReportFrame>,
    /// Ends that the worker still lists.
    #[prost(message, repeated, tag = "3")]
    pub ends: Vec<RunEndFrame>,
    /// Of how many pairs of images the agent knows the press.
    #[prost(uint32, tag = "4")]
    pub known_pairs: u32,
}

/// What a run books and how it behaves.
#[derive(Clone, PartialEq, Message)]
pub struct PlacementFrame {
    /// The run.
    #[prost(message, required, tag = "1")]
    pub run_id: RunIdFrame,
    /// Thousandths of a core.
    #[prost(uint32, tag = "2")]
    pub cpu_milli: u32,
    /// Mebibytes.
    #[prost(uint32, tag = "3")]
    pub memory_mb: u32,
    /// Accelerators.
    #[prost(uint32, tag = "4")]
    pub accelerators: u32,
    /// Whether it gets only what others leave; its processors are not booked.
    #[prost(bool, tag = "5")]
    pub best_effort: bool,
    /// Bound on its tail latency, milliseconds; 0 for none.
    #[prost(uint32, tag = "6")]
    pub tail_target_ms: u32,
    /// Its image.
    #[prost(string, tag = "7")]
    pub image: String,
}

impl PlacementFrame {
    /// What the run books.
    pub fn reserved(&self) -> TaskSize {
        TaskSize {
            cpu_milli: if self.best_effort { 0 } else { self.cpu_milli },
            memory_mb: self.memory_mb,
            accelerators: self.accelerators,
        }
    }
}

/// Answer to [`WorkerSnapshot`].
#[derive(Clone, PartialEq, Message)]
pub struct WorkerAccepted {
    /// The worker's id.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// The runs that were named, with what is known of them.
    #[prost(message, repeated, tag = "2")]
    pub placements: Vec<PlacementFrame>,
    /// When its boot started, Unix milliseconds, if that is known.
    #[prost(uint64, optional, tag = "3")]
    pub started_ms: Option<u64>,
}

/// All that ran on the worker has surely ended.
#[derive(Clone, PartialEq, Message)]
pub struct AllRunsEnded {
    /// The worker's id.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Whether this boot is dead for good; else only its leases have lapsed.
    #[prost(bool, tag = "2")]
    pub boot_ended: bool,
    /// When its boot started, Unix milliseconds, if that is known.
    #[prost(uint64, optional, tag = "3")]
    pub started_ms: Option<u64>,
}

/// A boot of a worker ended without a word that it would.
#[derive(Clone, PartialEq, Message)]
pub struct BootCrashed {
    /// The worker's id.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// The runs that were there.
    #[prost(message, repeated, tag = "2")]
    pub runs: Vec<LostRunFrame>,
    /// When its boot started, Unix milliseconds, if that is known.
    #[prost(uint64, optional, tag = "3")]
    pub started_ms: Option<u64>,
}

/// Boots of workers that are dead for good: nothing runs there, now or later.
#[derive(Clone, PartialEq, Message)]
pub struct BootsEnded {
    /// Which.
    #[prost(message, repeated, tag = "2")]
    pub boots: Vec<BootFrame>,
}

impl BootsEnded {
    /// Names these boots.
    pub fn new<'a>(boots: impl Iterator<Item = &'a BootId>) -> Self {
        Self {
            boots: boots.map(BootFrame::from).collect(),
        }
    }
}

/// What became of runs since the last news.
#[derive(Clone, PartialEq, Message)]
pub struct RunUpdates {
    /// Begun.
    #[prost(message, repeated, tag = "1")]
    pub started: Vec<RunIdFrame>,
    /// Not begun.
    #[prost(message, repeated, tag = "2")]
    pub refused: Vec<RefusalFrame>,
    /// Gone on.
    #[prost(message, repeated, tag = "3")]
    pub running: Vec<RunReportFrame>,
    /// Ended.
    #[prost(message, repeated, tag = "4")]
    pub ends: Vec<RunEndFrame>,
}

/// An order to start a run.
#[derive(Clone, PartialEq, Message)]
pub struct StartRun {
    /// The run and what it books.
    #[prost(message, required, tag = "1")]
    pub placement: PlacementFrame,
    /// The job's text.
    #[prost(string, tag = "2")]
    pub text: String,
    /// The checkpoint to resume from; empty for none.
    #[prost(string, tag = "3")]
    pub checkpoint: String,
    /// The advisor's ticket; empty for none.
    #[prost(string, tag = "4")]
    pub ticket: String,
    /// The worker for which it is meant.
    #[prost(string, tag = "5")]
    pub worker: String,
    /// When its boot started, Unix milliseconds, if that is known.
    #[prost(uint64, optional, tag = "6")]
    pub started_ms: Option<u64>,
}

/// An order to stop a run.
#[derive(Clone, PartialEq, Message)]
pub struct StopRun {
    /// The run.
    #[prost(message, required, tag = "1")]
    pub run_id: RunIdFrame,
}

/// Ends up to a number are in the store.
#[derive(Clone, PartialEq, Message)]
pub struct AckEnds {
    /// The worker's id.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// The number.
    #[prost(uint64, tag = "2")]
    pub cursor: u64,
    /// When its boot started, Unix milliseconds, if that is known.
    #[prost(uint64, optional, tag = "3")]
    pub started_ms: Option<u64>,
}

/// Asks for a job, or for a queue if it is named.
#[derive(Clone, PartialEq, Message)]
pub struct JobQuery {
    /// Pairs the answer with the question.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// The job.
    #[prost(fixed64, tag = "2")]
    pub job: u64,
    /// The queue; empty for a job.
    #[prost(string, tag = "3")]
    pub queue: String,
}

/// Answer to [`JobQuery`].
#[derive(Clone, PartialEq, Message)]
pub struct JobReply {
    /// Pairs the answer with the question.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// Whether the owner knows the job.
    #[prost(bool, tag = "2")]
    pub known: bool,
    /// How it ended, by the store, as in its row.
    #[prost(int32, tag = "3")]
    pub outcome: i32,
    /// Whether any task has begun.
    #[prost(bool, tag = "4")]
    pub begun: bool,
    /// The queue's jobs of which no task has begun.
    #[prost(uint64, tag = "5")]
    pub pending: u64,
}

/// A version of the config, as the operator wrote it.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigPush {
    /// The operator's text.
    #[prost(bytes = "vec", tag = "1")]
    pub text: Vec<u8>,
}

/// What a core of a filling image presses on a serving image.
#[derive(Clone, PartialEq, Message)]
pub struct InterferenceFrame {
    /// The image that serves.
    #[prost(string, tag = "1")]
    pub serving: String,
    /// The image that fills.
    #[prost(string, tag = "2")]
    pub best_effort: String,
    #[prost(float, tag = "3")]
    per_core: f32,
    #[prost(float, tag = "4")]
    weight: f32,
}

impl InterferenceFrame {
    /// Encodes a pair.
    pub fn new(serving: &str, best_effort: &str, interference: PairPress) -> Self {
        Self {
            serving: serving.into(),
            best_effort: best_effort.into(),
            per_core: interference.per_core as f32,
            weight: interference.weight as f32,
        }
    }

    /// Decodes what is known of the pair.
    pub fn interference(&self) -> PairPress {
        PairPress {
            per_core: f64::from(self.per_core),
            weight: f64::from(self.weight),
        }
    }
}

/// Presses that the sender has learned or gathered.
#[derive(Clone, PartialEq, Message)]
pub struct InterferenceUpdate {
    /// The pairs.
    #[prost(message, repeated, tag = "1")]
    pub pairs: Vec<InterferenceFrame>,
    /// Agent to owner: how much press each image that serves bears in all.
    #[prost(message, repeated, tag = "3")]
    pub headrooms: Vec<HeadroomFrame>,
}

/// How much press an image that serves bears on the sender's worker, without regard to what fills.
#[derive(Clone, PartialEq, Message)]
pub struct HeadroomFrame {
    /// The image.
    #[prost(string, tag = "1")]
    pub serving: String,
    /// By what share its load may grow.
    #[prost(float, tag = "2")]
    pub headroom: f32,
}

/// A cancel that is in the store.
#[derive(Clone, PartialEq, Message)]
pub struct JobCancelled {
    /// The job.
    #[prost(fixed64, tag = "1")]
    pub job: u64,
}
