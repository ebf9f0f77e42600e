//! Registry of the worker's boots: the candidate that has checked in, and the boots that have
//! ended.
//!
//! The active boot must not be registered a second time: all its runs would count as lost and be
//! started elsewhere while they still run. Which of two boots is alive is decided by which one
//! answers a call, because check-ins may be late, and the wall clock that gives the start times may
//! step back.

use std::collections::{HashMap, HashSet, VecDeque};
use wax_batch::{BootId, WorkerView};

/// Number of ended boots that are sent to an owner: more than one VM's worker has within a term.
const MAX_REPORTED_ENDED: usize = 8;
/// Number of ended boots that are remembered: more than end within the longest delay of a check-in.
/// An older ended boot does not become active again either, because it does not answer its
/// verification.
const MAX_REMEMBERED_ENDED: usize = 256;

/// Content of one check-in of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BootReport {
    /// The boot and its state.
    pub view: WorkerView,
    /// Number of the check-in; each boot counts from 1.
    pub sequence: u64,
}

/// What to do after a check-in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CheckInAction {
    /// The boot has ended: ignore its late check-in.
    Ignore,
    /// The boot is active: update its state.
    Update(BootReport),
    /// The boot is not active: verify that it answers first.
    Verify,
}

/// What to do with the candidate, which was not active when it checked in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CandidateAction {
    /// There is no candidate.
    None,
    /// Verify that the candidate answers, and register it then.
    Verify(BootReport),
    /// The candidate has become active meanwhile: update its state.
    Update(BootReport),
}

/// The worker's boots besides the active one.
#[derive(Debug, Default)]
pub struct BootRegistry {
    candidate: Option<BootReport>,
    ended: HashSet<BootId>,
    /// The ended boots in the order of their ends.
    ended_order: VecDeque<BootId>,
    /// Ended boots whose runs may be on the worker's next boot. They are not reported.
    replaced: HashSet<BootId>,
    /// By worker id: the boot that got the last orders, and the highest fencing token of its
    /// orders.
    last_tokens: HashMap<Box<str>, (BootId, u64)>,
}

impl BootRegistry {
    /// Handles a check-in while `active` is the active boot.
    pub fn check_in(&mut self, report: BootReport, active: Option<&BootId>) -> CheckInAction {
        if self.ended.contains(&report.view.boot) {
            return CheckInAction::Ignore;
        }
        if active.is_some_and(|active| active.may_match(&report.view.boot)) {
            return CheckInAction::Update(report);
        }
        self.candidate = Some(report);
        CheckInAction::Verify
    }

    /// Makes a formerly active boot the candidate again, so that it is verified again.
    pub fn set_candidate(&mut self, report: BootReport) {
        self.candidate = Some(report);
    }

    /// Takes the candidate while `active` is the active boot.
    ///
    /// A boot may check in again while it is being verified, so it may be active by the time this
    /// candidate is taken.
    pub fn take_candidate(&mut self, active: Option<&BootId>) -> CandidateAction {
        match self.candidate.take() {
            Some(report) if self.ended.contains(&report.view.boot) => CandidateAction::None,
            Some(report) if active.is_some_and(|active| active.may_match(&report.view.boot)) => {
                CandidateAction::Update(report)
            }
            Some(report) => CandidateAction::Verify(report),
            None => CandidateAction::None,
        }
    }

    /// Records that orders with this fencing token are sent to the boot.
    pub fn note_token(&mut self, boot: &BootId, token: u64) {
        self.last_tokens.retain(|_, (_, last)| *last == token);
        self.last_tokens
            .insert(boot.worker_id().into(), (boot.clone(), token));
    }

    /// Returns whether orders with this token or a higher one were sent to an earlier boot of the
    /// worker. Orders that arrive late would be accepted by the new boot, unless it gets a higher
    /// token first.
    pub fn needs_higher_token(&self, boot: &BootId, token: u64) -> bool {
        let last_token = self.last_tokens.get(boot.worker_id());
        last_token
            .is_some_and(|(last_boot, last)| *last >= token && last_boot.is_different_boot(boot))
    }

    /// Returns whether orders were sent to an earlier boot of the worker.
    pub fn had_earlier_boot(&self, boot: &BootId) -> bool {
        let last_token = self.last_tokens.get(boot.worker_id());
        last_token.is_some_and(|(last_boot, _)| last_boot.is_different_boot(boot))
    }

    /// Records that the boot has ended; its late check-ins are ignored from now on.
    pub fn note_ended(&mut self, boot: &BootId) {
        self.replaced
            .retain(|replaced| replaced.worker_id() != boot.worker_id());
        self.remember_ended(boot);
    }

    /// Records that the boot has ended and that its runs may be on the worker's next boot.
    pub fn note_replaced(&mut self, boot: &BootId) {
        self.replaced.insert(boot.clone());
        self.remember_ended(boot);
    }

    fn remember_ended(&mut self, boot: &BootId) {
        if !self.ended.insert(boot.clone()) {
            return;
        }
        self.ended_order.push_back(boot.clone());
        if self.ended_order.len() > MAX_REMEMBERED_ENDED
            && let Some(oldest) = self.ended_order.pop_front()
        {
            self.ended.remove(&oldest);
        }
    }

    /// Returns the boots that ended last, newest first. A new owner may be waiting for one of them.
    pub fn newest_ended(&self) -> impl Iterator<Item = &BootId> {
        let ended = self.ended_order.iter().rev();
        ended
            .filter(|boot| !self.replaced.contains(*boot))
            .take(MAX_REPORTED_ENDED)
    }

    /// Returns whether the boot is known to have ended.
    pub fn has_ended(&self, boot: &BootId) -> bool {
        self.ended.contains(boot)
    }
}
