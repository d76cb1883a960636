//! What the holder knows about one engine besides the record.

use crate::drain::Drain;
use crate::inventory::Role;

use super::event::EngineState;
use super::order::Phase;

/// The recorded order that the rest of a view belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Stage {
    pub(super) order_id: String,
    pub(super) phase: Phase,
    /// Whether this process may send the order.
    pub(super) is_sender: bool,
}

/// Observations of one engine, valid for one stage of its order.
#[derive(Debug, Clone, Default)]
pub(super) struct EngineView {
    pub(super) stage: Option<Stage>,
    pub(super) drain: Option<Drain>,
    /// Role in the last load report, which may be old.
    pub(super) reported_role: Option<Role>,
    /// Answer to a query that was asked in this stage and after the last send.
    state: Option<EngineState>,
    /// Lowest query whose answer counts.
    first_valid_query: u64,
    pub(super) asked_at_us: Option<u64>,
    /// Since when older orders have kept different ones from the engine.
    pub(super) unreleased_since_us: Option<u64>,
    /// The engine took the recorded order from this process under the current epoch.
    pub(super) has_accepted: bool,
}

impl EngineView {
    /// Drops what was observed before `next_query` is asked.
    pub(super) fn forget_state(&mut self, next_query: u64) {
        self.state = None;
        self.first_valid_query = next_query;
        self.asked_at_us = None;
    }

    /// Goes over to another stage of the recorded order.
    pub(super) fn enter(&mut self, stage: Option<Stage>, next_query: u64) {
        let is_same_order = match (&self.stage, &stage) {
            (Some(old), Some(new)) => old.order_id == new.order_id,
            _ => false,
        };
        if !is_same_order {
            self.drain = None;
            self.has_accepted = false;
        }
        self.stage = stage;
        self.forget_state(next_query);
    }

    pub(super) fn on_state(&mut self, query: u64, state: EngineState) {
        if query >= self.first_valid_query {
            self.first_valid_query = query;
            self.state = Some(state);
        }
    }

    pub(super) const fn state(&self) -> Option<&EngineState> {
        self.state.as_ref()
    }
}
