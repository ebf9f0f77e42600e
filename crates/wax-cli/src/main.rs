//! `waxwing`: the command line tool for operators.

mod client;
mod commands;
mod context;
mod failure;
mod output;

use std::process::ExitCode;

fn main() -> ExitCode {
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("waxwing: the runtime did not start: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(commands::run()) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(failure) => {
            eprintln!("waxwing: {failure}");
            failure.exit_code()
        }
    }
}
