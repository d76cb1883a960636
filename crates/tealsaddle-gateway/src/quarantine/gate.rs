//! What becomes of a quarantined request, or of one with a quarantined part: it is refused, or tried.
//!
//! A refusal is given before the request takes a place at a runner, and again before the decode stage, since a
//! prompt may be read for seconds. The first request after the time of a trial asks the control thread to claim
//! the trial in the store; of all nodes one succeeds.

use std::time::Duration;

use tealsaddle_core::fleet::quarantine::list::Entry;
use tealsaddle_core::name::Name;
use tokio::sync::oneshot;

use crate::answer::GatewayAnswer;
use crate::call::{Call, Refusal, Trial};
use crate::clock;
use crate::quarantine::keeper::Command;

/// Time for the store to answer the claim of a trial.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(500);

impl Call {
    /// Refuses the request if it or a part of its prompt is quarantined, unless it is the one that is to be tried.
    pub async fn pass_quarantine(&self) -> Result<(), Refusal> {
        let Some(entry) = self.quarantine_entry() else {
            return Ok(());
        };
        let is_due = entry.trial_due_us <= clock::now_us();
        if is_due && self.claim_trial(&entry.record.decision).await {
            let trial = Trial {
                decision: Name::clone(&entry.record.decision),
                number: entry.record.trials + 1,
            };
            self.gateway.metrics.increment("quarantine.trial");
            log::info!(id:% = self.request_id, subject:% = entry.record.key.subject,
                decision:% = trial.decision, trials = trial.number; "request tries what is quarantined");
            self.state.begin_trial(trial);
            return Ok(());
        }
        Err(self.refuse(&entry))
    }

    /// Like [`pass_quarantine`](Self::pass_quarantine), for a request on its way: it does not begin a trial.
    pub fn check_quarantine(&self) -> Result<(), Refusal> {
        match self.quarantine_entry() {
            Some(entry) if !self.is_trial_of(&entry) => Err(self.refuse(&entry)),
            Some(_) | None => Ok(()),
        }
    }

    fn is_trial_of(&self, entry: &Entry) -> bool {
        let trial = self.state.trial();
        trial.is_some_and(|trial| trial.decision == entry.record.decision)
    }

    /// Ends the quarantine of the request and its parts if its answer, whose first event came at `first_event_us`,
    /// shows that they are sound.
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
        let list = &snapshot.quarantine;
        if list.is_empty() {
            return None;
        }
        let request = list.has_requests(&self.service).then(|| self.digest());
        let found = list.find(&self.service, request, &self.metadata.parts);
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
        let subject = entry.record.key.subject;
        log::info!(id:% = self.request_id, subject:%, decision:% = entry.record.decision,
            losses = entry.record.losses, trials = entry.record.trials, wait_ms = wait_us / 1_000;
            "request is quarantined, or a part of its prompt");
        let answer = if subject.is_request() {
            GatewayAnswer::QuarantinedRequest
        } else {
            GatewayAnswer::QuarantinedPart
        };
        (answer, Duration::from_micros(wait_us))
    }
}
