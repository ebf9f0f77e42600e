//! Test-only stand-ins for external systems: the platform, workers, upstreams and callers.

mod args;
mod faults;
mod fetch;
mod load;
mod objects;
mod peers;
mod platform;
mod site;
mod site_rows;
mod site_runs;
mod site_worker;
mod table;
mod upstream;
mod worker;
mod worker_runs;

use crate::args::Command;

#[compio::main]
async fn main() {
    let command = match args::parse() {
        Ok(command) => command,
        Err(error) => {
            eprintln!("waxwing-standin: {error}\n\n{}", args::USAGE);
            std::process::exit(2);
        }
    };
    let result = match command {
        Command::Help => {
            print!("{}", args::USAGE);
            return;
        }
        Command::Platform(options) => platform::run(options).await,
        Command::Worker(options) => worker::run(options).await,
        Command::Upstream(options) => upstream::run(options).await,
        Command::Load(options) => load::run(options).await,
        Command::Peers(options) => peers::run(options).await,
        Command::Site(options) => site::run(options).await,
        Command::SiteWorker(options) => site_worker::run(options).await,
        Command::Ports(count) => print_ports(count),
        Command::Fetch(options) => fetch::run(options).await,
    };
    if let Err(error) = result {
        eprintln!("waxwing-standin: {error}");
        std::process::exit(1);
    }
}

/// Prints `count` free ports. All of them stay bound until the last one is found, so that they
/// differ.
fn print_ports(count: u16) -> Result<(), wax_types::WaxError> {
    let mut listeners = Vec::new();
    for _ in 0..count {
        let any = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = wax_http::bind_listener(any)?;
        let address = listener.local_addr().map_err(|error| {
            let kind = wax_types::ErrorKind::Invalid;
            wax_types::WaxError::new(kind, wax_types::Step::Listen, "ports", error)
        })?;
        println!("{}", address.port());
        listeners.push(listener);
    }
    Ok(())
}
