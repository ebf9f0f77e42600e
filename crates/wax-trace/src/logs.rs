//! Installs the subscriber that writes log lines.

use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::format::FmtSpan;

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Human-readable text.
    Plain,
}

/// Destination of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// Starts writing log lines. `filter` is a directive such as `info` or `wax_tasks=debug`; an
/// invalid directive is replaced by `info`.
///
/// When a span ends, a line with the fields and the duration of the span is written. Further calls
/// have no effect.
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
    // An error means that a subscriber is already installed, which happens in tests.
    let _ = match format {
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
        LogFormat::Plain => builder.try_init(),
    };
}
