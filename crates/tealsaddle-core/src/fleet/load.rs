//! Load of the runners as observed by one node.
//!
//! Answers carry the runner's request counts. The counts are out of date on arrival: other nodes send
//! requests too, and the counts do not include what this node has sent since. A view therefore counts the
//! node's own requests exactly and treats the rest of the reported count as requests of other nodes, whose
//! weight decays with the age of the report.

use super::cached_parts::CachedParts;

/// Request counts that a runner reports with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of requests being served.
    pub running: u32,
    /// Number of requests waiting in the runner's queue.
    pub waiting: u32,
    /// Number of requests that the runner serves concurrently.
    pub slots: u32,
}

/// Work that one request causes at a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Work {
    /// Number of prompt tokens that the runner has to read.
    pub read_tokens: u64,
    /// Number of tokens that the request occupies in the KV cache.
    pub kv_tokens: u64,
    /// Whether the runner reads the prompt after those of requests that are not deferred.
    pub is_deferred: bool,
}

/// Weight of the newest outcome in the exponential average of failures.
const FAILURE_WEIGHT: f64 = 0.2;
/// Half-life of the failure rate. The decay lets a runner that is avoided for its failures get requests
/// again.
const FAILURE_HALF_LIFE_US: f64 = 4e6;
/// Weight of the newest request in the exponential average of a runner's slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.08;
/// Limit on the slowdown, and on its inverse, that one request contributes to the average.
const MAX_SLOWDOWN: f64 = 8.0;
/// Half-life of the reported requests of other nodes.
const REPORT_HALF_LIFE_US: f64 = 1e6;
/// Time for which a runner is avoided after it was unreachable once.
const UNREACHABLE_BACKOFF_US: u64 = 1_000_000;
/// Time for which a runner is avoided after it refused a request; each refusal in a row doubles it. A runner that changes
/// its stage refuses all requests for seconds, and looks idle meanwhile.
const REFUSED_BACKOFF_US: u64 = 150_000;
/// Largest number of times that this time is doubled.
const MAX_REFUSED_DOUBLINGS: u32 = 4;
/// Longest backoff of an unreachable runner; each failure in a row doubles the backoff.
const MAX_UNREACHABLE_BACKOFF_US: u64 = 8_000_000;

/// Load and health of one runner as observed by this node.
#[derive(Debug)]
pub struct RunnerView {
    own_requests: u32,
    own_deferred_requests: u32,
    own_read_tokens: u64,
    own_deferred_read_tokens: u64,
    own_kv_tokens: u64,
    /// Estimate of the prompt parts in the runner's KV cache.
    pub cached_parts: CachedParts,
    /// Start of the process that the observations belong to; 0 while no process is known.
    started_unix_ms: u64,
    other_nodes_requests: u32,
    other_nodes_waiting: u32,
    reported_at_us: u64,
    failure_rate: f64,
    failed_at_us: u64,
    consecutive_unreachable: u32,
    consecutive_refused: u32,
    avoid_until_us: u64,
    answered_at_us: u64,
    unreachable_at_us: u64,
    slowdown: f64,
}

impl Default for RunnerView {
    fn default() -> Self {
        Self {
            own_requests: 0,
            own_deferred_requests: 0,
            own_read_tokens: 0,
            own_deferred_read_tokens: 0,
            own_kv_tokens: 0,
            cached_parts: CachedParts::default(),
            started_unix_ms: 0,
            other_nodes_requests: 0,
            other_nodes_waiting: 0,
            reported_at_us: 0,
            failure_rate: 0.0,
            failed_at_us: 0,
            consecutive_unreachable: 0,
            consecutive_refused: 0,
            avoid_until_us: 0,
            answered_at_us: 0,
            unreachable_at_us: 0,
            slowdown: 1.0,
        }
    }
}

