//! Load of an engine, corrected for the lag of its reports.
//!
//! A report describes the engine some time ago. What this node has sent since then is not in it yet,
//! so an engine that looks idle may already be full. [`EngineLoad`] keeps the node's own sends and
//! completions, adds the sends that are younger than the sample and takes the completions off.
//!
//! A request that is split between two engines is promised to the second one while the first still
//! reads the prompt. Promises count until they are kept or withdrawn, whatever the reports say.

use std::collections::VecDeque;

use crate::inventory::Role;

/// Load as the engine reported it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// This node's clock at the time of the engine's sample.
    pub sampled_at_us: u64,
    /// Role of the engine at the sample.
    pub role: Role,
    /// Whether the engine was changing its role.
    pub is_changing: bool,
    /// Requests being decoded.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Prompt tokens that wait to be read.
    pub queued_prefill_tokens: u64,
    /// KV cache in use.
    pub kv_used_tokens: u64,
}

/// One request that this node sent to the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentRequest {
    /// Time of the send.
    pub at_us: u64,
    /// Prompt tokens to be read, cached ones left out.
    pub prefill_tokens: u64,
    /// Whether the engine also decodes the request.
    pub decodes: bool,
    /// KV cache that the request will use.
    pub kv_tokens: u64,
}

/// Work of this node that an engine completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Completion {
    /// Time at which this node saw it.
    pub at_us: u64,
    /// Prompt tokens that no longer wait.
    pub prefill_tokens: u64,
    /// Whether a request left the batch.
    pub ends_decode: bool,
    /// KV cache that was freed.
    pub kv_tokens: u64,
}

/// Load with the node's own sends and completions since the report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CorrectedLoad {
    /// Requests being decoded or about to be.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Prompt tokens that wait to be read.
    pub queued_prefill_tokens: u64,
    /// KV cache in use or promised.
    pub kv_used_tokens: u64,
    /// Age of the report; `None` without any.
    pub report_age_us: Option<u64>,
}

/// Load of one engine as one node knows it.
#[derive(Debug, Clone, Default)]
pub struct EngineLoad {
    report: Option<LoadReport>,
    sends: VecDeque<SentRequest>,
    completions: VecDeque<Completion>,
    reserved_requests: u32,
    reserved_kv_tokens: u64,
}

/// Sends and completions kept at most, so that an engine that never reports costs bounded memory.
const MAX_SENDS: usize = 1_024;

impl EngineLoad {
    /// Takes a report; an older one than the last is ignored.
    pub fn on_report(&mut self, report: LoadReport) {
        if self
            .report
            .is_some_and(|last| last.sampled_at_us > report.sampled_at_us)
        {
            return;
        }
        self.sends.retain(|send| send.at_us >= report.sampled_at_us);
        self.completions
            .retain(|completion| completion.at_us >= report.sampled_at_us);
        self.report = Some(report);
    }

    /// Counts a request that this node sends.
    pub fn on_send(&mut self, send: SentRequest) {
        if self.sends.len() == MAX_SENDS {
            self.sends.pop_front();
        }
        self.sends.push_back(send);
    }

    /// Counts work that this node saw completed.
    pub fn on_completion(&mut self, completion: Completion) {
        if self.completions.len() == MAX_SENDS {
            self.completions.pop_front();
        }
        self.completions.push_back(completion);
    }

    /// Promises the engine a request whose prompt is being read elsewhere.
    pub fn on_reserve(&mut self, kv_tokens: u64) {
        self.reserved_requests += 1;
        self.reserved_kv_tokens += kv_tokens;
    }

    /// Ends a promise, since the request was sent or will not come.
    pub fn on_reservation_end(&mut self, kv_tokens: u64) {
        self.reserved_requests = self.reserved_requests.saturating_sub(1);
        self.reserved_kv_tokens = self.reserved_kv_tokens.saturating_sub(kv_tokens);
    }

    /// The last report.
    pub fn report(&self) -> Option<&LoadReport> {
        self.report.as_ref()
    }

    /// The last report plus the sends, minus the completions, that it cannot contain.
    pub fn corrected(&self, now_us: u64) -> CorrectedLoad {
        let mut load = CorrectedLoad::default();
        if let Some(report) = &self.report {
            load.running = report.running;
            load.waiting = report.waiting;
            load.queued_prefill_tokens = report.queued_prefill_tokens;
            load.kv_used_tokens = report.kv_used_tokens;
            load.report_age_us = Some(now_us.saturating_sub(report.sampled_at_us));
        }
        for send in &self.sends {
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
