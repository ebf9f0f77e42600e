//! Decides which link gets the worker's full run list, and whether the owner has accepted it.
//!
//! Once an owner has accepted a run list, it orders starts on that link, and it takes each run that
//! a list lacks as ended. A list that is older than a start on the same link therefore makes the
//! owner start the task a second time. So each link gets a single list of a boot, which was
//! requested from the worker after the link was opened.

/// Number of a link to an owner, counted from the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LinkGeneration(pub(crate) u64);

/// Number of a run list, counted from the start of the process. It distinguishes the acceptance of a
/// list from that of an earlier list on the same link, which the agent sent before it registered the
/// boot again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ListNumber(pub(crate) u64);

/// Whether an owner has the run list of a boot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum RunListState {
    /// No list of the boot was sent.
    #[default]
    Unsent,
    /// The list was sent on this link, and the owner has not accepted it yet.
    Sent(LinkGeneration, ListNumber),
    /// The owner has accepted the list and thereby taken over the runs.
    Accepted(LinkGeneration),
}

impl RunListState {
    /// Returns whether the list was sent on this link.
    pub(crate) fn is_sent_on(self, link: LinkGeneration) -> bool {
        match self {
            Self::Unsent => false,
            Self::Sent(sent_on, _) | Self::Accepted(sent_on) => sent_on == link,
        }
    }

    /// Returns whether the owner has accepted the list on this link.
    pub(crate) fn is_accepted_on(self, link: LinkGeneration) -> bool {
        self == Self::Accepted(link)
    }

    /// Records that the owner has accepted a list on this link; returns whether it is the list that
    /// was sent last. Owners of earlier versions do not name the list.
    pub(crate) fn accept(&mut self, link: LinkGeneration, list: Option<ListNumber>) -> bool {
        let is_last = match *self {
            Self::Sent(sent_on, sent) => sent_on == link && list.is_none_or(|list| list == sent),
            Self::Unsent | Self::Accepted(_) => false,
        };
        if is_last {
            *self = Self::Accepted(link);
        }
        is_last
    }
}

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
    /// `requested_on` was the link.
    pub(crate) fn choose(
        requested_on: Option<LinkGeneration>,
        current: Option<LinkGeneration>,
        state: RunListState,
    ) -> Self {
        match current {
            Some(link) if requested_on != Some(link) => Self::Nothing,
            Some(link) if state.is_sent_on(link) => Self::Changes,
            Some(link) => Self::RunList(link),
            None => Self::Nothing,
        }
    }
}
