//! Decides which link gets the worker's full run list.
//!
//! Once an owner has accepted a run list, it orders starts on that link, and it takes each run that
//! a list lacks as ended. A list that is older than a start on the same link therefore makes the
//! owner start the task a second time. So each link gets a single list of a boot, which was
//! requested from the worker after the link was opened.

/// Number of a link to an owner, counted from the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LinkGeneration(pub(crate) u64);

/// What the owner gets from the answer to a hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HoldReport {
    /// The full run list, as the first one on this link.
    RunList(LinkGeneration),
    /// The changes since the last hold.
    Changes,
    /// Nothing: the link was opened after the hold was sent, or there is none. The list of the next
    /// hold contains all changes.
    Nothing,
}

impl HoldReport {
    /// Chooses what to send on the link `current` from the answer to a hold that was sent while
    /// `requested_on` was the link. The last list was sent on the link `reported_on`.
    pub(crate) fn choose(
        requested_on: Option<LinkGeneration>,
        current: Option<LinkGeneration>,
        reported_on: Option<LinkGeneration>,
    ) -> Self {
        match current {
            Some(link) if requested_on != Some(link) => Self::Nothing,
            Some(_) if reported_on == current => Self::Changes,
            Some(link) => Self::RunList(link),
            None => Self::Nothing,
        }
    }
}