impl RunnerView {
    /// Records when the runner's process started. A restart under the same id discards the observations:
    /// the new process has an empty cache and has neither failed nor been slow.
    pub fn on_process_start(&mut self, started_unix_ms: u64) {
        if self.started_unix_ms != 0 && self.started_unix_ms != started_unix_ms {
            // The requests sent to the previous process still end one by one.
            *self = Self {
                own_requests: self.own_requests,
                own_deferred_requests: self.own_deferred_requests,
                own_read_tokens: self.own_read_tokens,
                own_deferred_read_tokens: self.own_deferred_read_tokens,
                own_kv_tokens: self.own_kv_tokens,
                ..Self::default()
            };
        }
        self.started_unix_ms = started_unix_ms;
    }

    /// Counts a request that this node sends to the runner.
    pub fn on_request_start(&mut self, work: Work) {
        if work.is_deferred {
            self.own_deferred_requests += 1;
            self.own_deferred_read_tokens += work.read_tokens;
        }
        self.own_requests += 1;
        self.own_read_tokens += work.read_tokens;
        self.own_kv_tokens += work.kv_tokens;
    }

    /// Records that the runner has read the prompt of a request of this node, with this work.
    pub const fn on_read(&mut self, work: Work) {
        let tokens = work.read_tokens;
        self.own_read_tokens = self.own_read_tokens.saturating_sub(tokens);
        if work.is_deferred {
            let deferred = &mut self.own_deferred_read_tokens;
            *deferred = deferred.saturating_sub(tokens);
        }
    }

    /// Subtracts a request of this node. `work` is the part of the request's work that has not been
    /// subtracted before.
    pub const fn on_request_end(&mut self, work: Work) {
        self.on_read(work);
        self.own_requests = self.own_requests.saturating_sub(1);
        if work.is_deferred {
            self.own_deferred_requests = self.own_deferred_requests.saturating_sub(1);
        }
        self.own_kv_tokens = self.own_kv_tokens.saturating_sub(work.kv_tokens);
    }

    /// Returns the number of requests of this node at the runner.
    pub const fn own_requests(&self) -> u32 {
        self.own_requests
    }

    /// Returns how many of them are deferred.
    pub const fn own_deferred_requests(&self) -> u32 {
        self.own_deferred_requests
    }

    /// Returns how many of [`own_read_tokens`](Self::own_read_tokens) belong to deferred requests.
    pub const fn own_deferred_read_tokens(&self) -> u64 {
        self.own_deferred_read_tokens
    }

    /// Returns the number of prompt tokens of this node that the runner has yet to read.
    pub const fn own_read_tokens(&self) -> u64 {
        self.own_read_tokens
    }

    /// Returns the number of tokens that this node's requests occupy, or will occupy, in the runner's KV
    /// cache.
    pub const fn own_kv_tokens(&self) -> u64 {
        self.own_kv_tokens
    }

    /// Records the counts of an answer.
    pub fn on_report(&mut self, report: ReportedLoad, now_us: u64) {
        let total = report.running + report.waiting;
        self.other_nodes_requests = total.saturating_sub(self.own_requests);
        self.other_nodes_waiting = report.waiting.min(self.other_nodes_requests);
        self.reported_at_us = now_us;
    }

    /// Records an answer that is not a failure of the runner. The answer ends a backoff.
    pub fn on_success(&mut self, now_us: u64) {
        self.answered_at_us = now_us;
        self.failure_rate *= 1.0 - FAILURE_WEIGHT;
        self.consecutive_unreachable = 0;
        self.consecutive_refused = 0;
        self.unreachable_at_us = 0;
        self.avoid_until_us = 0;
    }

    /// Records a failed attempt.
    pub fn on_failure(&mut self, now_us: u64) {
        self.failure_rate = self.failure_rate_at(now_us) * (1.0 - FAILURE_WEIGHT) + FAILURE_WEIGHT;
        self.failed_at_us = now_us;
    }

