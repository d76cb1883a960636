//! Load of an engine, corrected for the delay of its reports.
//!
//! A report describes an earlier state of the engine. Requests that this node has sent since then are not
//! included, so an engine that appears idle may already be full. [`EngineLoad`] records the requests that
//! this node sends and the work that it sees completed. The corrected load is the report plus the requests
//! sent after the sample, minus the work completed after the sample.
//!
//! If two engines share a request, capacity for it is reserved at the decode engine while the prefill engine
//! reads the prompt. Reservations count until they end, whatever the reports contain.

use std::collections::VecDeque;

use crate::inventory::Role;

/// Load as reported by the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Time of the engine's sample, on this node's clock.
    pub sampled_at_us: u64,
    /// Role of the engine at the sample.
    pub role: Role,
    /// Whether the engine was changing its role at the sample.
    pub is_changing: bool,
    /// Number of requests being decoded.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of prompt tokens that are yet to be read.
    pub queued_prefill_tokens: u64,
    /// Number of tokens in the KV cache.
    pub kv_used_tokens: u64,
}

/// A request that this node sent to the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentRequest {
    /// Time at which the request was sent.
    pub at_us: u64,
    /// Number of prompt tokens to be read, without cached ones.
    pub prefill_tokens: u64,
    /// Whether the engine also decodes the request.
    pub decodes: bool,
    /// Number of KV cache tokens that the request will use.
    pub kv_tokens: u64,
}

/// Work of this node that the engine completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Completion {
    /// Time at which this node saw the completion.
    pub at_us: u64,
    /// Number of prompt tokens that are no longer queued.
    pub prefill_tokens: u64,
    /// Whether a request left the batch.
    pub ends_decode: bool,
    /// Number of KV cache tokens that were freed.
    pub kv_tokens: u64,
}

/// Reported load, corrected for what this node has sent and seen completed since the report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CorrectedLoad {
    /// Number of requests being decoded or about to be, including reservations.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of prompt tokens that are yet to be read.
    pub queued_prefill_tokens: u64,
    /// Number of KV cache tokens in use or reserved.
    pub kv_used_tokens: u64,
    /// Age of the report; `None` if there is none.
    pub report_age_us: Option<u64>,
}

/// Load of one engine as tracked by one node.
#[derive(Debug, Clone, Default)]
pub struct EngineLoad {
    report: Option<LoadReport>,
    sent: VecDeque<SentRequest>,
    completions: VecDeque<Completion>,
    reserved_requests: u32,
    reserved_kv_tokens: u64,
}

/// Largest number of sent requests, and of completions, that are kept. The limit bounds the memory for an
/// engine that never reports.
const MAX_KEPT_ENTRIES: usize = 1_024;

impl EngineLoad {
    /// Records a report. A report that is older than the last one is ignored.
    pub fn on_report(&mut self, report: LoadReport) {
        if self
            .report
            .is_some_and(|last| last.sampled_at_us > report.sampled_at_us)
        {
            return;
        }
        self.sent.retain(|send| send.at_us >= report.sampled_at_us);
        self.completions
            .retain(|completion| completion.at_us >= report.sampled_at_us);
        self.report = Some(report);
    }

    /// Records a request that this node sends to the engine.
    pub fn on_send(&mut self, send: SentRequest) {
        if self.sent.len() == MAX_KEPT_ENTRIES {
            self.sent.pop_front();
        }
        self.sent.push_back(send);
    }

    /// Records work that this node saw completed.
    pub fn on_completion(&mut self, completion: Completion) {
        if self.completions.len() == MAX_KEPT_ENTRIES {
            self.completions.pop_front();
        }
        self.completions.push_back(completion);
    }

    /// Reserves capacity for a request whose prompt is being read by another engine.
    pub fn on_reserve(&mut self, kv_tokens: u64) {
        self.reserved_requests += 1;
        self.reserved_kv_tokens += kv_tokens;
    }

    /// Ends a reservation, because the request was sent or will not be sent.
    pub fn on_reservation_end(&mut self, kv_tokens: u64) {
        self.reserved_requests = self.reserved_requests.saturating_sub(1);
        self.reserved_kv_tokens = self.reserved_kv_tokens.saturating_sub(kv_tokens);
    }

    /// Returns the last report.
    pub fn report(&self) -> Option<&LoadReport> {
        self.report.as_ref()
    }

    /// Returns the last report, plus the sent requests and reservations and minus the completions that the
    /// report cannot include.
    pub fn corrected(&self, now_us: u64) -> CorrectedLoad {
        let mut load = CorrectedLoad::default();
        if let Some(report) = &self.report {
            load.running = report.running;
            load.waiting = report.waiting;
            load.queued_prefill_tokens = report.queued_prefill_tokens;
            load.kv_used_tokens = report.kv_used_tokens;
            load.report_age_us = Some(now_us.saturating_sub(report.sampled_at_us));
        }
        for send in &self.sent {
            load.queued_prefill_tokens += send.prefill_tokens;
            load.kv_used_tokens += send.kv_tokens;
            if send.decodes {
                load.running += 1;
            }
        }
        for completion in &self.completions {
            let queued = &mut load.queued_prefill_tokens;
            *queued = queued.saturating_sub(completion.prefill_tokens);
            load.kv_used_tokens = load.kv_used_tokens.saturating_sub(completion.kv_tokens);
            if completion.ends_decode {
                load.running = load.running.saturating_sub(1);
            }
        }
        load.running += self.reserved_requests;
        load.kv_used_tokens += self.reserved_kv_tokens;
        load
    }
}
