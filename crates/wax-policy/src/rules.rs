//! Rules of decisions: named numbers with a unit, a default and bounds that operators can change in
//! the settings.
//!
//! A set of rules is declared by the macro [`rule_set`], which lists each rule's field, its key in
//! the settings, its default and bounds, and the value that switches the mechanism off.

use serde::Deserialize;
use std::fmt;
use std::time::Duration;

/// Value of one rule as the settings give it.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum RuleSetting {
    /// Number in the rule's unit.
    Number(f64),
    /// The word `off`, which switches the mechanism off.
    Switch(RuleSwitch),
    /// Boolean, because YAML reads `off` without quotes as `false`.
    Flag(bool),
}

/// Word that may stand in place of a number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RuleSwitch {
    /// The mechanism is switched off.
    Off,
}

/// Description and present value of one rule.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RuleInfo {
    /// Key of the rule in the settings.
    pub key: &'static str,
    /// Unit of the value.
    pub unit: &'static str,
    /// Present value.
    pub value: f64,
    /// Smallest value that is accepted.
    pub min: f64,
    /// Largest value that is accepted.
    pub max: f64,
    /// Value that `off` stands for; `None` if the rule cannot be switched off.
    pub off: Option<f64>,
}

/// Reason why a setting is rejected.
#[derive(Debug, Clone, PartialEq)]
pub enum RuleError {
    /// The set has no rule of this key.
    UnknownKey(Box<str>),
    /// The value is out of the rule's bounds.
    OutOfBounds(RuleInfo, f64),
    /// The rule cannot be switched off.
    CannotSwitchOff(RuleInfo),
    /// The setting is neither a number nor `off`.
    NotANumber(RuleInfo),
}

impl fmt::Display for RuleError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownKey(key) => write!(formatter, "{key}: no such rule"),
            Self::OutOfBounds(info, value) => write!(
                formatter,
                "{}: {value} is out of range, expected {} to {}",
                info.key, info.min, info.max
            ),
            Self::CannotSwitchOff(info) => write!(
                formatter,
                "{}: it cannot be off, expected {} to {}",
                info.key, info.min, info.max
            ),
            Self::NotANumber(info) => write!(
                formatter,
                "{}: expected a number from {} to {}, or off",
                info.key, info.min, info.max
            ),
        }
    }
}

impl std::error::Error for RuleError {}

impl RuleInfo {
    /// Returns the number that a setting stands for.
    ///
    /// # Errors
    ///
    /// Fails if the value is out of bounds or not a number, or if the rule cannot be switched off.
    pub fn resolve(self, setting: RuleSetting) -> Result<f64, RuleError> {
        match setting {
            RuleSetting::Switch(RuleSwitch::Off) | RuleSetting::Flag(false) => {
                self.off.ok_or(RuleError::CannotSwitchOff(self))
            }
            RuleSetting::Flag(true) => Err(RuleError::NotANumber(self)),
            RuleSetting::Number(value) if (self.min..=self.max).contains(&value) => Ok(value),
            RuleSetting::Number(value) => Err(RuleError::OutOfBounds(self, value)),
        }
    }
}

/// Type that the value of a rule may have.
pub trait RuleValue: Copy {
    /// Converts a number within the rule's bounds, in the rule's unit.
    fn from_number(number: f64) -> Self;
    /// Returns the value as a number in the rule's unit.
    fn to_number(self) -> f64;
}

impl RuleValue for f64 {
    fn from_number(number: f64) -> Self {
        number
    }

    fn to_number(self) -> f64 {
        self
    }
}

impl RuleValue for u32 {
    fn from_number(number: f64) -> Self {
        number as Self
    }

    fn to_number(self) -> f64 {
        self.into()
    }
}

/// The unit is milliseconds.
impl RuleValue for Duration {
    fn from_number(number: f64) -> Self {
        Self::from_micros((number * 1_000.0) as u64)
    }

    fn to_number(self) -> f64 {
        self.as_micros() as f64 / 1_000.0
    }
}

/// Declares a struct of rules with defaults, and its conversion from settings.
macro_rules! rule_set {
    (
        $(#[$meta:meta])*
        $name:ident {
            $(
                $(#[$doc:meta])*
                $field:ident: $kind:ty = ($key:literal, $unit:literal, $default:literal, $min:literal to $max:literal $(, off $off:literal)?),
            )*
        }
    ) => {
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, PartialEq)]
        pub struct $name {
            $( $(#[$doc])* pub $field: $kind, )*
        }

        impl Default for $name {
            fn default() -> Self {
                Self {
                    $( $field: <$kind as $crate::rules::RuleValue>::from_number($default as f64), )*
                }
            }
        }

        impl $name {
            /// Returns all rules with their present values.
            pub fn infos(&self) -> Vec<$crate::rules::RuleInfo> {
                vec![
                    $( $crate::rules::RuleInfo {
                        key: $key,
                        unit: $unit,
                        value: $crate::rules::RuleValue::to_number(self.$field),
                        min: $min as f64,
                        max: $max as f64,
                        off: None $(.or(Some($off as f64)))?,
                    }, )*
                ]
            }

            /// Sets the rule of a key.
            ///
            /// # Errors
            ///
            /// Fails if there is no such rule or it does not accept the setting.
            pub fn set(
                &mut self,
                key: &str,
                setting: $crate::rules::RuleSetting,
            ) -> Result<(), $crate::rules::RuleError> {
                let infos = self.infos();
                let Some(info) = infos.iter().find(|info| info.key == key) else {
                    return Err($crate::rules::RuleError::UnknownKey(key.into()));
                };
                let number = info.resolve(setting)?;
                match key {
                    $( $key => self.$field = $crate::rules::RuleValue::from_number(number), )*
                    _ => {}
                }
                Ok(())
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(source: D) -> Result<Self, D::Error> {
                let settings: std::collections::BTreeMap<String, $crate::rules::RuleSetting> =
                    serde::Deserialize::deserialize(source)?;
                let mut rules = Self::default();
                for (key, setting) in settings {
                    rules.set(&key, setting).map_err(serde::de::Error::custom)?;
                }
                Ok(rules)
            }
        }
    };
}

pub(crate) use rule_set;