    /// Records a refusal: the runner is full or is changing its stage. During a backoff further ones do not extend it: the
    /// requests that were sent before are refused together.
    pub fn on_refused(&mut self, now_us: u64) {
        if self.is_avoided(now_us) {
            return;
        }
        let doublings = self.consecutive_refused.min(MAX_REFUSED_DOUBLINGS);
        self.consecutive_refused += 1;
        self.avoid_until_us = now_us + (REFUSED_BACKOFF_US << doublings);
    }

    /// Records a connection that was refused or reset, or on which no answer came. During a backoff further
    /// ones do not extend it: the requests that were sent before fail together.
    pub fn on_unreachable(&mut self, now_us: u64) {
        self.on_failure(now_us);
        if self.consecutive_unreachable > 0 && self.is_avoided(now_us) {
            return;
        }
        let backoff_us = UNREACHABLE_BACKOFF_US << self.consecutive_unreachable.min(3);
        self.consecutive_unreachable += 1;
        self.unreachable_at_us = now_us;
        self.avoid_until_us = now_us + backoff_us.min(MAX_UNREACHABLE_BACKOFF_US);
    }

    /// Records the duration of a request and the duration expected of an average runner of the pool.
    pub fn on_duration(&mut self, took_us: f64, expected_us: f64) {
        let ratio = took_us / expected_us.max(1.0);
        let ratio = ratio.clamp(1.0 / MAX_SLOWDOWN, MAX_SLOWDOWN);
        self.slowdown += SLOWDOWN_WEIGHT * (ratio - self.slowdown);
    }

    /// Returns the average ratio of measured to expected duration. The ratio includes time in queues that
    /// this node does not see.
    pub const fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Returns whether the runner has answered any request since `since_us`. If so, a missing answer to
    /// another request means that the runner is busy, not that it has stopped.
    pub const fn has_answered_since(&self, since_us: u64) -> bool {
        self.answered_at_us >= since_us
    }

    /// Returns when the runner was last found unreachable, or `None` if it has answered since.
    pub fn unreachable_since_us(&self) -> Option<u64> {
        (self.unreachable_at_us > 0).then_some(self.unreachable_at_us)
    }

    /// Returns when the runner last answered; 0 if it never has.
    pub const fn answered_at_us(&self) -> u64 {
        self.answered_at_us
    }

    /// Returns whether the runner is in a backoff, in which it gets requests only if no other runner can
    /// take them.
    pub const fn is_avoided(&self, now_us: u64) -> bool {
        now_us < self.avoid_until_us
    }

    /// Returns the decayed share of failed answers, from 0 to 1.
    pub fn failure_rate_at(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.failed_at_us) as f64;
        self.failure_rate * 0.5_f64.powf(age_us / FAILURE_HALF_LIFE_US)
    }

    /// Returns the estimated number of requests of other nodes at the runner.
    ///
    /// While the load is steady, other nodes send as many requests as the runner completes. The count
    /// therefore stays useful for a while and decays only with the age of the report.
    pub fn other_nodes_requests(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.reported_at_us) as f64;
        f64::from(self.other_nodes_requests) * 0.5_f64.powf(age_us / REPORT_HALF_LIFE_US)
    }

    /// Returns the number of requests at the runner, with those of other nodes as last reported; `None` if the last report
    /// is older than `stale_us`.
    pub fn reported_requests(&self, now_us: u64, stale_us: u64) -> Option<f64> {
        let is_fresh = now_us.saturating_sub(self.reported_at_us) <= stale_us;
        is_fresh.then(|| f64::from(self.own_requests + self.other_nodes_requests))
    }

    /// Returns the estimated number of requests of other nodes in the runner's queue, or 0 if the last
    /// report is older than `stale_us`.
    pub fn other_nodes_waiting(&self, now_us: u64, stale_us: u64) -> u32 {
        if now_us.saturating_sub(self.reported_at_us) > stale_us {
            0
        } else {
            self.other_nodes_waiting
        }
    }
}
