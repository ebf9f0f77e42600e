//! Clients of the entry processes for the platform's table service, object store and workers, over HTTP and JSON.
//!
//! No other crate knows these wire formats, except the stand-in servers of the tests. The processes of the pool use
//! the crate `platform` instead.

mod group;
mod http_call;
mod objects;
mod store;
mod table;
mod wire;
mod workers;

pub use group::GroupWriter;
pub use http_call::HttpCaller;
pub use objects::{ObjectClient, PutOutcome};
pub use store::{StoreHandle, StoreLimits};
pub use table::{CommitOutcome, RowEntry, TableClient, TableTransaction};
pub use wire::{
    CommitReply, CommitRequest, ControlReply, ControlRequest, ReadReply, ReadRequest, RenewReply,
    RenewRequest, RowCondition, RowWrite, ScanRequest, StartReply, StartRequest, TaskReport,
    TaskRunId, TaskRunStatus, ThrottleRequest, UsageReport, WireRow, WorkerInfo, WorkerList,
};
pub use workers::{WorkerClient, WorkerDirectory};
