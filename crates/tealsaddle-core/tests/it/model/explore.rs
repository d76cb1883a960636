//! Breadth-first search that keeps the shortest way to a violation.

use std::collections::VecDeque;
use std::collections::hash_map::Entry;
use std::fmt::Debug;
use std::hash::Hash;

use tealsaddle_core::collections::HashMap;

/// Steps, each with the state after it or the rule that it breaks.
pub type Successors<M> = Vec<(
    <M as Model>::Step,
    Result<<M as Model>::State, &'static str>,
)>;

/// A model: what can happen next, and what must not.
pub trait Model {
    /// All that can happen is a function of it.
    type State: Clone + Eq + Hash;
    /// One thing that happens.
    type Step: Clone + Debug;

    /// The first state.
    fn initial(&self) -> Self::State;
    /// What can happen next.
    fn next(&self, world: &Self::State) -> Successors<Self>;
}

/// Result of a search.
#[derive(Debug, PartialEq, Eq)]
pub struct Found {
    /// Distinct states.
    pub states: usize,
    /// Longest of the shortest ways to a state.
    pub depth: usize,
    /// The broken rule and the shortest way to it.
    pub violation: Option<(&'static str, Vec<String>)>,
}

/// Searches all states, up to the first violation.
pub fn explore<M>(model: &M) -> Found
where
    M: Model,
{
    // Index of the state before, the step from it, and the depth.
    let mut ways: Vec<(usize, Option<M::Step>, usize)> = vec![(0, None, 0)];
    let mut indexes: HashMap<M::State, usize> = HashMap::default();
    let first = model.initial();
    indexes.insert(first.clone(), 0);
    let mut queue = VecDeque::from([(0, first)]);
    while let Some((index, state)) = queue.pop_front() {
        let depth = ways[index].2 + 1;
        for (step, result) in model.next(&state) {
            match result {
                Err(rule) => {
                    let mut trace = vec![format!("{step:?}")];
                    let mut at = index;
                    while let (before, Some(step), _) = &ways[at] {
                        trace.push(format!("{step:?}"));
                        at = *before;
                    }
                    trace.reverse();
                    return Found {
                        states: ways.len(),
                        depth,
                        violation: Some((rule, trace)),
                    };
                }
                Ok(next) => {
                    if let Entry::Vacant(entry) = indexes.entry(next) {
                        queue.push_back((ways.len(), entry.key().clone()));
                        entry.insert(ways.len());
                        ways.push((index, Some(step), depth));
                    }
                }
            }
        }
    }
    Found {
        states: ways.len(),
        depth: ways.last().map_or(0, |way| way.2),
        violation: None,
    }
}
