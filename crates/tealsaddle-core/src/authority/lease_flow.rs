//! Acquires, renews and hands over the lease, and detects its loss.

use tealsaddle_schema::record::LeaseRecord;

use super::event::{Action, Stored, WriteOutcome};
use super::lease::{FOLLOWER_READ_INTERVAL_US, HeldLease, RENEW_INTERVAL_US};
use super::order;
use super::release::is_unreleased;
use super::{Authority, HolderState, PendingWrite, RETRY_INTERVAL_US, is_due};
use crate::decision::DecisionKind;

impl Authority {
    pub(super) fn on_lease_read(
        &mut self,
        stored: Option<Stored<LeaseRecord>>,
        now_us: u64,
        actions: &mut Vec<Action>,
    ) {
        let stored = stored.unwrap_or_else(|| Stored {
            version: 0,
            record: LeaseRecord::default(),
        });
        if self
            .lease
            .as_ref()
            .is_some_and(|l| l.version > stored.version)
        {
            return;
        }
        self.observed_lease.on_read(&stored.record, now_us);
        if let Some(write) = self.lease_write.take_if(|write| write.is_outcome_unknown)
            && stored.record.write_id == write.id
        {
            self.on_lease_confirmed(&write, actions);
        }
        self.lease = Some(stored);
        self.check_lease_epoch(now_us, actions);
    }

