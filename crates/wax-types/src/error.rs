//! Error type that all crates share: what failed, at which step, with which peer, and what to do
//! about it.

use std::fmt;
use std::time::Duration;

/// Step at which an error occurred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum Step {
    /// reading settings
    ReadSettings,
    /// listening
    Listen,
    /// connecting
    Connect,
    /// shaking hands
    Handshake,
    /// decoding a frame
    DecodeFrame,
    /// sending a frame
    SendFrame,
    /// parsing a request
    ParseRequest,
    /// admitting a request
    AdmitRequest,
    /// routing a request
    RouteRequest,
    /// reserving an idempotency key
    ReserveKey,
    /// calling the upstream
    CallUpstream,
    /// reading the table
    ReadTable,
    /// committing to the table
    CommitTable,
    /// reading an object
    ReadObject,
    /// writing an object
    WriteObject,
    /// listing workers
    ListWorkers,
    /// calling a worker
    CallWorker,
    /// submitting a job
    SubmitJob,
    /// reading a job
    ReadJob,
    /// changing settings
    ChangeSettings,
    /// reading usage
    ReadUsage,
}

/// What a caller may conclude about the execution of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The request was executed and the response is its own.
    Ran,
    /// The request was not executed and never will be under this attempt.
    NotRun,
    /// The request may have been executed.
    Unknown,
}

impl RunOutcome {
    /// Returns the value of the `waxwing-outcome` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Kind of a failure, which determines what the receiver can do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ErrorKind {
    /// The input is wrong; the same request will fail again.
    Invalid,
    /// The named object does not exist.
    NotFound,
    /// Another client changed the object first.
    Conflict,
    /// A limit has been reached; retry after this time.
    Overload(Duration),
    /// The peer cannot be reached or is not ready; retry after this time.
    Unavailable(Duration),
    /// The call did not finish within its timeout.
    Timeout,
    /// The peer broke the protocol.
    Protocol,
    /// The request was sent and its effect is unknown.
    Ambiguous,
}

/// Error with the step at which it occurred, the peer and advice for the reader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaxError {
    /// Kind of the failure.
    pub kind: ErrorKind,
    /// Step at which the error occurred.
    pub step: Step,
    /// Peer, file or key that the step concerned.
    pub peer: Box<str>,
    /// Description of what was found.
    pub label: Box<str>,
    /// Advice on what to do; may be empty.
    pub help: Box<str>,
}

impl WaxError {
    /// Creates an error without advice.
    pub fn new(
        kind: ErrorKind,
        step: Step,
        peer: impl Into<Box<str>>,
        label: impl fmt::Display,
    ) -> Self {
        Self {
            kind,
            step,
            peer: peer.into(),
            label: label.to_string().into(),
            help: "".into(),
        }
    }

    /// Adds advice on what to do.
    pub fn with_help(mut self, help: impl Into<Box<str>>) -> Self {
        self.help = help.into();
        self
    }

    /// Returns the delay before a retry, if the kind of the error gives one.
    pub fn retry_after(&self) -> Option<Duration> {
        match self.kind {
            ErrorKind::Overload(after) | ErrorKind::Unavailable(after) => Some(after),
            _ => None,
        }
    }
}

impl fmt::Display for WaxError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.step, self.peer, self.label)?;
        if !self.help.is_empty() {
            write!(f, "\n  help: {}", self.help)?;
        }
        Ok(())
    }
}

impl std::error::Error for WaxError {}
