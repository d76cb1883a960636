//! Reads and writes the zone record, including takeover, recovery from lost responses, and release.

use tealsaddle_schema::record::ZoneRecord;

use super::event::{Action, Stored, WriteOutcome};
use super::order;
use super::release::{is_unreleased, release_own_entries};
use super::takeover::take_over;
use super::{Authority, HolderState, PendingWrite, RETRY_INTERVAL_US, is_due};
use crate::decision::{Decision, DecisionKind};

impl Authority {
    pub(super) fn on_record_read(
        &mut self,
        stored: Option<Stored<ZoneRecord>>,
        now_us: u64,
        actions: &mut Vec<Action>,
    ) {
        let stored = stored.unwrap_or_else(|| Stored {
            version: 0,
            record: ZoneRecord::default(),
        });
        if self
            .record
            .as_ref()
            .is_some_and(|r| r.version > stored.version)
        {
            return;
        }
        if let Some(write) = self.record_write.take_if(|write| write.is_outcome_unknown)
            && write.record.write_id == stored.record.write_id
        {
            actions.extend(write.decisions.into_iter().map(Action::EmitDecision));
        }
        self.adopt(stored, now_us, actions);
    }

    pub(super) fn on_record_write(
        &mut self,
        write_id: &str,
        outcome: WriteOutcome,
        now_us: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut write) = self.record_write.take_if(|write| write.id == write_id) else {
            return;
        };
        match outcome {
            WriteOutcome::Written(version) => {
                actions.extend(write.decisions.into_iter().map(Action::EmitDecision));
                if self.record.as_ref().is_none_or(|r| r.version < version) {
                    let record = write.record;
                    self.adopt(Stored { version, record }, now_us, actions);
                }
            }
            WriteOutcome::Conflict => {
                self.conflict_version = Some(write.if_version);
                self.read_record(now_us, actions);
            }
            WriteOutcome::Unknown => {
                // The write may still take effect after the next read. This is safe: the next write
                // compares the version that was read, so at most one of the two writes succeeds.
                write.is_outcome_unknown = true;
                self.record_write = Some(write);
                self.read_record(now_us, actions);
            }
        }
    }

    /// Makes `stored` the current record and updates the state of this process accordingly.
    fn adopt(&mut self, mut stored: Stored<ZoneRecord>, now_us: u64, actions: &mut Vec<Action>) {
        order::sort_entries(&mut stored.record);
        let epoch = stored.record.epoch;
        let is_mine = stored.record.holder.as_ref() == Some(&self.identity.process);
        self.record = Some(stored);
        match self.state {
            HolderState::Holder(held) if epoch > held => {
                self.step_down("the zone record carries a higher epoch", now_us, actions);
            }
            HolderState::Candidate(candidate_epoch) if epoch == candidate_epoch && is_mine => {
                self.state = HolderState::Holder(candidate_epoch);
                self.last_held_epoch = candidate_epoch;
                self.views.clear();
                actions.push(Action::EmitDecision(Self::decision(
                    DecisionKind::Lease,
                    &self.identity.zone,
                    "holder",
                    format!("the zone record carries epoch {candidate_epoch} of this process"),
                    now_us,
                )));
            }
            HolderState::Candidate(candidate_epoch) if epoch >= candidate_epoch => {
                self.step_down("the zone record carries a higher epoch", now_us, actions);
            }
            _ => {}
        }
    }

    fn read_record(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        self.record_read_at_us = Some(now_us);
        actions.push(Action::ReadRecord);
    }

    /// Returns whether this process was a holder and may be a sender or in an unreleased list.
    pub(super) fn must_release(&self) -> bool {
        if self.last_held_epoch == 0 {
            return false;
        }
        let Some(record) = self.record.as_ref().map(|stored| &stored.record) else {
            return true;
        };
        // A successor moves the senders of orders to the unreleased lists.
        order::is_sender(record, &self.identity.process)
            || is_unreleased(record, &self.identity.process)
    }

    /// Reads the record if it may be outdated, and writes the next version if it differs.
    pub(super) fn drive_record(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let is_outcome_unknown = self
            .record_write
            .as_ref()
            .is_some_and(|w| w.is_outcome_unknown);
        let must_read = match self.state {
            HolderState::Follower => self.must_release(),
            // The lease must be confirmed first, so that two candidates rarely write concurrently.
            HolderState::Candidate(_) => self.lease_write.is_none() && self.record.is_none(),
            // A former holder removes its unreleased entries by a write of its own, so the record
            // is polled while it contains any.
            HolderState::Holder(_) => self.record.as_ref().is_some_and(|stored| {
                let mut entries = stored.record.engines.iter();
                entries.any(|entry| !entry.unreleased.is_empty())
            }),
        };
        let record_version = self.record.as_ref().map(|stored| stored.version);
        let is_outdated =
            self.conflict_version.is_some() && record_version <= self.conflict_version;
        if (must_read || is_outcome_unknown || is_outdated)
            && is_due(self.record_read_at_us, RETRY_INTERVAL_US, now_us)
        {
            self.read_record(now_us, actions);
        }
        if self.record_write.is_some() || is_outdated {
            return;
        }
        let Some(stored) = &self.record else {
            return;
        };
        let mut next = stored.record.clone();
        let mut decisions = Vec::new();
        match self.state {
            HolderState::Follower => {
                let sends = &self.sends;
                if next.epoch <= self.last_held_epoch
                    || !release_own_entries(&mut next, &self.identity.process, |engine| {
                        sends.may_arrive(engine)
                    })
                {
                    return;
                }
                // The holder identifies its own last write by the record's `write_id`, so a release
                // must not change it.
                let write_id = self.write_id();
                self.write_record(write_id, next, decisions, now_us, actions);
                return;
            }
            HolderState::Candidate(epoch) => {
                let is_confirmed = self.lease_write.is_none() && self.held_lease.may_send(now_us);
                let me = &self.identity;
                if !is_confirmed || take_over(&mut next, &me.process, &me.address, epoch).is_err() {
                    return;
                }
            }
            HolderState::Holder(_) => {
                if !self.is_leaving {
                    decisions = self.reconcile(&mut next, now_us);
                } else if self.sends.is_empty() {
                    order::remove_sender(&mut next, &self.identity.process);
                    release_own_entries(&mut next, &self.identity.process, |_| false);
                }
                let is_same = self.record.as_ref().is_some_and(|r| r.record == next);
                if is_same {
                    actions.extend(decisions.into_iter().map(Action::EmitDecision));
                    return;
                }
            }
        }
        let write_id = self.write_id();
        next.write_id.clone_from(&write_id);
        self.write_record(write_id, next, decisions, now_us, actions);
    }

    fn write_record(
        &mut self,
        write_id: String,
        record: ZoneRecord,
        decisions: Vec<Decision>,
        now_us: u64,
        actions: &mut Vec<Action>,
    ) {
        let if_version = self.record.as_ref().map_or(0, |stored| stored.version);
        actions.push(Action::WriteRecord {
            if_version,
            write_id: write_id.clone(),
            record: Box::new(record.clone()),
        });
        self.record_write = Some(PendingWrite {
            id: write_id,
            if_version,
            record,
            started_at_us: now_us,
            is_outcome_unknown: false,
            decisions,
        });
    }
}
