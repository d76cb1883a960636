//! Simulated platform and engines, which apply the actions of the nodes.

use tealsaddle_core::authority::{EngineState, WriteOutcome, order};

use super::*;

impl Sim {
    /// Replaces an outcome by an unknown one if the answer is lost.
    pub(super) fn write_outcome(&mut self, outcome: WriteOutcome) -> WriteOutcome {
        if self.fault(0.1) {
            WriteOutcome::Unknown
        } else {
            outcome
        }
    }

    /// Applies an action of a node to the platform or the engines.
    pub(super) fn apply_action(&mut self, node: usize, incarnation: u32, action: Action) {
        let is_down = self.now_us < self.down_until_us;
        // A late request is still in transit when the node already considers its answer lost.
        let is_late = !is_down && self.fault(0.05);
        let unknown = |write_id: &str, is_lease| {
            let (write_id, outcome) = (write_id.to_owned(), WriteOutcome::Unknown);
            if is_lease {
                Event::LeaseWrite { write_id, outcome }
            } else {
                Event::RecordWrite { write_id, outcome }
            }
        };
        match action {
            Action::ReadLease if !is_down => {
                let event = Event::LeaseRead(self.lease.clone());
                self.reply(node, incarnation, event);
            }
            Action::ReadRecord if !is_down => {
                let event = Event::RecordRead(self.record.clone());
                self.reply(node, incarnation, event);
            }
            Action::WriteLease { if_version, record } => {
                let write_id = record.write_id.clone();
                if is_down || is_late {
                    self.reply(node, incarnation, unknown(&write_id, true));
                    if is_late {
                        let late = Action::WriteLease { if_version, record };
                        self.schedule(8 * SECOND_US, Op::Apply(node, incarnation, Box::new(late)));
                    }
                    return;
                }
                let outcome = compare_and_swap(&mut self.lease, if_version, record);
                let outcome = self.write_outcome(outcome);
                self.reply(node, incarnation, Event::LeaseWrite { write_id, outcome });
            }
            Action::WriteRecord {
                if_version,
                write_id,
                record,
            } => {
                if is_down || is_late {
                    self.reply(node, incarnation, unknown(&write_id, false));
                    if is_late {
                        let late = Action::WriteRecord {
                            if_version,
                            write_id,
                            record,
                        };
                        self.schedule(8 * SECOND_US, Op::Apply(node, incarnation, Box::new(late)));
                    }
                    return;
                }
                let outcome = compare_and_swap(&mut self.record, if_version, *record);
                let outcome = self.write_outcome(outcome);
                self.reply(node, incarnation, Event::RecordWrite { write_id, outcome });
            }
            Action::ProbeAddress { probe, address } => {
                let answers = |i: &usize| {
                    let node = &self.nodes[*i];
                    node.is_up && self::address(*i, node.incarnation) == address
                };
                let at = (0..3).find(answers);
                let process = at.map(|at| process(at, self.nodes[at].incarnation));
                self.reply(node, incarnation, Event::AddressProbed { probe, process });
            }
            Action::QueryState { engine, query } => {
                let at = &self.engines[index(&engine)];
                let state = EngineState {
                    role: at.role,
                    is_changing: at.changing_to.is_some(),
                    models: Vec::new(),
                    last_order_id: at.last_order_id.clone(),
                    fence: at.fence,
                };
                self.reply(
                    node,
                    incarnation,
                    Event::StateReport {
                        engine,
                        query,
                        state,
                    },
                );
            }
            _ => {}
        }
    }

    /// Handles an order that arrives at an engine.
    pub(super) fn receive_order(&mut self, action: &Action) -> (u64, OrderReply) {
        let Action::SendOrder {
            send,
            engine,
            fence,
            order,
        } = action
        else {
            unreachable!("only orders are sent to engines");
        };
        let i = index(engine);
        let role = order.role.parse().expect("only roles are ordered here");
        let at = &mut self.engines[i];
        if i == 1 && *fence < at.fence {
            return (*send, OrderReply::StaleFence);
        }
        at.fence = at.fence.max(*fence);
        if let Some(changing_to) = at.changing_to {
            assert_eq!(
                changing_to, role,
                "the engine receives two conflicting orders"
            );
            return (*send, OrderReply::Busy);
        }
        at.last_order_id.clone_from(&order.order_id);
        if at.role != role {
            assert!(
                at.requests.is_empty(),
                "a planned change interrupts a request"
            );
            at.changing_to = Some(role);
            let recorded = self
                .record
                .as_ref()
                .and_then(|s| order::entry(&s.record, engine));
            let recorded: Option<&Order> = recorded.and_then(|entry| entry.order.as_ref());
            let id = recorded.map(|recorded| &recorded.order_id);
            assert_eq!(id, Some(&order.order_id), "a stale order takes effect");
            self.schedule(3 * SECOND_US, Op::EngineDone(i));
        }
        (*send, OrderReply::Accepted)
    }
}

/// Writes `record` if the stored version is `if_version`.
fn compare_and_swap<T>(stored: &mut Option<Stored<T>>, if_version: u64, record: T) -> WriteOutcome {
    let version = stored.as_ref().map_or(0, |stored| stored.version);
    if version != if_version {
        return WriteOutcome::Conflict;
    }
    *stored = Some(Stored {
        version: version + 1,
        record,
    });
    WriteOutcome::Written(version + 1)
}
