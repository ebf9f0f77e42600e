//! Errors of commands and their exit codes.

use std::process::ExitCode;
use wax_types::{ErrorKind, WaxError};

/// Why a command failed.
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
    /// Returns 1 if the request was refused, 2 for invalid arguments or input, 3 if a change is not
    /// yet in force in all processes, and 4 if the system cannot be reached.
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
