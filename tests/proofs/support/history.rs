//! A small checker of histories: is there an order of the operations, each between its call and
//! its return, that the model allows? After Wing and Gong, with memory of states seen.

use std::collections::HashSet;
use std::hash::Hash;

/// One operation as its caller saw it.
#[derive(Debug, Clone)]
pub(crate) struct HistoryEvent<I, O> {
    pub(crate) input: I,
    /// `None` where the caller does not know the outcome: it may have taken effect at any later
    /// time, or never.
    pub(crate) output: Option<O>,
    /// Microseconds.
    pub(crate) called: u64,
    pub(crate) returned: u64,
}

/// What an operation may do to a state.
pub(crate) trait HistoryModel {
    type State: Clone + Eq + Hash;
    type Input;
    type Output;

    fn start(&self) -> Self::State;

    /// The state after the operation if it may give this output in this state.
    fn step(
        &self,
        state: &Self::State,
        input: &Self::Input,
        output: &Self::Output,
    ) -> Option<Self::State>;

    /// The states after an operation whose outcome is not known.
    fn step_unknown(&self, state: &Self::State, input: &Self::Input) -> Vec<Self::State>;
}

/// Whether the model allows the history.
pub(crate) fn is_linearizable<M: HistoryModel>(
    model: &M,
    events: &[HistoryEvent<M::Input, M::Output>],
) -> bool {
    assert!(events.len() <= 64, "split the history by key first");
    let mut seen = HashSet::new();
    search(model, events, 0, &model.start(), &mut seen)
}

fn search<M: HistoryModel>(
    model: &M,
    events: &[HistoryEvent<M::Input, M::Output>],
    done: u64,
    state: &M::State,
    seen: &mut HashSet<(u64, M::State)>,
) -> bool {
    let open = |index: usize| done & (1 << index) == 0;
    let has_known_outcome_left = events
        .iter()
        .enumerate()
        .any(|(index, event)| open(index) && event.output.is_some());
    if !has_known_outcome_left {
        return true;
    }
    if !seen.insert((done, state.clone())) {
        return false;
    }
    // An operation may come first only if no other open one returned before it was called.
    let earliest_return = events
        .iter()
        .enumerate()
        .filter(|(index, event)| open(*index) && event.output.is_some())
        .map(|(_, event)| event.returned)
        .min()
        .unwrap_or(u64::MAX);
    for (index, event) in events.iter().enumerate() {
        if !open(index) || event.called > earliest_return {
            continue;
        }
        let next = match &event.output {
            Some(output) => model
                .step(state, &event.input, output)
                .into_iter()
                .collect(),
            None => model.step_unknown(state, &event.input),
        };
        for state in next {
            if search(model, events, done | (1 << index), &state, seen) {
                return true;
            }
        }
    }
    false
}
