//! What becomes of a request with a quarantined part: it is refused, or tried.
//!
//! A refusal is given before the request takes a place at a runner, and again before the decode stage, since a
//! prompt may be read for seconds. The first request after the time of a trial asks the control thread to claim
//! the trial in the store; of all nodes one succeeds.

use std::time::Duration;

use tealsaddle_core::fleet::quarantine::list::Entry;
use tealsaddle_core::name::Name;
use tokio::sync::oneshot;

use crate::answer::GatewayAnswer;
use crate::call::{Call, Refusal};
use crate::clock;
use crate::quarantine::keeper::Command;

/// Time for the store to answer the claim of a trial.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(500);

impl Call {
    /// Refuses the request if its prompt has a quarantined part, unless it is the one that is to be tried.
    pub async fn pass_quarantine(&self) -> Result<(), Refusal> {
        let Some(entry) = self.quarantine_entry() else {
            return Ok(());
        };
        let is_due = entry.trial_due_us <= clock::now_us();
        if is_due && self.claim_trial(&entry.record.decision).await {
            self.gateway.metrics.increment("quarantine.trial");
            log::info!(id:% = self.request_id, part = part_text(&entry), decision:% = entry.record.decision,
                trials = entry.record.trials + 1; "request tries a quarantined part");
            self.state.begin_trial(Name::clone(&entry.record.decision));
            return Ok(());
        }
        Err(self.refuse(&entry))
    }

    /// Like [`pass_quarantine`](Self::pass_quarantine), for a request on its way: it does not begin a trial.
    pub fn check_quarantine(&self) -> Result<(), Refusal> {
        match self.quarantine_entry() {
            Some(entry) if self.state.trial() != Some(&entry.record.decision) => {
                Err(self.refuse(&entry))
            }
            Some(_) | None => Ok(()),
        }
    }

    /// Ends the quarantine of the request's parts if its answer, whose first event came at `first_event_us`, shows
    /// that they are sound.
    pub fn object(&self, first_event_us: u64) {
        if let Some(entry) = self.quarantine_entry()
            && first_event_us > entry.first_lost_us
        {
            let decision = Name::clone(&entry.record.decision);
            self.gateway.quarantine.send(Command::Survived(decision));
        }
    }

    fn quarantine_entry(&self) -> Option<Entry> {
        let snapshot = self.gateway.snapshot.load();
        let found = snapshot
            .quarantine
            .find(&self.service, &self.metadata.parts);
        found.cloned()
    }

    async fn claim_trial(&self, decision: &Name) -> bool {
        let (granted, grant) = oneshot::channel();
        self.gateway.quarantine.send(Command::Claim {
            decision: Name::clone(decision),
            granted,
        });
        let grant = tokio::time::timeout(CLAIM_TIMEOUT, grant).await;
        matches!(grant, Ok(Ok(true)))
    }

    fn refuse(&self, entry: &Entry) -> Refusal {
        let wait_us = entry.trial_due_us.saturating_sub(clock::now_us());
        log::info!(id:% = self.request_id, part = part_text(entry), decision:% = entry.record.decision,
            losses = entry.record.losses, trials = entry.record.trials, wait_ms = wait_us / 1_000;
            "prompt has a quarantined part");
        (
            GatewayAnswer::QuarantinedPart,
            Duration::from_micros(wait_us),
        )
    }
}

fn part_text(entry: &Entry) -> String {
    format!("{:x}", entry.record.key.part)
}
