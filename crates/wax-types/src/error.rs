//! The one error type: what failed, at which step, with which peer, and what to do.

use std::fmt;
use std::time::Duration;

/// The step at which an error arose.
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
    /// It was executed and the answer is its own.
    Ran,
    /// It was not executed and never will be under this attempt.
    NotRun,
    /// It may have been executed.
    Unknown,
}

impl RunOutcome {
    /// The value of the `waxwing-outcome` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// What kind of failure it is, and so what the receiver can do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ErrorKind {
    /// The input is wrong; trying again unchanged will fail again.
    Invalid,
    /// The named thing does not exist.
    NotFound,
    /// Somebody else changed it first.
    Conflict,
    /// A limit is reached; try again after this time.
    Overload(Duration),
    /// The peer cannot be reached or is not ready; try again after this time.
    Unavailable(Duration),
    /// The time allowed has passed.
    Timeout,
    /// The peer broke the protocol.
    Protocol,
    /// The request was sent and its effect is not known.
    Ambiguous,
}

/// An error with its step, its peer and a remedy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaxError {
    /// What kind of failure it is.
    pub kind: ErrorKind,
    /// The step at which it arose.
    pub step: Step,
    /// The peer, file or key that the step concerned.
    pub peer: Box<str>,
    /// What was found.
    pub label: Box<str>,
    /// What to do about it; may be empty.
    pub help: Box<str>,
}

impl WaxError {
    /// Builds an error without a remedy.
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

    /// Adds a remedy.
    pub fn with_help(mut self, help: impl Into<Box<str>>) -> Self {
        self.help = help.into();
        self
    }

    /// When to try again, if the kind says so.
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
