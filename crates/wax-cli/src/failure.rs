//! Why a command failed, and its exit code.

use std::process::ExitCode;
use wax_types::{ErrorKind, WaxError};

/// A failed command.
#[derive(Debug, displaydoc::Display)]
pub(crate) enum CommandFailure {
    /// {0}; see `waxwing --help`
    Usage(String),
    /// {0}
    Failed(WaxError),
    /// {0}
    NotInForce(String),
}

impl CommandFailure {
    /// 1 for a refusal, 2 for bad arguments or input, 3 for a change not yet in force everywhere,
    /// 4 where the system cannot be reached.
    pub(crate) fn exit_code(&self) -> ExitCode {
        let code = match self {
            Self::Usage(_) => 2,
            Self::NotInForce(_) => 3,
            Self::Failed(error) => match error.kind {
                ErrorKind::Invalid => 2,
                ErrorKind::Unavailable(_) | ErrorKind::Timeout => 4,
                _ => 1,
            },
        };
        ExitCode::from(code)
    }
}

impl From<WaxError> for CommandFailure {
    fn from(error: WaxError) -> Self {
        Self::Failed(error)
    }
}

impl From<pico_args::Error> for CommandFailure {
    fn from(error: pico_args::Error) -> Self {
        Self::Usage(error.to_string())
    }
}
