//! What one node knows of the runners' load.
//!
//! Answers carry the runner's counts, which are old the moment they arrive: other nodes send too, and
//! what this node sends is not in them yet. A view therefore keeps the node's own requests exactly and
//! treats the rest of the reported count as work of other nodes, which fades as the count gets old.

use super::cached_parts::CachedParts;

/// Counts that a runner put on an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at once.
    pub slots: u32,
}

/// Work of one request at a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Work {
    /// Prompt tokens to read.
    pub read_tokens: u64,
    /// Tokens kept in memory.
    pub kv_tokens: u64,
}

/// Weight of the newest outcome in the failure rate.
const FAILURE_WEIGHT: f64 = 0.2;
/// Time in which an old failure rate loses half of its weight, so that a runner that is avoided is
/// tried again.
const FAILURE_HALF_LIFE_US: f64 = 4e6;
/// Weight of the newest request in a runner's slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.08;
/// Bound on what one request says of a runner's slowdown.
const MAX_SLOWDOWN: f64 = 8.0;
/// Age at which half of the reported work of others is still believed.
const REPORT_HALF_LIFE_US: f64 = 1e6;
/// Time without a request after a runner did not answer at all.
const UNREACHABLE_BACKOFF_US: u64 = 1_000_000;
/// Time without a request after a runner refused one.
const REFUSED_BACKOFF_US: u64 = 150_000;
/// Longest pause after silence; each silence in a row doubles it.
const MAX_UNREACHABLE_BACKOFF_US: u64 = 8_000_000;

/// One runner as this node sees it.
#[derive(Debug)]
pub struct RunnerView {
    own_requests: u32,
    own_read_tokens: u64,
    own_kv_tokens: u64,
    /// Parts that it is thought to hold.
    pub cached_parts: CachedParts,
    /// Start of the process that this is known of; 0 while none is.
    started_unix_ms: u64,
    other_nodes_requests: u32,
    other_nodes_waiting: u32,
    reported_at_us: u64,
    failure_rate: f64,
    failed_at_us: u64,
    consecutive_unreachable: u32,
    avoid_until_us: u64,
    answered_at_us: u64,
    unreachable_at_us: u64,
    slowdown: f64,
}

impl Default for RunnerView {
    fn default() -> Self {
        Self {
            own_requests: 0,
            own_read_tokens: 0,
            own_kv_tokens: 0,
            cached_parts: CachedParts::default(),
            started_unix_ms: 0,
            other_nodes_requests: 0,
            other_nodes_waiting: 0,
            reported_at_us: 0,
            failure_rate: 0.0,
            failed_at_us: 0,
            consecutive_unreachable: 0,
            avoid_until_us: 0,
            answered_at_us: 0,
            unreachable_at_us: 0,
            slowdown: 1.0,
        }
    }
}

impl RunnerView {
    /// Takes the start of the runner's process: one that started again under its id holds nothing, and
    /// has neither failed nor been slow.
    pub fn on_process_start(&mut self, started_unix_ms: u64) {
        if self.started_unix_ms != 0 && self.started_unix_ms != started_unix_ms {
            let own = (self.own_requests, self.own_read_tokens, self.own_kv_tokens);
            *self = Self::default();
            // Requests to the process before still leave one by one.
            (self.own_requests, self.own_read_tokens, self.own_kv_tokens) = own;
        }
        self.started_unix_ms = started_unix_ms;
    }

    /// Counts an own request that goes to the runner.
    pub const fn on_request_start(&mut self, work: Work) {
        self.own_requests += 1;
        self.own_read_tokens += work.read_tokens;
        self.own_kv_tokens += work.kv_tokens;
    }

    /// Notes that the runner has read tokens of an own request.
    pub const fn on_read(&mut self, tokens: u64) {
        self.own_read_tokens = self.own_read_tokens.saturating_sub(tokens);
    }

    /// Takes off an own request; `work` is what of it has not been taken off before.
    pub const fn on_request_end(&mut self, work: Work) {
        self.own_requests = self.own_requests.saturating_sub(1);
        self.own_read_tokens = self.own_read_tokens.saturating_sub(work.read_tokens);
        self.own_kv_tokens = self.own_kv_tokens.saturating_sub(work.kv_tokens);
    }

