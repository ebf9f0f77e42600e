//! Reads YAML files. Errors name the file, the line and the key.

use serde::de::DeserializeOwned;
use std::path::Path;
use wax_types::{ErrorKind, Step, WaxError};

/// Name and text of a settings file. The text is kept to find the line of a key for error messages.
#[derive(Debug, Clone)]
pub struct SettingsFile {
    /// Path of the file as error messages show it.
    pub name: Box<str>,
    /// Content of the file.
    pub text: Box<str>,
}

impl SettingsFile {
    /// Reads a file as UTF-8 text.
    ///
    /// # Errors
    ///
    /// `Invalid` if the file cannot be read or is not UTF-8.
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

    /// Builds an error about `key` that names the first line in which the last segment of the key
    /// occurs.
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
/// `Invalid` if the text is not YAML of the expected structure; the error names the line and the
/// column.
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
