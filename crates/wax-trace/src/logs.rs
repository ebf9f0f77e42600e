//! Starts the log subscriber.

use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::format::FmtSpan;

/// The form of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Text for people.
    Plain,
}

/// Where log lines go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// Writes log lines; `filter` is a directive such as `info` or `wax_tasks=debug`.
///
/// The end of a span is a line of its own with the span's fields and duration. A second call
/// changes nothing.
pub fn start_logs(format: LogFormat, output: LogOutput, filter: &str) {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(move || -> Box<dyn std::io::Write> {
            match output {
                LogOutput::Stdout => Box::new(std::io::stdout()),
                LogOutput::Stderr => Box::new(std::io::stderr()),
            }
        })
        .with_ansi(false)
        .with_span_events(FmtSpan::CLOSE);
    // An error means that a subscriber is installed already, as in tests.
    let _ = match format {
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
        LogFormat::Plain => builder.try_init(),
    };
}
