//! Whether a task fits a worker, and at what cost.

use crate::book::WorkerLife;
use crate::spec::{StepSpec, TaskSize};
use crate::why::WaitReason;
use crate::worker::WorkerState;
use wax_policy::{InterferenceEstimate, InterferenceTable, PlacementRules};
use wax_types::TimePoint;

impl WorkerLife {
    /// What is not booked.
    pub fn room(&self) -> TaskSize {
        self.view.capacity.minus(self.booked)
    }

    /// The share of its processors that is booked.
    pub(crate) fn booked_share(&self) -> f64 {
        f64::from(self.booked.cpu_milli) / f64::from(self.view.capacity.cpu_milli.max(1))
    }

    /// Why it takes no tasks of the step at all now; `None` if it does.
    fn refusal(&self, service: &str, step: &StepSpec, now: TimePoint) -> Option<WaitReason> {
        let label = step.label.as_ref();
        if *self.view.service != *service {
            Some(WaitReason::NoWorker)
        } else if label.is_some_and(|label| !self.view.labels.contains(label)) {
            Some(WaitReason::Label)
        } else if self.view.state != WorkerState::Ready
            || !self.reachable
            || now < self.shunned_until
        {
            Some(WaitReason::NotReady)
        } else if self.drained {
            Some(WaitReason::Drained)
        } else {
            None
        }
    }

    /// Whether it takes tasks of the step at all now.
    pub(crate) fn takes(&self, service: &str, step: &StepSpec, now: TimePoint) -> bool {
        self.refusal(service, step, now).is_none()
    }

    /// Whether one more task of the step fits here now; `fill_limit` bounds what fills ask for.
    pub(crate) fn has_room(
        &self,
        service: &str,
        step: &StepSpec,
        (fill_limit, rules): (f64, &PlacementRules),
        now: TimePoint,
    ) -> bool {
        self.obstacle(service, step, (fill_limit, rules), now)
            .is_none()
    }

    /// Why one more task of the step does not fit here now; see [`WorkerLife::has_room`].
    pub(crate) fn obstacle(
        &self,
        service: &str,
        step: &StepSpec,
        (fill_limit, rules): (f64, &PlacementRules),
        now: TimePoint,
    ) -> Option<WaitReason> {
        if let Some(refusal) = self.refusal(service, step, now) {
            return Some(refusal);
        }
        if !step.booked().fits(self.room()) {
            return Some(WaitReason::Capacity);
        }
        let left = self.fill_room_milli(fill_limit, rules);
        (step.fills && left < f64::from(step.size.cpu_milli)).then_some(WaitReason::Spare)
    }

    /// Thousandths of a core that are left to tasks that fill.
    fn fill_room_milli(&self, fill_limit: f64, rules: &PlacementRules) -> f64 {
        let lasting = f64::from(self.lasting_milli);
        let batch = f64::from(self.booked.cpu_milli) - lasting;
        let left =
            f64::from(self.view.capacity.cpu_milli) - batch - lasting * rules.long_running_use;
        left * fill_limit - f64::from(self.filling_milli)
    }

    /// How one more task of the step would fare beside what serves here.
    pub(crate) fn press_choice(
        &self,
        step: &StepSpec,
        pairs: &InterferenceTable,
        rules: &PlacementRules,
    ) -> InterferenceEstimate {
        let cpu_milli = step.size.cpu_milli;
        self.press
            .estimate(pairs, &step.image, cpu_milli, rules.negligible_interference)
    }

    /// Whether one more task of the step would work here at this pace at least.
    pub(crate) fn bears(
        &self,
        step: &StepSpec,
        least_pace: f64,
        pairs: &InterferenceTable,
        rules: &PlacementRules,
    ) -> bool {
        !step.fills || self.press_choice(step, pairs, rules).pace >= least_pace
    }

    /// The pace that one more task of the step would be left here, 0 to 1.
    pub(crate) fn pace_for(
        &self,
        step: &StepSpec,
        pairs: &InterferenceTable,
        rules: &PlacementRules,
    ) -> f64 {
        match step.fills {
            true => self.press_choice(step, pairs, rules).pace,
            false => 1.0,
        }
    }

    /// The share of lasting runs here that are of another image.
    fn strangers(&self, image: &str) -> f64 {
        let serving = self.press.serving();
        let all: u32 = serving.values().sum();
        let own = serving.get(image).copied().unwrap_or(0);
        f64::from(all - own) / f64::from(all.max(1))
    }

    /// The cost of one more task of the step, in shares of the worker's processors.
    pub(crate) fn cost(
        &self,
        step: &StepSpec,
        rack: Option<&str>,
        pairs: &InterferenceTable,
        rules: &PlacementRules,
    ) -> f64 {
        let capacity = f64::from(self.view.capacity.cpu_milli.max(1));
        let used = f64::from(self.booked.cpu_milli)
            - f64::from(self.lasting_milli) * (1.0 - rules.long_running_use)
            + f64::from(self.filling_milli);
        let mut cost = (used + f64::from(step.size.cpu_milli)) / capacity;
        if step.fills {
            let choice = self.press_choice(step, pairs, rules);
            cost += rules.slow_pace_cost * (1.0 - choice.pace)
                + rules.interference_cost * choice.headroom_share;
        }
        if step.lasts {
            // Lasting tasks of one image keep together, and fill a worker before they open another:
            // so other workers are left to what presses on the image.
            cost = 1.0 - cost + rules.other_image_cost * self.strangers(&step.image);
            if self.press.serving().is_empty() {
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
