//! The commands of `waxwing`: one module for each, in a folder for each group.

mod bound;
mod check;
mod domain;
mod drain;
mod explain;
mod job;
mod logs;
mod peers;
mod replay;
mod settings;
mod status;
mod submit;
mod usage;
mod worker;

use crate::context::CommandContext;
use crate::failure::CommandFailure;
use pico_args::Arguments;

const HELP: &str = "\
Usage: waxwing [--entry ADDR] [--json] COMMAND [ARGUMENTS]

  check [--policy] FILE      checks a daemon's settings file; shows the limits and weights in force
  status                     shows members, shards, settings in force, state of the store
  submit TEAM SERVICE KIND   submits a job and prints its id
         [--tasks N] [--input JSON] [--key KEY]
  job show ID                shows a job and its tasks
  job cancel ID              cancels a job
  job result ID [INDEX]      prints the result of a task
  explain job ID             why each task of a job waits, runs or was given up
  domain drain NAME          places no new tasks in a failure domain; running tasks continue
  domain undrain NAME        ends the drain of a failure domain
  worker drain NAME          places no new tasks on a VM's worker; running tasks continue
  worker undrain NAME        ends the drain of a worker
  settings get               prints the settings tree in force
  settings explain PATH      prints each value in force and where it comes from
  settings set PATH KEY VALUE [--expected VERSION] [--wait SECONDS]
  settings apply DIR [--dry-run] [--wait SECONDS] [--expected VERSION]
  settings export DIR        writes the settings tree in force as files for `apply`
  settings log               lists the latest changes
  usage [--team TEAM] [--from DAY] [--to DAY] [--csv]
  logs report FILE...        reports jobs, waits and causes of delay from the pool's log lines
         [--window SECONDS] [--job ID] [--csv] [--plot FILE.svg]
  replay TRACE [--policy NAME] [--seed N]
                             replays a recorded trace through the decision code of the daemons
  replay TRACE --compare N   compares the weighed policy with every baseline over N seeds
  bound TRACE [--seed N]     upper bound for any scheduler on a recorded trace
  bound FILE... --cores N    the same for the pool's log lines, with N cores not used by serving tasks

  --entry ADDR   operators' address of an entry (or WAXWING_ENTRY; default 127.0.0.1:7002)
  --json         prints the answer as JSON
  -h, --help     this text
  -V, --version  the version

Exit codes: 0 done, 1 refused, 2 bad arguments or input, 3 not in force everywhere in time,
4 no entry could be reached or the store is down.
";

/// Runs the command that the command line names and returns its output.
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
        "worker" => worker::run(&mut context).await,
        "settings" => settings::run(&mut context).await,
        "explain" => explain::run(&mut context).await,
        "replay" => replay::run(&mut context).await,
        "logs" => logs::run(&mut context),
        "usage" => usage::run(&mut context).await,
        other => Err(CommandFailure::Usage(format!("no command {other}"))),
    }
}
