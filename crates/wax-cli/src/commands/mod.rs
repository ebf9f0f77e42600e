//! One file for each command, in a folder for each family.

mod bound;
mod check;
mod domain;
mod explain;
mod job;
mod logs;
mod peers;
mod replay;
mod settings;
mod status;
mod submit;
mod usage;

use crate::context::CommandContext;
use crate::failure::CommandFailure;
use pico_args::Arguments;

const HELP: &str = "\
Usage: waxwing [--entry ADDR] [--json] COMMAND [ARGUMENTS]

  check [--policy] FILE      checks a daemon's settings file; shows the limits and weights in force
  status                     members, shards, settings in force, the store's health
  submit TEAM SERVICE KIND   submits a job and prints its id
         [--tasks N] [--input JSON] [--key KEY]
  job show ID                shows a job and its tasks
  job cancel ID              cancels a job
  job result ID [INDEX]      prints the result of a task
  explain job ID             why each task of a job waits, runs or was given up
  domain drain NAME          nothing new is placed in a failure domain; what runs there goes on
  domain undrain NAME        takes that back
  settings get               prints the tree in force
  settings explain PATH      prints each value in force and where it comes from
  settings set PATH KEY VALUE [--expected VERSION] [--wait SECONDS]
  settings apply DIR [--dry-run] [--wait SECONDS] [--expected VERSION]
  settings export DIR        writes the tree in force as files for `apply`
  settings log               the newest changes
  usage [--team TEAM] [--from DAY] [--to DAY] [--csv]
  logs report FILE...        jobs, waits and causes of lateness by the pool's log lines
         [--window SECONDS] [--job ID] [--csv] [--plot FILE.svg]
  replay TRACE [--policy NAME] [--seed N]
                             a recorded trace through the decisions of the daemons
  replay TRACE --compare N   ours against every baseline, over N seeds
  bound TRACE [--seed N]     what no scheduler could exceed on a recorded trace
  bound FILE... --cores N    the same for a day of the pool's log lines, where N cores are free of what serves

  --entry ADDR   operators' address of an entry (or WAXWING_ENTRY; default 127.0.0.1:7002)
  --json         prints the answer as JSON
  -h, --help     this text
  -V, --version  the version

Exit codes: 0 done, 1 refused, 2 bad arguments or input, 3 not in force everywhere in time,
4 no entry could be reached or the store is down.
";

/// Runs the command of the command line; gives what it prints.
pub(crate) async fn run() -> Result<String, CommandFailure> {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        return Ok(HELP.to_owned());
    }
    if args.contains(["-V", "--version"]) {
        return Ok(format!("waxwing {}\n", env!("CARGO_PKG_VERSION")));
    }
    let mut context = CommandContext::new(args)?;
    let command = context.next_arg("a command")?;
    match command.as_str() {
        "bound" => bound::run(&mut context),
        "check" => check::run(&mut context),
        "status" => status::run(&mut context).await,
        "submit" => submit::run(&mut context).await,
        "job" => job::run(&mut context).await,
        "domain" => domain::run(&mut context).await,
        "settings" => settings::run(&mut context).await,
        "explain" => explain::run(&mut context).await,
        "replay" => replay::run(&mut context).await,
        "logs" => logs::run(&mut context),
        "usage" => usage::run(&mut context).await,
        other => Err(CommandFailure::Usage(format!("no command {other}"))),
    }
}
