//! Parses log lines into timestamps and events.

use crate::event::LogEvent;
use serde::Deserialize;
use std::fmt;
use std::time::UNIX_EPOCH;

/// One log line with an event that reports use.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// When the line was written by the clock of its process, seconds since 1970.
    pub timestamp_s: f64,
    /// Event that the line records.
    pub event: LogEvent,
}

/// A log line that looks like an event but cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LineError {
    /// Number of the line in its file, from 1.
    pub number: usize,
    /// Description of the error.
    pub label: Box<str>,
}

impl fmt::Display for LineError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "line {}: {}", self.number, self.label)
    }
}

impl std::error::Error for LineError {}

#[derive(Deserialize)]
struct RawLine {
    timestamp: Box<str>,
    #[serde(flatten)]
    event: LogEvent,
}

/// Parses the lines of a file. Lines without a JSON object that starts with the key `timestamp` and
/// events that reports do not use are skipped.
///
/// # Errors
///
/// The object of a line is not valid JSON, an event that reports use lacks a field, or its timestamp
/// is invalid.
pub fn parse_lines(text: &str) -> Result<Vec<LogLine>, LineError> {
    let mut lines = Vec::new();
    for (index, line) in text.lines().enumerate() {
        if let Some(line) = parse_line(line, index + 1)? {
            lines.push(line);
        }
    }
    Ok(lines)
}

fn parse_line(line: &str, number: usize) -> Result<Option<LogLine>, LineError> {
    let Some(start) = line.find("{\"timestamp\"") else {
        return Ok(None);
    };
    let fail = |label: String| LineError {
        number,
        label: label.into(),
    };
    let raw: RawLine =
        serde_json::from_str(&line[start..]).map_err(|error| fail(error.to_string()))?;
    if raw.event == LogEvent::Other {
        return Ok(None);
    }
    let time = humantime::parse_rfc3339(&raw.timestamp).map_err(|error| fail(error.to_string()))?;
    let since_epoch = time
        .duration_since(UNIX_EPOCH)
        .map_err(|error| fail(error.to_string()))?;
    Ok(Some(LogLine {
        timestamp_s: since_epoch.as_secs_f64(),
        event: raw.event,
    }))
}
