//! Decides whether a task fits on a worker, and at what cost.

use crate::reasons::WaitReason;
use crate::scheduler::WorkerRecord;
use crate::spec::{StepSpec, TaskSize};
use crate::worker::WorkerState;
use wax_policy::{InterferenceEstimate, InterferenceTable, PlacementRules};
use wax_types::TimePoint;

impl WorkerRecord {
    /// Returns the capacity that is not reserved.
    pub fn free_capacity(&self) -> TaskSize {
        self.view.capacity.minus(self.reserved)
    }

    /// Returns the share of the worker's processors that is reserved.
    pub(crate) fn reserved_share(&self) -> f64 {
        f64::from(self.reserved.cpu_milli) / f64::from(self.view.capacity.cpu_milli.max(1))
    }

    /// Returns why the worker accepts no tasks of the step at all; `None` if it accepts them.
    fn rejection_reason(
        &self,
        service: &str,
        step: &StepSpec,
        now: TimePoint,
    ) -> Option<WaitReason> {
        let label = step.label.as_ref();
        if *self.view.service != *service {
            Some(WaitReason::NoWorker)
        } else if label.is_some_and(|label| !self.view.labels.contains(label)) {
            Some(WaitReason::Label)
        } else if self.view.state != WorkerState::Ready
            || !self.reachable
            || now < self.excluded_until
        {
            Some(WaitReason::NotReady)
        } else if !self.start_limit.allows_start(&self.runs, now) {
            Some(WaitReason::Unanswered)
        } else if self.drained {
            Some(WaitReason::Drained)
        } else {
            None
        }
    }

    /// Returns whether the worker accepts tasks of the step at all, regardless of its free
    /// capacity.
    pub(crate) fn accepts(&self, service: &str, step: &StepSpec, now: TimePoint) -> bool {
        self.rejection_reason(service, step, now).is_none()
    }

    /// Returns whether one more task of the step fits here; `best_effort_limit` is the multiple of
    /// the spare processors that best-effort tasks may request.
    pub(crate) fn can_fit(
        &self,
        service: &str,
        step: &StepSpec,
        (best_effort_limit, rules): (f64, &PlacementRules),
        now: TimePoint,
    ) -> bool {
        self.placement_obstacle(service, step, (best_effort_limit, rules), now)
            .is_none()
    }

    /// Returns why one more task of the step does not fit here; see [`WorkerRecord::can_fit`].
    pub(crate) fn placement_obstacle(
        &self,
        service: &str,
        step: &StepSpec,
        (best_effort_limit, rules): (f64, &PlacementRules),
        now: TimePoint,
    ) -> Option<WaitReason> {
        if let Some(reason) = self.rejection_reason(service, step, now) {
            return Some(reason);
        }
        if !step.reserved().fits(self.free_capacity()) {
            return Some(WaitReason::Capacity);
        }
        let available = self.best_effort_available_milli(best_effort_limit, rules);
        (step.best_effort && available < f64::from(step.size.cpu_milli))
            .then_some(WaitReason::Spare)
    }

    /// Returns the processors that best-effort tasks may still request, in thousandths of a core.
    fn best_effort_available_milli(&self, best_effort_limit: f64, rules: &PlacementRules) -> f64 {
        let long_running = f64::from(self.long_running_milli);
        let other_reserved = f64::from(self.reserved.cpu_milli) - long_running;
        let available = f64::from(self.view.capacity.cpu_milli)
            - other_reserved
            - long_running * rules.long_running_use;
        available * best_effort_limit - f64::from(self.best_effort_milli)
    }

    /// Returns the expected interference between one more task of the step and the serving tasks on
    /// this worker.
    pub(crate) fn interference_estimate(
        &self,
        step: &StepSpec,
        pairs: &InterferenceTable,
        rules: &PlacementRules,
    ) -> InterferenceEstimate {
        let cpu_milli = step.size.cpu_milli;
        self.interference
            .estimate(pairs, &step.image, cpu_milli, rules.negligible_interference)
    }

    /// Returns whether one more task of the step would run at least at `min_pace` here.
    pub(crate) fn can_keep_pace(
        &self,
        step: &StepSpec,
        min_pace: f64,
        pairs: &InterferenceTable,
        rules: &PlacementRules,
    ) -> bool {
        !step.best_effort || self.interference_estimate(step, pairs, rules).pace >= min_pace
    }

    /// Returns the expected pace of one more task of the step here: the share of its full speed, 0
    /// to 1.
    pub(crate) fn pace_for(
        &self,
        step: &StepSpec,
        pairs: &InterferenceTable,
        rules: &PlacementRules,
    ) -> f64 {
        match step.best_effort {
            true => self.interference_estimate(step, pairs, rules).pace,
            false => 1.0,
        }
    }

    /// Returns the share of the long-running tasks here that have another image.
    fn other_image_share(&self, image: &str) -> f64 {
        let serving = self.interference.serving();
        let all: u32 = serving.values().sum();
        let own = serving.get(image).copied().unwrap_or(0);
        f64::from(all - own) / f64::from(all.max(1))
    }

    /// Returns the cost of placing one more task of the step here, in shares of the worker's
    /// processors.
    pub(crate) fn cost(
        &self,
        step: &StepSpec,
        rack: Option<&str>,
        pairs: &InterferenceTable,
        rules: &PlacementRules,
    ) -> f64 {
        let capacity = f64::from(self.view.capacity.cpu_milli.max(1));
        let used = f64::from(self.reserved.cpu_milli)
            - f64::from(self.long_running_milli) * (1.0 - rules.long_running_use)
            + f64::from(self.best_effort_milli);
        let mut cost = (used + f64::from(step.size.cpu_milli)) / capacity;
        if step.best_effort {
            let estimate = self.interference_estimate(step, pairs, rules);
            cost += rules.slow_pace_cost * (1.0 - estimate.pace)
                + rules.interference_cost * estimate.headroom_share;
        }
        if step.long_running {
            // Long-running tasks of one image share workers, and fill a worker before they start on
            // an empty one. This leaves other workers to best-effort tasks that interfere with the
            // image.
            cost = 1.0 - cost + rules.other_image_cost * self.other_image_share(&step.image);
            if self.interference.serving().is_empty() {
                cost += rules.first_long_running_cost;
            }
        }
        if rack.is_some() && rack != self.view.rack.as_deref() {
            cost += match step.one_rack {
                true => rules.rack_split_cost,
                false => rules.other_rack_cost,
            };
        }
        if self.view.cold_ms > 0 {
            cost += rules.cold_worker_cost;
        }
        cost
    }
}
