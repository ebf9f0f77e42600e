//! Boots of the worker on this machine: which has checked in, which is dead, which is driven.
//!
//! A boot that is driven is never registered a second time: all that runs on it would count as lost,
//! and would be started elsewhere while it runs. Which of two boots lives is told by what answers a
//! call: check-ins may be late, and the time of day by which boots start may step back.

use std::collections::{HashMap, HashSet, VecDeque};
use wax_batch::{BootId, WorkerView};

/// Dead boots that an owner is told: more than one machine has within a term.
const MAX_REPORTED_ENDED: usize = 8;
/// Dead boots that are remembered: more than end within the longest time that a check-in may be late. One that is
/// forgotten gives no answer, and is not driven either.
const MAX_REMEMBERED_ENDED: usize = 256;

/// What a worker says of itself in one check-in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BootReport {
    /// The boot, with its state.
    pub view: WorkerView,
    /// Rises with each check-in of a boot.
    pub sequence: u64,
}

/// What a check-in leads to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CheckInAction {
    /// Its boot is dead: it counts for nothing.
    Ignore,
    /// Its boot is driven: this is news of it.
    Update(BootReport),
    /// Its boot has to answer before it is driven.
    Verify,
}

/// What to do with a boot that has checked in and was not driven then.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CandidateAction {
    /// There is none.
    None,
    /// Ask it, and register it if it answers.
    Verify(BootReport),
    /// It is driven by now: this is news of it.
    Update(BootReport),
}

/// The boots that are known beside the one that is driven.
#[derive(Debug, Default)]
pub struct BootRegistry {
    candidate: Option<BootReport>,
    ended: HashSet<BootId>,
    /// The dead boots, the newest last.
    ended_order: VecDeque<BootId>,
    /// By worker id: the boot that was driven last, and the highest token of its orders.
    last_tokens: HashMap<Box<str>, (BootId, u64)>,
}

impl BootRegistry {
    /// Takes a check-in while the boot `driven` is driven.
    pub fn check_in(&mut self, report: BootReport, active: Option<&BootId>) -> CheckInAction {
        if self.ended.contains(&report.view.boot) {
            return CheckInAction::Ignore;
        }
        if active.is_some_and(|active| active.may_be(&report.view.boot)) {
            return CheckInAction::Update(report);
        }
        self.candidate = Some(report);
        CheckInAction::Verify
    }

    /// Offers a boot again that was driven and must be verified anew.
    pub fn set_candidate(&mut self, report: BootReport) {
        self.candidate = Some(report);
    }

    /// Takes the candidate while the boot `driven` is driven.
    ///
    /// A boot checks in again while its first answer is awaited, and is driven once that has come.
    pub fn take_candidate(&mut self, active: Option<&BootId>) -> CandidateAction {
        match self.candidate.take() {
            Some(report) if self.ended.contains(&report.view.boot) => CandidateAction::None,
            Some(report) if active.is_some_and(|active| active.may_be(&report.view.boot)) => {
                CandidateAction::Update(report)
            }
            Some(report) => CandidateAction::Verify(report),
            None => CandidateAction::None,
        }
    }

    /// Notes that the boot is given orders with this fencing token.
    pub fn note_token(&mut self, boot: &BootId, token: u64) {
        self.last_tokens.retain(|_, (_, known)| *known == token);
        self.last_tokens
            .insert(boot.worker_id().into(), (boot.clone(), token));
    }

    /// Whether orders with this token were meant for an earlier boot of the worker: carried out late, they would
    /// pass on this one.
    pub fn needs_higher_token(&self, boot: &BootId, token: u64) -> bool {
        let last_token = self.last_tokens.get(boot.worker_id());
        last_token.is_some_and(|(known, used)| *used == token && known.is_other_boot(boot))
    }

    /// The boot has ended: its late check-ins count for nothing.
    pub fn note_ended(&mut self, boot: &BootId) {
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

    /// The boots that ended last, for an owner that may wait for one of them.
    pub fn newest_ended(&self) -> impl Iterator<Item = &BootId> {
        self.ended_order.iter().rev().take(MAX_REPORTED_ENDED)
    }

    /// Whether the boot has ended.
    pub fn has_ended(&self, boot: &BootId) -> bool {
        self.ended.contains(boot)
    }
}
