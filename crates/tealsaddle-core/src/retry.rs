//! Outcomes of attempts, and how many attempts a request may take.
//!
//! An attempt ends answered, certainly not run, or unknown. Only what certainly did not run may be
//! repeated for a call that is not idempotent. A budget per service bounds the repeats, so that an
//! outage of one target does not multiply the load on the others.

/// Why an attempt or a request was certainly not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NotRunReason {
    /// No connection to the target could be made.
    ConnectFailed,
    /// The target refused the request before running it.
    TargetRefused,
    /// No engine or target takes this work now.
    NoTarget,
    /// The node was stopping before it sent the request.
    NodeStopping,
}

impl NotRunReason {
    /// The name used in headers and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ConnectFailed => "connect_failed",
            Self::TargetRefused => "target_refused",
            Self::NoTarget => "no_target",
            Self::NodeStopping => "node_stopping",
        }
    }
}

/// Why it is not known whether an attempt was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum UnknownReason {
    /// The connection broke after bytes had left.
    ConnectionLost,
    /// The target did not answer in time.
    Timeout,
    /// The answer broke the protocol.
    InvalidAnswer,
    /// The target answered that it failed.
    TargetFailed,
    /// The node stopped before the answer came.
    NodeStopped,
}

impl UnknownReason {
    /// The name used in headers and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ConnectionLost => "connection_lost",
            Self::Timeout => "timeout",
            Self::InvalidAnswer => "invalid_answer",
            Self::TargetFailed => "target_failed",
            Self::NodeStopped => "node_stopped",
        }
    }
}

/// How one attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The whole answer arrived.
    Answered,
    /// The target certainly did not run it.
    NotRun(NotRunReason),
    /// It may have run.
    Unknown(UnknownReason),
}

/// Most attempts for one request.
pub const MAX_ATTEMPTS: u32 = 3;

/// Why a failed request gets no further attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GiveUp {
    /// It has had all its attempts.
    Attempts,
    /// The service's retry budget is used up.
    Budget,
    /// It may have run and may not be repeated.
    NotRepeatable,
    /// The node stops before another attempt could end.
    NodeStopping,
}

impl GiveUp {
    /// The name used in counters and decision events.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Attempts => "attempts_used_up",
            Self::Budget => "budget_used_up",
            Self::NotRepeatable => "not_repeatable",
            Self::NodeStopping => "node_stopping",
        }
    }
}

/// Attempts of one request so far.
///
/// A request is only reported as not run when none of its attempts may have run, whatever the last
/// one was.
#[derive(Debug, Clone, Copy)]
pub struct Attempts {
    is_repeatable: bool,
    max_runs: u32,
    failed: u32,
    may_have_run: u32,
    unknown: Option<UnknownReason>,
}

impl Attempts {
    /// A request without an attempt yet; `is_repeatable` says whether it may run twice.
    pub const fn new(is_repeatable: bool) -> Self {
        Self::with_max_runs(is_repeatable, MAX_ATTEMPTS)
    }

    /// A request that may run on `max_runs` targets at most; a target that certainly did not run it
    /// does not count.
    pub const fn with_max_runs(is_repeatable: bool, max_runs: u32) -> Self {
        Self {
            is_repeatable,
            max_runs,
            failed: 0,
            may_have_run: 0,
            unknown: None,
        }
    }

    /// Number of failed attempts.
    pub const fn failed(&self) -> u32 {
        self.failed
    }

    /// Counts a failed attempt and decides whether another one may follow.
    pub fn on_failure(
        &mut self,
        outcome: AttemptOutcome,
        budget: &mut RetryBudget,
        now_us: u64,
    ) -> Result<(), GiveUp> {
        self.failed += 1;
        if let AttemptOutcome::Unknown(reason) = outcome {
            self.unknown = Some(reason);
            self.may_have_run += 1;
        }
        if self.unknown.is_some() && !self.is_repeatable {
            return Err(GiveUp::NotRepeatable);
        }
        if self.failed >= MAX_ATTEMPTS || self.may_have_run >= self.max_runs {
            return Err(GiveUp::Attempts);
        }
        // A request that reached no target adds no load by going elsewhere.
        let is_unsent = outcome == AttemptOutcome::NotRun(NotRunReason::ConnectFailed);
        if is_unsent || budget.try_consume(now_us) {
            Ok(())
        } else {
            Err(GiveUp::Budget)
        }
    }

    /// Outcome of the whole request when its last attempt ended with `last`.
    pub const fn outcome(&self, last: AttemptOutcome) -> AttemptOutcome {
        match (last, self.unknown) {
            (AttemptOutcome::NotRun(_), Some(reason)) => AttemptOutcome::Unknown(reason),
            (last, _) => last,
        }
    }
}

/// Retries granted per request.
const SHARE: f64 = 0.1;
/// Retries granted in each second, however few requests there are.
const FLOOR_PER_S: f64 = 3.0;
/// Length of a period of the bucket.
const PERIOD_US: u64 = 1_000_000;

/// Retry budget of one service: a token bucket.
///
/// Each second grants three retries, or a share of the requests in that second where that
/// is more. What one second leaves over may be used in the next one and then lapses, so that a quiet
/// hour saves up no burst.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    floor_per_s: f64,
    period_start_us: u64,
    requests: u64,
    carried: f64,
    used: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(SHARE, FLOOR_PER_S)
    }
}

impl RetryBudget {
    /// A bucket that grants `share` of the requests, and `floor_per_s` however few there are.
    pub const fn new(share: f64, floor_per_s: f64) -> Self {
        Self {
            share,
            floor_per_s,
            period_start_us: 0,
            requests: 0,
            carried: 0.0,
            used: 0.0,
        }
    }

    /// Changes the floor, which depends on how many nodes share the budget.
    pub const fn set_floor_per_s(&mut self, floor_per_s: f64) {
        self.floor_per_s = floor_per_s;
    }

    /// Counts a request, by its first attempt.
    pub fn on_attempt(&mut self, now_us: u64) {
        self.advance(now_us);
        self.requests += 1;
    }

    /// Takes one retry out of the budget; `false` when there is none.
    pub fn try_consume(&mut self, now_us: u64) -> bool {
        self.advance(now_us);
        if self.used + 1.0 > self.granted() + self.carried {
            return false;
        }
        self.used += 1.0;
        true
    }

    fn granted(&self) -> f64 {
        (self.requests as f64 * self.share).max(self.floor_per_s)
    }

    fn advance(&mut self, now_us: u64) {
        let elapsed = now_us.saturating_sub(self.period_start_us);
        if elapsed < PERIOD_US {
            return;
        }
        let rest = (self.granted() + self.carried - self.used).max(0.0);
        // After a longer gap the periods in between were idle and left the floor over.
        self.carried = if elapsed < 2 * PERIOD_US {
            rest.min(self.granted())
        } else {
            self.floor_per_s
        };
        self.requests = 0;
        self.used = 0.0;
        self.period_start_us += elapsed - elapsed % PERIOD_US;
    }
}
