//! Breadth-first search of a model, which returns the shortest path to a violation.

use std::collections::VecDeque;
use std::collections::hash_map::Entry;
use std::fmt::Debug;
use std::hash::Hash;

use tealsaddle_core::collections::HashMap;

/// Possible steps, each with the resulting state or the rule that the step breaks.
pub type Successors<M> = Vec<(
    <M as Model>::Step,
    Result<<M as Model>::State, &'static str>,
)>;

/// A model: its initial state and the possible steps from each state.
pub trait Model {
    /// State, which alone determines the possible steps.
    type State: Clone + Eq + Hash;
    /// A transition between states.
    type Step: Clone + Debug;

    /// Returns the initial state.
    fn initial(&self) -> Self::State;
    /// Returns the possible steps from a state.
    fn next(&self, state: &Self::State) -> Successors<Self>;
}

/// Result of a search.
#[derive(Debug, PartialEq, Eq)]
pub struct Exploration {
    /// Number of distinct states.
    pub states: usize,
    /// Number of steps to the violation or, without one, to the state that is farthest from the
    /// initial state.
    pub depth: usize,
    /// The broken rule and the shortest path to the violation.
    pub violation: Option<(&'static str, Vec<String>)>,
}

/// Searches all states, up to the first violation.
pub fn explore<M>(model: &M) -> Exploration
where
    M: Model,
{
    // For each state: the index of its predecessor, the step from the predecessor, and the depth.
    let mut nodes: Vec<(usize, Option<M::Step>, usize)> = vec![(0, None, 0)];
    let mut indexes: HashMap<M::State, usize> = HashMap::default();
    let first = model.initial();
    indexes.insert(first.clone(), 0);
    let mut queue = VecDeque::from([(0, first)]);
    while let Some((index, state)) = queue.pop_front() {
        let depth = nodes[index].2 + 1;
        for (step, result) in model.next(&state) {
            match result {
                Err(rule) => {
                    let mut trace = vec![format!("{step:?}")];
                    let mut at = index;
                    while let (before, Some(step), _) = &nodes[at] {
                        trace.push(format!("{step:?}"));
                        at = *before;
                    }
                    trace.reverse();
                    return Exploration {
                        states: nodes.len(),
                        depth,
                        violation: Some((rule, trace)),
                    };
                }
                Ok(next) => {
                    if let Entry::Vacant(entry) = indexes.entry(next) {
                        queue.push_back((nodes.len(), entry.key().clone()));
                        entry.insert(nodes.len());
                        nodes.push((index, Some(step), depth));
                    }
                }
            }
        }
    }
    Exploration {
        states: nodes.len(),
        depth: nodes.last().map_or(0, |node| node.2),
        violation: None,
    }
}
