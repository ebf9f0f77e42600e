//! Row in which a member describes itself.

use serde::{Deserialize, Serialize};
use wax_types::{ProcessIncarnation, SettingsVersion};

/// Prefix of the keys of all member rows.
pub const MEMBER_PREFIX: &str = "member/";

/// Row `member/NAME`: what a member publishes about itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Name of the member; unique among all members.
    pub name: Box<str>,
    /// Identifies one run of the process; a restart draws a new one.
    pub incarnation: ProcessIncarnation,
    /// Number of renewals that this run has attempted.
    pub beat: u64,
    /// Region in which the member runs.
    pub region: Box<str>,
    /// Failure domain in which the member runs.
    pub failure_domain: Box<str>,
    /// Address to which sidecars connect; `None` if the member is no entry.
    pub peers: Option<Box<str>>,
    /// Address to which operators connect; `None` if the member is no entry.
    pub operators: Option<Box<str>>,
    /// Whether the member may own shards.
    pub coordinator: bool,
    /// Whether the member shuts down and takes no new work.
    pub leaving: bool,
    /// Version of the settings tree that the member applies.
    pub settings: SettingsVersion,
}

/// Returns the key of the row of the member `name`.
pub fn member_key(name: &str) -> String {
    format!("{MEMBER_PREFIX}{name}")
}