    /// Own requests at the runner.
    pub const fn own_requests(&self) -> u32 {
        self.own_requests
    }

    /// Own prompt tokens that the runner is still to read.
    pub const fn own_read_tokens(&self) -> u64 {
        self.own_read_tokens
    }

    /// Own tokens that the requests at the runner keep or will keep in its memory.
    pub const fn own_kv_tokens(&self) -> u64 {
        self.own_kv_tokens
    }

    /// Takes the counts of an answer.
    pub fn on_report(&mut self, report: ReportedLoad, now_us: u64) {
        let total = report.running + report.waiting;
        self.other_nodes_requests = total.saturating_sub(self.own_requests);
        self.other_nodes_waiting = report.waiting.min(self.other_nodes_requests);
        self.reported_at_us = now_us;
    }

    /// Takes an answer of any kind but a failure of the runner.
    pub fn on_success(&mut self, now_us: u64) {
        self.answered_at_us = now_us;
        self.failure_rate *= 1.0 - FAILURE_WEIGHT;
        self.consecutive_unreachable = 0;
        self.unreachable_at_us = 0;
        self.avoid_until_us = 0;
    }

    /// Takes a failed answer.
    pub fn on_failure(&mut self, now_us: u64) {
        self.failure_rate = self.failure_rate_at(now_us) * (1.0 - FAILURE_WEIGHT) + FAILURE_WEIGHT;
        self.failed_at_us = now_us;
    }

    /// Takes a refusal: the runner is full or changes its stage.
    pub fn on_refused(&mut self, now_us: u64) {
        self.avoid_until_us = self.avoid_until_us.max(now_us + REFUSED_BACKOFF_US);
    }

    /// Takes a connection that was refused, reset or silent.
    pub fn on_unreachable(&mut self, now_us: u64) {
        self.on_failure(now_us);
        let backoff_us = UNREACHABLE_BACKOFF_US << self.consecutive_unreachable.min(3);
        self.consecutive_unreachable += 1;
        self.unreachable_at_us = now_us;
        self.avoid_until_us = now_us + backoff_us.min(MAX_UNREACHABLE_BACKOFF_US);
    }

    /// Takes the time that a request took and the time that a runner of the pool would have needed.
    pub fn on_duration(&mut self, took_us: f64, expected_us: f64) {
        let ratio = took_us / expected_us.max(1.0);
        let ratio = ratio.clamp(1.0 / MAX_SLOWDOWN, MAX_SLOWDOWN);
        self.slowdown += SLOWDOWN_WEIGHT * (ratio - self.slowdown);
    }

    /// How many times longer the runner takes than expected, queues that this node does not see
    /// included.
    pub const fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Whether the runner has answered any request of late: it is then slow to answer another one
    /// because it is busy, not because it is gone.
    pub const fn has_answered_since(&self, since_us: u64) -> bool {
        self.answered_at_us >= since_us
    }

    /// When the runner was last silent, if it has not answered since.
    pub fn unreachable_since_us(&self) -> Option<u64> {
        (self.unreachable_at_us > 0).then_some(self.unreachable_at_us)
    }

    /// When the runner last answered; 0 if never.
    pub const fn answered_at_us(&self) -> u64 {
        self.answered_at_us
    }

    /// Whether the runner is passed over while others can take the request.
    pub const fn is_avoided(&self, now_us: u64) -> bool {
        now_us < self.avoid_until_us
    }

    /// Share of failures of late, from 0 to 1.
    pub fn failure_rate_at(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.failed_at_us) as f64;
        self.failure_rate * 0.5_f64.powf(age_us / FAILURE_HALF_LIFE_US)
    }

    /// Estimated requests of other nodes.
    ///
    /// While the load is steady, others send as much as the runner completes, so the count holds for a
    /// while and fades only as it gets old.
    pub fn other_nodes_requests(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.reported_at_us) as f64;
        f64::from(self.other_nodes_requests) * 0.5_f64.powf(age_us / REPORT_HALF_LIFE_US)
    }

    /// Estimated requests of other nodes that wait there.
    pub fn other_nodes_waiting(&self, now_us: u64, stale_us: u64) -> u32 {
        if now_us.saturating_sub(self.reported_at_us) > stale_us {
            0
        } else {
            self.other_nodes_waiting
        }
    }
}
