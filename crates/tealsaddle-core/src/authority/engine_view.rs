//! The holder's observations of one engine, which are not part of the zone record.

use crate::drain::Drain;
use crate::inventory::Role;

use super::event::EngineState;
use super::order::Phase;

/// State of the recorded order for which the observations of a view are valid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Stage {
    pub(super) order_id: String,
    pub(super) phase: Phase,
    /// Whether the record lists this process as a sender of the order.
    pub(super) is_sender: bool,
}

/// Observations of one engine, valid for one stage of its order.
#[derive(Debug, Clone, Default)]
pub(super) struct EngineView {
    pub(super) stage: Option<Stage>,
    pub(super) drain: Option<Drain>,
    /// Role in the last load report, which may be outdated.
    pub(super) reported_role: Option<Role>,
    /// Result of a state query that was started in this stage and after the last send.
    state: Option<EngineState>,
    /// Lowest query id whose result is accepted.
    first_valid_query: u64,
    /// Time of the last state query, or of the last send that the engine did not accept.
    pub(super) queried_at_us: Option<u64>,
    /// Time since when copies of older orders have blocked different orders for the engine.
    pub(super) unreleased_since_us: Option<u64>,
    /// Whether the engine accepted the recorded order from this process under the current epoch.
    pub(super) has_accepted: bool,
}

impl EngineView {
    /// Discards the observed state and the results of all queries before `next_query`.
    pub(super) fn discard_state(&mut self, next_query: u64) {
        self.state = None;
        self.first_valid_query = next_query;
        self.queried_at_us = None;
    }

    /// Switches to another stage of the recorded order and discards observations of the previous
    /// one.
    ///
    /// The drain is kept if the order is the same.
    pub(super) fn enter_stage(&mut self, stage: Option<Stage>, next_query: u64) {
        let is_same_order = match (&self.stage, &stage) {
            (Some(old), Some(new)) => old.order_id == new.order_id,
            _ => false,
        };
        if !is_same_order {
            self.drain = None;
            self.has_accepted = false;
        }
        self.stage = stage;
        self.discard_state(next_query);
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
