//! The row of one member.

use serde::{Deserialize, Serialize};
use wax_types::{ProcessIncarnation, SettingsVersion};

/// All rows of members start with it.
pub const MEMBER_PREFIX: &str = "member/";

/// What a member says of itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Its name.
    pub name: Box<str>,
    /// Its run.
    pub incarnation: ProcessIncarnation,
    /// Counts the renewals.
    pub beat: u64,
    /// Its region.
    pub region: Box<str>,
    /// Its failure domain.
    pub failure_domain: Box<str>,
    /// Where sidecars connect, if it is an entry.
    pub peers: Option<Box<str>>,
    /// Where operators connect, if it is an entry.
    pub operators: Option<Box<str>>,
    /// Whether it may own shards.
    pub coordinator: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// The version of the settings tree that it applies.
    pub settings: SettingsVersion,
}

/// The key of a member's row.
pub fn member_key(name: &str) -> String {
    format!("{MEMBER_PREFIX}{name}")
}
