//! `waxwingd`: one process of the system, in the role that its settings file names: entry, sidecar,
//! front or agent.

mod args;
mod entry;
mod metrics;
mod pool;
mod sidecar;
mod signals;

use crate::args::Command;
use std::path::Path;
use std::process::ExitCode;
use wax_settings::{DaemonSettings, ProcessRole};
use wax_trace::{LogFormat, LogOutput, start_logs};
use wax_types::WaxError;

/// Exit code for invalid arguments or settings, and for errors that a role returns.
const EXIT_USAGE: u8 = 2;
/// Exit code if the async runtime cannot be created.
const EXIT_FAILURE: u8 = 1;

fn main() -> ExitCode {
    match args::parse() {
        Ok(Command::Help) => {
            print!("{}", args::USAGE);
            ExitCode::SUCCESS
        }
        Ok(Command::Version) => {
            println!("waxwingd {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Ok(Command::Run(file)) => match DaemonSettings::read(&file) {
            Ok(settings) => run(settings, &file),
            Err(error) => report_error(&error),
        },
        Err(error) => {
            eprintln!("waxwingd: {error}\n\n{}", args::USAGE);
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn report_error(error: &WaxError) -> ExitCode {
    eprintln!("waxwingd: {error}");
    ExitCode::from(EXIT_USAGE)
}

fn run(settings: DaemonSettings, file: &Path) -> ExitCode {
    let format = if settings.logs.json {
        LogFormat::Json
    } else {
        LogFormat::Plain
    };
    let output = if settings.logs.stdout {
        LogOutput::Stdout
    } else {
        LogOutput::Stderr
    };
    start_logs(format, output, &settings.logs.filter);
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("waxwingd: the runtime did not start: {error}");
            return ExitCode::from(EXIT_FAILURE);
        }
    };
    let result = runtime.block_on(async {
        match settings.role {
            ProcessRole::Entry => entry::run(settings).await,
            ProcessRole::Sidecar => sidecar::run(settings).await,
            ProcessRole::Front => pool::run_front(settings, file).await,
            ProcessRole::Agent => pool::run_agent(settings, file).await,
        }
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_error(&error),
    }
}
