//! Command line arguments, options and the client that all commands share.

use crate::client::OperatorClient;
use crate::failure::CommandFailure;
use pico_args::Arguments;

/// Environment variable with the operators' address of an entry.
const ADDRESS_VARIABLE: &str = "WAXWING_ENTRY";
const DEFAULT_ADDRESS: &str = "127.0.0.1:7002";

/// Remaining arguments and the options that all commands share.
pub(crate) struct CommandContext {
    pub(crate) args: Arguments,
    pub(crate) json: bool,
    pub(crate) client: OperatorClient,
}

impl CommandContext {
    pub(crate) fn new(mut args: Arguments) -> Result<Self, CommandFailure> {
        let json = args.contains("--json");
        let named: Option<String> = args.opt_value_from_str("--entry")?;
        let address = named
            .or_else(|| std::env::var(ADDRESS_VARIABLE).ok())
            .unwrap_or_else(|| DEFAULT_ADDRESS.to_owned());
        let client = OperatorClient::new(&address)?;
        Ok(Self { args, json, client })
    }

    /// Takes the next positional argument. `name` is its name in the error if it is missing.
    pub(crate) fn next_arg(&mut self, name: &str) -> Result<String, CommandFailure> {
        let arg: Option<String> = self.args.opt_free_from_str()?;
        match arg {
            Some(arg) if !arg.starts_with('-') => Ok(arg),
            Some(arg) => Err(CommandFailure::Usage(format!("unexpected option {arg}"))),
            None => Err(CommandFailure::Usage(format!("{name} is missing"))),
        }
    }

    /// Fails if an argument is left that the command has not taken.
    pub(crate) fn finish(&mut self) -> Result<(), CommandFailure> {
        let args = std::mem::replace(&mut self.args, Arguments::from_vec(Vec::new()));
        match args.finish().first() {
            None => Ok(()),
            Some(extra) => {
                let text = format!("unexpected argument {}", extra.to_string_lossy());
                Err(CommandFailure::Usage(text))
            }
        }
    }
}
