//! Rules of decisions: named numbers with a unit, a default and bounds, as the settings give them.
//!
//! A set of rules is declared once, by the macro [`rule_set`]: its fields, what the settings call
//! them, their defaults, bounds, and the value that switches the mechanism off.

use serde::Deserialize;
use std::fmt;
use std::time::Duration;

/// What the settings say of one rule.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum RuleSetting {
    /// A value in the rule's unit.
    Number(f64),
    /// The mechanism is switched off.
    Switch(RuleSwitch),
    /// YAML reads `off` without quotes as `false`.
    Flag(bool),
}

/// A word in place of a number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RuleSwitch {
    /// Off.
    Off,
}

/// One rule of a set.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RuleInfo {
    /// Its key in the settings.
    pub key: &'static str,
    /// The unit of its value.
    pub unit: &'static str,
    /// Its value now.
    pub value: f64,
    /// The least value.
    pub min: f64,
    /// The greatest value.
    pub max: f64,
    /// The value that stands for `off`; `None` for what cannot be switched off.
    pub off: Option<f64>,
}

/// A value that cannot be taken.
#[derive(Debug, Clone, PartialEq)]
pub enum RuleError {
    /// The set has no such rule.
    UnknownKey(Box<str>),
    /// The value is out of its bounds.
    OutOfBounds(RuleInfo, f64),
    /// The rule cannot be switched off.
    CannotSwitchOff(RuleInfo),
    /// The rule takes a number or `off`, and has neither.
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
    /// The number that a word stands for.
    ///
    /// # Errors
    ///
    /// It is out of bounds, or the rule cannot be off.
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

/// A type that a rule's value may have.
pub trait RuleValue: Copy {
    /// From a number that keeps the rule's bounds.
    fn from_number(number: f64) -> Self;
    /// As the settings give it.
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

/// In milliseconds.
impl RuleValue for Duration {
    fn from_number(number: f64) -> Self {
        Self::from_micros((number * 1_000.0) as u64)
    }

    fn to_number(self) -> f64 {
        self.as_micros() as f64 / 1_000.0
    }
}

/// Declares a set of rules.
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
            /// All rules with their values.
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
            /// There is no such rule, or it does not take the word.
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
