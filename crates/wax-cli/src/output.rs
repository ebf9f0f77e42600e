//! Formats answers: as JSON for scripts and as text for people.

use serde_json::Value;
use std::fmt::Write;

/// Formats a value as indented JSON.
pub(crate) fn json_text(value: &Value) -> String {
    let mut text = serde_json::to_string_pretty(value).unwrap_or_default();
    text.push('\n');
    text
}

/// Formats rows as a table with aligned columns and a heading.
pub(crate) fn table_text(heading: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = heading.iter().map(|cell| cell.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let heading: Vec<String> = heading.iter().map(|cell| (*cell).to_owned()).collect();
    let mut text = String::new();
    for row in std::iter::once(&heading).chain(rows) {
        let mut line = String::new();
        for (width, cell) in widths.iter().zip(row) {
            // Writing to a string cannot fail.
            let _ = write!(line, "{cell:<width$}  ");
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

/// Formats a value; strings are not quoted and null is `-`.
pub(crate) fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

/// Returns a field of an object as text; `-` if it is missing.
pub(crate) fn field(value: &Value, key: &str) -> String {
    plain(value.get(key).unwrap_or(&Value::Null))
}

/// Returns the elements of a list field; an empty slice if it is missing.
pub(crate) fn items<'a>(value: &'a Value, key: &str) -> &'a [Value] {
    value
        .get(key)
        .and_then(Value::as_array)
        .map_or(&[], Vec::as_slice)
}
