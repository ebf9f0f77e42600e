//! Linearizability checker: searches for an order of the operations, each between its call and its return, that a
//! sequential model allows. Algorithm of Wing and Gong with memoization of visited states.

use std::collections::HashSet;
use std::hash::Hash;

/// Operation as observed by its caller.
#[derive(Debug, Clone)]
pub(crate) struct HistoryEvent<I, O> {
    pub(crate) input: I,
    /// Output of the operation. `None` if the caller does not know the outcome: the operation may have taken
    /// effect at any time after the call, or never.
    pub(crate) output: Option<O>,
    /// Time of the call, in microseconds since the start of the test.
    pub(crate) called: u64,
    /// Time of the return, in the same unit.
    pub(crate) returned: u64,
}

/// Sequential model of an object.
pub(crate) trait HistoryModel {
    type State: Clone + Eq + Hash;
    type Input;
    type Output;

    fn start(&self) -> Self::State;

    /// Returns the next state, or `None` if the operation cannot have this output in this state.
    fn step(
        &self,
        state: &Self::State,
        input: &Self::Input,
        output: &Self::Output,
    ) -> Option<Self::State>;

    /// Returns the possible states after an operation whose outcome is unknown.
    fn step_unknown(&self, state: &Self::State, input: &Self::Input) -> Vec<Self::State>;
}

/// Returns whether the history is linearizable with respect to the model.
pub(crate) fn is_linearizable<M: HistoryModel>(
    model: &M,
    events: &[HistoryEvent<M::Input, M::Output>],
) -> bool {
    assert!(events.len() <= 64, "split the history by key first");
    let mut seen = HashSet::new();
    search(model, events, 0, &model.start(), &mut seen)
}

/// Searches for an order of the operations that are not yet in `done`, which has one bit for each operation.
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
    // An operation may come next only if no other remaining operation returned before it was called.
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
