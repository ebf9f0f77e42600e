//! One line of a log: when, and what.

use crate::event::LogEvent;
use serde::Deserialize;
use std::fmt;
use std::time::UNIX_EPOCH;

/// One line that tells of a decision.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// When it was written, by its process's clock, seconds since 1970.
    pub timestamp_s: f64,
    /// What it tells.
    pub event: LogEvent,
}

/// A line that looks like an event and cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LineError {
    /// The line's number in its file, from 1.
    pub number: usize,
    /// What is wrong with it.
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

/// Reads the lines of a file; lines without an object are passed over.
///
/// # Errors
///
/// An object of a known kind lacks a field, or its time cannot be read.
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
