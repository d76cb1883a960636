//! What the platform and the engines of the zone do with actions of its nodes.

use tealsaddle_core::authority::{EngineState, WriteOutcome, order};

use super::*;

impl Sim {
    pub(super) fn write_outcome(&mut self, outcome: WriteOutcome) -> WriteOutcome {
        if self.fault(0.1) {
            WriteOutcome::Unknown
        } else {
            outcome
        }
    }

    pub(super) fn platform(&mut self, node: usize, starts: u32, action: Action) {
        let is_down = self.now < self.down_until;
        // The request goes on travelling while the node already counts its answer as lost.
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
                self.reply(node, starts, event);
            }
            Action::ReadRecord if !is_down => {
                let event = Event::RecordRead(self.record.clone());
                self.reply(node, starts, event);
            }
            Action::WriteLease { if_version, record } => {
                let write_id = record.write_id.clone();
                if is_down || is_late {
                    self.reply(node, starts, unknown(&write_id, true));
                    if is_late {
                        let late = Action::WriteLease { if_version, record };
                        self.after(8 * SECOND, Op::Platform(node, starts, Box::new(late)));
                    }
                    return;
                }
                let outcome = swap(&mut self.lease, if_version, record);
                let outcome = self.write_outcome(outcome);
                self.reply(node, starts, Event::LeaseWrite { write_id, outcome });
            }
            Action::WriteRecord {
                if_version,
                write_id,
                record,
            } => {
                if is_down || is_late {
                    self.reply(node, starts, unknown(&write_id, false));
                    if is_late {
                        let late = Action::WriteRecord {
                            if_version,
                            write_id,
                            record,
                        };
                        self.after(8 * SECOND, Op::Platform(node, starts, Box::new(late)));
                    }
                    return;
                }
                let outcome = swap(&mut self.record, if_version, *record);
                let outcome = self.write_outcome(outcome);
                self.reply(node, starts, Event::RecordWrite { write_id, outcome });
            }
            Action::ProbeAddress { probe, address } => {
                let answers = |i: &usize| {
                    let node = &self.nodes[*i];
                    node.is_up && self::address(*i, node.starts) == address
                };
                let at = (0..3).find(answers);
                let process = at.map(|at| process(at, self.nodes[at].starts));
                self.reply(node, starts, Event::AddressProbed { probe, process });
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
                    starts,
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

    /// An engine receives an order.
    pub(super) fn arrive(&mut self, action: &Action) -> (u64, OrderReply) {
        let Action::SendOrder {
            send,
            engine,
            fence,
            order,
        } = action
        else {
            unreachable!("only orders travel to engines");
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
            assert!(at.requests.is_empty(), "a planned change cuts a request");
            at.changing_to = Some(role);
            let recorded = self
                .record
                .as_ref()
                .and_then(|s| order::entry(&s.record, engine));
            let recorded: Option<&Order> = recorded.and_then(|entry| entry.order.as_ref());
            let id = recorded.map(|recorded| &recorded.order_id);
            assert_eq!(id, Some(&order.order_id), "a stale order takes effect");
            self.after(3 * SECOND, Op::EngineDone(i));
        }
        (*send, OrderReply::Accepted)
    }
}

fn swap<T>(stored: &mut Option<Stored<T>>, if_version: u64, record: T) -> WriteOutcome {
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
