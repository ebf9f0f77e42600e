//! Reads YAML files with errors that name the file, the line and the key.

use serde::de::DeserializeOwned;
use std::path::Path;
use wax_types::{ErrorKind, Step, WaxError};

/// The text of a settings file, kept to find the line of a key.
#[derive(Debug, Clone)]
pub struct SettingsFile {
    /// The file's name for messages.
    pub name: Box<str>,
    /// Its whole text.
    pub text: Box<str>,
}

impl SettingsFile {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// The file cannot be read.
    pub fn read(path: &Path) -> Result<Self, WaxError> {
        let name: Box<str> = path.display().to_string().into();
        match std::fs::read_to_string(path) {
            Ok(text) => Ok(Self {
                name,
                text: text.into(),
            }),
            Err(error) => Err(
                WaxError::new(ErrorKind::Invalid, Step::ReadSettings, name, error)
                    .with_help("check the path and that the file is readable UTF-8"),
            ),
        }
    }

    /// An error about `key`, with the line where the key first stands.
    pub fn key_error(&self, key: &str, label: impl std::fmt::Display, help: &str) -> WaxError {
        let last_segment = key.rsplit('.').next().unwrap_or(key);
        let line = self
            .text
            .lines()
            .position(|line| line.contains(&format!("{last_segment}:")));
        let location = match line {
            Some(index) => format!("{}:{}", self.name, index + 1),
            None => self.name.to_string(),
        };
        WaxError::new(
            ErrorKind::Invalid,
            Step::ReadSettings,
            location,
            format!("{key}: {label}"),
        )
        .with_help(help)
    }
}

/// Decodes a YAML file.
///
/// # Errors
///
/// The text is not YAML of the expected shape; the error names the line and the column.
pub fn parse_yaml<T: DeserializeOwned>(file: &SettingsFile) -> Result<T, WaxError> {
    serde_saphyr::from_str(&file.text).map_err(|error| {
        let location = match error.location() {
            Some(position) => format!("{}:{}:{}", file.name, position.line(), position.column()),
            None => file.name.to_string(),
        };
        let text = error.without_snippet().to_string();
        let text = text.split(" at line ").next().unwrap_or_default();
        WaxError::new(ErrorKind::Invalid, Step::ReadSettings, location, text)
            .with_help("docs/SETTINGS.md lists every key with its unit and bounds")
    })
}
