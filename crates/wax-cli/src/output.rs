//! Prints answers: as JSON for scripts, as text for people.

use serde_json::Value;
use std::fmt::Write;

/// An answer as indented JSON.
pub(crate) fn json_text(value: &Value) -> String {
    let mut text = serde_json::to_string_pretty(value).unwrap_or_default();
    text.push('\n');
    text
}

/// Rows of equal width, with a heading.
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

/// A value without the quotes of JSON text.
pub(crate) fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

/// A field of an object as text.
pub(crate) fn field(value: &Value, key: &str) -> String {
    plain(value.get(key).unwrap_or(&Value::Null))
}

/// The elements of a list field.
pub(crate) fn items<'a>(value: &'a Value, key: &str) -> &'a [Value] {
    value
        .get(key)
        .and_then(Value::as_array)
        .map_or(&[], Vec::as_slice)
}