    pub(super) fn on_lease_write(
        &mut self,
        write_id: &str,
        outcome: WriteOutcome,
        now_us: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut write) = self.lease_write.take_if(|write| write.id == write_id) else {
            return;
        };
        match outcome {
            WriteOutcome::Written(version) => {
                if self
                    .lease
                    .as_ref()
                    .is_none_or(|lease| lease.version < version)
                {
                    self.observed_lease.on_read(&write.record, now_us);
                    self.lease = Some(Stored {
                        version,
                        record: write.record.clone(),
                    });
                }
                self.on_lease_confirmed(&write, actions);
                self.check_lease_epoch(now_us, actions);
            }
            WriteOutcome::Conflict => {
                if matches!(
                    self.state,
                    HolderState::Candidate(epoch) if epoch == write.record.epoch
                ) && self
                    .lease
                    .as_ref()
                    .is_none_or(|l| l.record.epoch < write.record.epoch)
                {
                    self.step_down("another process wrote the lease", now_us, actions);
                }
                // The lease must be read again before its next write.
                self.lease = None;
                self.read_lease(now_us, actions);
            }
            WriteOutcome::Unknown => {
                write.is_outcome_unknown = true;
                self.lease_write = Some(write);
                self.read_lease(now_us, actions);
            }
        }
    }

    fn on_lease_confirmed(&mut self, write: &PendingWrite<LeaseRecord>, actions: &mut Vec<Action>) {
        actions.extend(write.decisions.iter().cloned().map(Action::EmitDecision));
        if write.record.released {
            self.become_follower();
        } else {
            self.held_lease.on_renewed(write.started_at_us);
        }
    }

    /// Becomes a follower if the lease has a higher epoch, or if the attempt to acquire it failed.
    fn check_lease_epoch(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let Some(lease) = self.lease.as_ref().map(|stored| &stored.record) else {
            return;
        };
        let is_lost = match self.state {
            HolderState::Follower => false,
            HolderState::Holder(epoch) => lease.epoch > epoch,
            HolderState::Candidate(epoch) => {
                let is_mine =
                    lease.epoch == epoch && lease.holder.as_ref() == Some(&self.identity.process);
                !is_mine && self.lease_write.is_none()
            }
        };
        if is_lost {
            self.step_down("the lease is held by another process", now_us, actions);
        }
    }

    /// Discards the state that only a holder needs. Pending sends are kept, since they may still
    /// arrive.
    fn become_follower(&mut self) {
        self.state = HolderState::Follower;
        self.held_lease = HeldLease::default();
        self.table = None;
        self.requested_changes.clear();
        self.cancelled_changes.clear();
        self.registrations.clear();
        self.probes.clear();
        self.resigned.clear();
        self.views.clear();
    }

    /// Becomes a follower because the authority was lost, and emits a decision with the reason.
    pub(super) fn step_down(&mut self, reason: &str, now_us: u64, actions: &mut Vec<Action>) {
        self.become_follower();
        actions.push(Action::EmitDecision(Self::decision(
            DecisionKind::Lease,
            &self.identity.zone,
            "lost",
            reason,
            now_us,
        )));
    }

    fn read_lease(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        self.lease_read_at_us = Some(now_us);
        actions.push(Action::ReadLease);
    }

    /// Reads, renews, acquires or hands over the lease if that is due.
    pub(super) fn drive_lease(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let is_outcome_unknown = self
            .lease_write
            .as_ref()
            .is_some_and(|w| w.is_outcome_unknown);
        let is_follower = self.state == HolderState::Follower;
        let read_after_us = if is_outcome_unknown || self.lease.is_none() {
            Some(RETRY_INTERVAL_US)
        } else {
            is_follower.then_some(FOLLOWER_READ_INTERVAL_US)
        };
        if read_after_us.is_some_and(|after_us| is_due(self.lease_read_at_us, after_us, now_us)) {
            self.read_lease(now_us, actions);
        }
        if self.lease_write.is_some() {
            return;
        }
        let Some(lease) = &self.lease else {
            return;
        };
        match self.state {
            HolderState::Follower => {
                let is_free = lease.version == 0 || self.observed_lease.is_expired(now_us);
                if is_free
                    && !self.is_leaving
                    && self.listed_vms.contains(&self.identity.process.vm)
                {
                    self.begin_takeover(now_us, actions);
                }
            }
            HolderState::Holder(epoch) if self.is_leaving && self.may_hand_over() => {
                self.write_lease(epoch, true, now_us, actions);
            }
            HolderState::Holder(epoch) | HolderState::Candidate(epoch) => {
                if is_due(self.lease_renewal_at_us, RENEW_INTERVAL_US, now_us) {
                    self.write_lease(epoch, false, now_us, actions);
                }
            }
        }
    }

    fn may_hand_over(&self) -> bool {
        let me = &self.identity.process;
        let is_listed = self.record.as_ref().is_some_and(|stored| {
            order::is_sender(&stored.record, me) || is_unreleased(&stored.record, me)
        });
        self.record_write.is_none() && self.sends.is_empty() && !is_listed
    }

    fn begin_takeover(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let lease_epoch = self.lease.as_ref().map_or(0, |lease| lease.record.epoch);
        let record_epoch = self.record.as_ref().map_or(0, |stored| stored.record.epoch);
        let epoch = lease_epoch.max(record_epoch) + 1;
        self.state = HolderState::Candidate(epoch);
        // The zone record must be read again once the lease is written.
        self.record = None;
        self.record_read_at_us = None;
        self.write_lease(epoch, false, now_us, actions);
    }

    fn write_lease(
        &mut self,
        epoch: u64,
        is_released: bool,
        now_us: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(lease) = &self.lease else {
            return;
        };
        let if_version = lease.version;
        let is_renewal = lease.record.epoch == epoch;
        let renewals = if is_renewal {
            lease.record.renewals + 1
        } else {
            0
        };
        let record = LeaseRecord {
            epoch,
            holder: Some(self.identity.process.clone()),
            address: self.identity.address.clone(),
            renewals,
            write_id: self.write_id(),
            released: is_released,
        };
        let choice = match (is_released, is_renewal) {
            (true, _) => Some(("handed over", "the node is stopping")),
            (false, false) => Some(("taken", "the lease was free or had lapsed")),
            (false, true) => None,
        };
        let decisions = choice.map(|(choice, reason)| {
            Self::decision(
                DecisionKind::Lease,
                &self.identity.zone,
                choice,
                reason,
                now_us,
            )
        });
        self.lease_renewal_at_us = Some(now_us);
        self.lease_write = Some(PendingWrite {
            id: record.write_id.clone(),
            if_version,
            record: record.clone(),
            started_at_us: now_us,
            is_outcome_unknown: false,
            decisions: decisions.into_iter().collect(),
        });
        actions.push(Action::WriteLease { if_version, record });
    }
}
