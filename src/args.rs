//! Parses the command line of the daemon.

use pico_args::Arguments;
use std::path::PathBuf;

pub(crate) const USAGE: &str = "\
Usage: waxwingd --settings FILE

Runs one process of the system; its role and addresses are in FILE (YAML).
Check a file without starting anything: waxwing check FILE

  --settings FILE  the settings file
  -h, --help       this text
  -V, --version    the version

Exit codes: 0 after a drain, 1 if something failed, 2 for bad arguments or settings.
";

pub(crate) enum Command {
    Help,
    Version,
    Run(PathBuf),
}

pub(crate) fn parse() -> Result<Command, pico_args::Error> {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    if args.contains(["-V", "--version"]) {
        return Ok(Command::Version);
    }
    let file = args.value_from_str("--settings")?;
    let rest = args.finish();
    match rest.first() {
        None => Ok(Command::Run(file)),
        Some(extra) => Err(pico_args::Error::ArgumentParsingFailed {
            cause: format!("unexpected argument {}", extra.to_string_lossy()),
        }),
    }
}
