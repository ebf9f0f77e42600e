//! Parses the command line of the stand-in.

use pico_args::Arguments;
use std::net::SocketAddr;
use wax_types::ResourceVector;

pub(crate) const USAGE: &str = "\
Usage: waxwing-standin COMMAND [OPTIONS]

  platform --listen ADDR
  worker   --listen ADDR --platform ADDR --id ID --rack RACK --domain DOMAIN
           [--cpu-milli N] [--memory-mib N] [--accelerators N] [--usage-ms N]
           [--count N]  (N workers in one process, on free ports, named ID-1 and so on)
  upstream --listen ADDR [--slots N] [--service-ms N]
  peers    --entry ADDR --service SERVICE --count N  (plays N sidecars)
  load     --entry ADDR --team TEAM --service SERVICE --rate N --seconds N
           [--deadline-ms N] [--connections N] [--path PATH] [--seed N]
           [--direct]  (ENTRY is an upstream, asked without the system)

  site        --listen ADDR  (the users' platform: its store)
  site-worker --listen ADDR --agent ADDR --service SERVICE --id ID
              [--cpu-milli N] [--memory-mb N] [--domain NAME]  (a worker that obeys its agent)

  ports       N  (prints N ports that are free now, one a line)

  fetch    METHOD URL [--header NAME:VALUE]... [--body TEXT]

fetch prints the status, the outcome field and the body.
Each server prints one line of JSON with its address when it is ready.
Faults are set while a server runs: POST /faults with a JSON object.
";

#[derive(Debug)]
pub(crate) enum Command {
    Help,
    Platform(PlatformOptions),
    Worker(WorkerOptions),
    Upstream(UpstreamOptions),
    Load(LoadOptions),
    Fetch(FetchOptions),
    Peers(PeersOptions),
    Site(SiteOptions),
    SiteWorker(SiteWorkerOptions),
    Ports(u16),
}

#[derive(Debug)]
pub(crate) struct SiteOptions {
    pub(crate) listen: SocketAddr,
}

#[derive(Debug)]
pub(crate) struct SiteWorkerOptions {
    pub(crate) listen: SocketAddr,
    pub(crate) agent: SocketAddr,
    pub(crate) service: String,
    pub(crate) id: String,
    pub(crate) cpu_milli: u32,
    pub(crate) memory_mb: u32,
    pub(crate) domain: String,
    /// Value of the worker's clock at its start, milliseconds.
    pub(crate) clock_ms: u64,
    /// Start time that the worker reports, Unix milliseconds; `None` reports the actual time.
    pub(crate) started_ms: Option<u64>,
}

#[derive(Debug)]
pub(crate) struct PeersOptions {
    pub(crate) entry: SocketAddr,
    pub(crate) service: String,
    pub(crate) count: u32,
}

#[derive(Debug)]
pub(crate) struct PlatformOptions {
    pub(crate) listen: SocketAddr,
}

#[derive(Debug)]
pub(crate) struct WorkerOptions {
    pub(crate) listen: SocketAddr,
    pub(crate) platform: SocketAddr,
    pub(crate) id: String,
    pub(crate) rack: String,
    pub(crate) domain: String,
    pub(crate) capacity: ResourceVector,
    /// Length of a usage interval, milliseconds.
    pub(crate) usage_ms: u64,
    /// Number of workers in this process.
    pub(crate) count: u32,
}

#[derive(Debug)]
pub(crate) struct UpstreamOptions {
    pub(crate) listen: SocketAddr,
    pub(crate) slots: usize,
    /// Execution time of a request, milliseconds.
    pub(crate) service_ms: u64,
}

#[derive(Debug)]
pub(crate) struct LoadOptions {
    pub(crate) entry: SocketAddr,
    pub(crate) team: String,
    pub(crate) service: String,
    pub(crate) path: String,
    /// Requests per second.
    pub(crate) rate: u32,
    pub(crate) seconds: u32,
    pub(crate) deadline_ms: u32,
    /// Maximum number of open connections.
    pub(crate) connections: usize,
    pub(crate) seed: u64,
    /// Whether `entry` is the address of an upstream that is called directly, without an entry.
    pub(crate) direct: bool,
}

#[derive(Debug)]
pub(crate) struct FetchOptions {
    pub(crate) method: String,
    pub(crate) url: String,
    pub(crate) headers: Vec<String>,
    pub(crate) body: String,
}

pub(crate) fn parse() -> Result<Command, pico_args::Error> {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    let command = match args.subcommand()?.as_deref() {
        Some("platform") => Command::Platform(PlatformOptions {
            listen: args.value_from_str("--listen")?,
        }),
        Some("worker") => Command::Worker(parse_worker(&mut args)?),
        Some("upstream") => Command::Upstream(UpstreamOptions {
            listen: args.value_from_str("--listen")?,
            slots: args.opt_value_from_str("--slots")?.unwrap_or(8),
            service_ms: args.opt_value_from_str("--service-ms")?.unwrap_or(2),
        }),
        Some("fetch") => Command::Fetch(parse_fetch(&mut args)?),
        Some("peers") => Command::Peers(PeersOptions {
            entry: args.value_from_str("--entry")?,
            service: args.value_from_str("--service")?,
            count: args.value_from_str("--count")?,
        }),
        Some("site") => Command::Site(SiteOptions {
            listen: args.value_from_str("--listen")?,
        }),
        Some("site-worker") => Command::SiteWorker(SiteWorkerOptions {
            listen: args.value_from_str("--listen")?,
            agent: args.value_from_str("--agent")?,
            service: args.value_from_str("--service")?,
            id: args.value_from_str("--id")?,
            cpu_milli: args.opt_value_from_str("--cpu-milli")?.unwrap_or(4_000),
            memory_mb: args.opt_value_from_str("--memory-mb")?.unwrap_or(8_000),
            domain: args
                .opt_value_from_str("--domain")?
                .unwrap_or_else(|| "a".into()),
            clock_ms: args.opt_value_from_str("--clock-ms")?.unwrap_or(0),
            started_ms: args.opt_value_from_str("--started-ms")?,
        }),
        Some("ports") => Command::Ports(args.free_from_str()?),
        Some("load") => Command::Load(parse_load(&mut args)?),
        _ => Command::Help,
    };
    Ok(command)
}

fn parse_worker(args: &mut Arguments) -> Result<WorkerOptions, pico_args::Error> {
    Ok(WorkerOptions {
        listen: args.value_from_str("--listen")?,
        platform: args.value_from_str("--platform")?,
        id: args.value_from_str("--id")?,
        rack: args.value_from_str("--rack")?,
        domain: args.value_from_str("--domain")?,
        capacity: ResourceVector::new(
            args.opt_value_from_str("--cpu-milli")?.unwrap_or(16_000),
            args.opt_value_from_str("--memory-mib")?.unwrap_or(61_440),
            args.opt_value_from_str("--accelerators")?.unwrap_or(0),
        ),
        usage_ms: args.opt_value_from_str("--usage-ms")?.unwrap_or(500),
        count: args.opt_value_from_str("--count")?.unwrap_or(1),
    })
}

fn parse_load(args: &mut Arguments) -> Result<LoadOptions, pico_args::Error> {
    Ok(LoadOptions {
        entry: args.value_from_str("--entry")?,
        team: args.value_from_str("--team")?,
        service: args.value_from_str("--service")?,
        path: args
            .opt_value_from_str("--path")?
            .unwrap_or_else(|| "/gauge".into()),
        rate: args.value_from_str("--rate")?,
        seconds: args.value_from_str("--seconds")?,
        deadline_ms: args.opt_value_from_str("--deadline-ms")?.unwrap_or(1_000),
        connections: args.opt_value_from_str("--connections")?.unwrap_or(64),
        seed: args.opt_value_from_str("--seed")?.unwrap_or(1),
        direct: args.contains("--direct"),
    })
}

fn parse_fetch(args: &mut Arguments) -> Result<FetchOptions, pico_args::Error> {
    Ok(FetchOptions {
        headers: args.values_from_str("--header")?,
        body: args.opt_value_from_str("--body")?.unwrap_or_default(),
        method: args.free_from_str()?,
        url: args.free_from_str()?,
    })
}
