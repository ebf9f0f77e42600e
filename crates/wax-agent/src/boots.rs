//! Boots of the worker on this machine: which has checked in, which is dead, which is driven.
//!
//! A boot that is driven is never registered a second time: all that runs on it would count as lost,
//! and would be started elsewhere while it runs. Which of two boots lives is told by what answers a
//! call: check-ins may be late, and the time of day by which boots start may step back.

use std::collections::{HashMap, HashSet, VecDeque};
use wax_batch::{BootId, WorkerView};

/// Dead boots that an owner is told: more than one machine has within a term.
const MOST_TOLD: usize = 8;
/// Dead boots that are remembered: more than end within the longest time that a check-in may be late. One that is
/// forgotten gives no answer, and is not driven either.
const MOST_DEAD: usize = 256;

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
pub enum CheckInStep {
    /// Its boot is dead: it counts for nothing.
    Dead,
    /// Its boot is driven: this is news of it.
    Update(BootReport),
    /// Its boot has to answer before it is driven.
    Verify,
}

/// What to do with a boot that has checked in and was not driven then.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CandidateStep {
    /// There is none.
    None,
    /// Ask it, and register it if it answers.
    Verify(BootReport),
    /// It is driven by now: this is news of it.
    Update(BootReport),
}

/// The boots that are known beside the one that is driven.
#[derive(Debug, Default)]
pub struct BootWatch {
    candidate: Option<BootReport>,
    dead: HashSet<BootId>,
    /// The dead boots, the newest last.
    buried: VecDeque<BootId>,
    /// By worker id: the boot that was driven last, and the highest token of its orders.
    ordered: HashMap<Box<str>, (BootId, u64)>,
}

impl BootWatch {
    /// Takes a check-in while the boot `driven` is driven.
    pub fn check_in(&mut self, report: BootReport, driven: Option<&BootId>) -> CheckInStep {
        if self.dead.contains(&report.view.boot) {
            return CheckInStep::Dead;
        }
        if driven.is_some_and(|driven| driven.may_match(&report.view.boot)) {
            return CheckInStep::Update(report);
        }
        self.candidate = Some(report);
        CheckInStep::Verify
    }

    /// Offers a boot again that was driven and must be verified anew.
    pub fn offer(&mut self, report: BootReport) {
        self.candidate = Some(report);
    }

    /// Takes the candidate while the boot `driven` is driven.
    ///
    /// A boot checks in again while its first answer is awaited, and is driven once that has come.
    pub fn take_candidate(&mut self, driven: Option<&BootId>) -> CandidateStep {
        match self.candidate.take() {
            Some(report) if self.dead.contains(&report.view.boot) => CandidateStep::None,
            Some(report) if driven.is_some_and(|driven| driven.may_match(&report.view.boot)) => {
                CandidateStep::Update(report)
            }
            Some(report) => CandidateStep::Verify(report),
            None => CandidateStep::None,
        }
    }

    /// Notes that the boot is given orders with this fencing token.
    pub fn note_token(&mut self, boot: &BootId, token: u64) {
        self.ordered.retain(|_, (_, known)| *known == token);
        self.ordered
            .insert(boot.worker_id().into(), (boot.clone(), token));
    }

    /// Whether orders with this token were meant for an earlier boot of the worker: carried out late, they would
    /// pass on this one.
    pub fn needs_token(&self, boot: &BootId, token: u64) -> bool {
        let ordered = self.ordered.get(boot.worker_id());
        ordered.is_some_and(|(known, used)| *used == token && known.is_different_boot(boot))
    }

    /// The boot has ended: its late check-ins count for nothing.
    pub fn bury(&mut self, boot: &BootId) {
        if !self.dead.insert(boot.clone()) {
            return;
        }
        self.buried.push_back(boot.clone());
        if self.buried.len() > MOST_DEAD
            && let Some(oldest) = self.buried.pop_front()
        {
            self.dead.remove(&oldest);
        }
    }

    /// The boots that ended last, for an owner that may wait for one of them.
    pub fn newest_dead(&self) -> impl Iterator<Item = &BootId> {
        self.buried.iter().rev().take(MOST_TOLD)
    }

    /// Whether the boot has ended.
    pub fn is_dead(&self, boot: &BootId) -> bool {
        self.dead.contains(boot)
    }
}
