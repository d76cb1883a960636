//! The latest changes that this node has heard of, for nodes that hear of them from this one.

use std::collections::VecDeque;

use crate::external::Change;

/// Number of changes that are kept. A node that lacks more lists all keys.
const MAX_CHANGES: usize = 1_024;
/// Largest size of the values that are kept: configurations may be long.
const MAX_VALUE_BYTES: usize = 512 << 10;

/// How far the store's keys are known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// Revision up to which all changes are known.
    pub revision: u64,
    /// Era of the store at that revision; `None` if it does not tell.
    pub era: Option<u64>,
}

/// The latest changes of the keys that nodes follow, without gaps.
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// How far this node knows the keys; `None` before the first listing.
    position: Option<Position>,
    /// Revision after which the log has all changes.
    begin_revision: u64,
    changes: VecDeque<Change>,
    /// Size of their values.
    value_bytes: usize,
}

impl ChangeLog {
    /// How far this node knows the keys.
    pub const fn position(&self) -> Option<Position> {
        self.position
    }

    /// Begins again after a listing.
    pub fn restart(&mut self, position: Position) {
        self.position = Some(position);
        self.begin_revision = position.revision;
        self.changes.clear();
        self.value_bytes = 0;
    }

    /// Adds changes up to a revision. Earlier ones have no effect.
    pub fn extend(&mut self, changes: Vec<Change>, revision: u64) {
        let Some(position) = &mut self.position else {
            return;
        };
        let known = position.revision;
        position.revision = known.max(revision);
        let new = changes
            .into_iter()
            .filter(|change| change.revision() > known);
        for change in new {
            self.value_bytes += value_bytes(&change);
            self.changes.push_back(change);
        }
        while self.changes.len() > MAX_CHANGES || self.value_bytes > MAX_VALUE_BYTES {
            let Some(dropped) = self.changes.pop_front() else {
                return;
            };
            self.value_bytes -= value_bytes(&dropped);
            self.begin_revision = dropped.revision();
        }
    }

    /// The changes after a position; `None` if some are missing here.
    pub fn since(&self, position: Position) -> Option<impl Iterator<Item = &Change>> {
        let own = self.position?;
        let after = position.revision;
        let is_complete = own.era == position.era && after >= self.begin_revision;
        let changes = self.changes.iter().filter(move |c| c.revision() > after);
        is_complete.then_some(changes)
    }
}

/// Size of a change's value.
pub fn value_bytes(change: &Change) -> usize {
    match change {
        Change::Put(item) => item.value.len(),
        Change::Removed { .. } => 0,
    }
}
