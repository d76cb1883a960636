//! Outcomes of attempts and limits on retries.
//!
//! An attempt ends with an answer, certainly without execution, or with an unknown outcome. A request that
//! is not idempotent is retried only if no earlier attempt may have executed it. A retry budget per service
//! limits the retries, so that an outage of one target does not multiply the load on the others.

/// Reason why an attempt or a request was certainly not executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NotRunReason {
    /// No connection to the target could be established.
    ConnectFailed,
    /// The target refused the request before executing it.
    TargetRefused,
    /// No engine or target accepts the request now.
    NoTarget,
    /// The node was stopping before it sent the request.
    NodeStopping,
    /// The target had asked for no request now, before this one was sent.
    Withheld,
    /// The retry budget had nothing left before the request was sent once more.
    RetryBudget,
}

impl NotRunReason {
    /// The name used in headers and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ConnectFailed => "connect_failed",
            Self::TargetRefused => "target_refused",
            Self::NoTarget => "no_target",
            Self::NodeStopping => "node_stopping",
            Self::Withheld => "withheld",
            Self::RetryBudget => "retry_budget",
        }
    }
}

/// Reason why it is unknown whether an attempt was executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum UnknownReason {
    /// The connection was lost after bytes had been sent.
    ConnectionLost,
    /// The connection was closed where the answer may end, and it is not known whether the target still ran.
    EndUnconfirmed,
    /// The target did not answer in time.
    Timeout,
    /// The answer violated the protocol.
    InvalidAnswer,
    /// The target reported a failure.
    TargetFailed,
    /// The node stopped before the answer arrived.
    NodeStopped,
}

impl UnknownReason {
    /// The name used in headers and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ConnectionLost => "connection_lost",
            Self::EndUnconfirmed => "end_unconfirmed",
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
    /// The complete answer arrived.
    Answered,
    /// The target certainly did not execute the request.
    NotRun(NotRunReason),
    /// The target may have executed the request.
    Unknown(UnknownReason),
}

/// Largest number of attempts for one request.
pub const MAX_ATTEMPTS: u32 = 3;

/// Reason why a failed request gets no further attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GiveUp {
    /// The request has used all its attempts.
    Attempts,
    /// The service's retry budget is used up.
    Budget,
    /// An attempt may have been executed, and the request may not be executed twice.
    NotRepeatable,
    /// The node stops before another attempt could end.
    NodeStopping,
}

impl GiveUp {
    /// Returns the name used in counters and decision events.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Attempts => "attempts_used_up",
            Self::Budget => "budget_used_up",
            Self::NotRepeatable => "not_repeatable",
            Self::NodeStopping => "node_stopping",
        }
    }
}

/// Failed attempts of one request.
///
/// A request is reported as not executed only if none of its attempts may have been executed, whatever the
/// outcome of the last attempt.
#[derive(Debug, Clone, Copy)]
pub struct Attempts {
    is_repeatable: bool,
    max_executions: u32,
    failed: u32,
    maybe_executed: u32,
    unknown: Option<UnknownReason>,
}

impl Attempts {
    /// Creates the state of a request without attempts. `is_repeatable` tells whether the request may be
    /// executed more than once.
    pub const fn new(is_repeatable: bool) -> Self {
        Self::with_max_executions(is_repeatable, MAX_ATTEMPTS)
    }

    /// Like [`new`](Self::new), for a request that may be executed by at most `max_executions` targets. A
    /// target that certainly did not execute the request does not count.
    pub const fn with_max_executions(is_repeatable: bool, max_executions: u32) -> Self {
        Self {
            is_repeatable,
            max_executions,
            failed: 0,
            maybe_executed: 0,
            unknown: None,
        }
    }

    /// Returns the number of failed attempts.
    pub const fn failed(&self) -> u32 {
        self.failed
    }

    /// Counts a failed attempt and decides whether another one may follow. A retry that is allowed is taken
    /// out of `budget`, unless the request has reached no target.
    pub fn on_failure(
        &mut self,
        outcome: AttemptOutcome,
        budget: &mut RetryBudget,
        now_us: u64,
    ) -> Result<(), GiveUp> {
        self.allows_after(outcome)?;
        // A request that has reached no target adds no load when it is sent to another one.
        let is_unsent = matches!(
            outcome,
            AttemptOutcome::NotRun(NotRunReason::ConnectFailed | NotRunReason::Withheld)
        );
        if is_unsent || budget.try_consume(now_us) {
            Ok(())
        } else {
            Err(GiveUp::Budget)
        }
    }

    /// Counts a failed attempt and returns whether another one may follow, as far as the request is concerned. A retry has
    /// to be taken out of the budget as well.
    pub const fn allows_after(&mut self, outcome: AttemptOutcome) -> Result<(), GiveUp> {
        self.count(outcome);
        if self.unknown.is_some() && !self.is_repeatable {
            return Err(GiveUp::NotRepeatable);
        }
        self.check_limits(0)
    }

    /// Counts a failed attempt.
    pub const fn count(&mut self, outcome: AttemptOutcome) {
        self.failed += 1;
        if let AttemptOutcome::Unknown(reason) = outcome {
            self.unknown = Some(reason);
            self.maybe_executed += 1;
        }
    }

    /// Returns whether another attempt may start beside `running` ones, which may all be executed, as far as
    /// the request is concerned. A retry has to be taken out of the budget as well.
    pub const fn allows_beside(&self, running: u32) -> Result<(), GiveUp> {
        if self.is_repeatable {
            self.check_limits(running)
        } else {
            Err(GiveUp::NotRepeatable)
        }
    }

    const fn check_limits(&self, running: u32) -> Result<(), GiveUp> {
        let has_attempts = self.failed + running < MAX_ATTEMPTS;
        if has_attempts && self.maybe_executed + running < self.max_executions {
            Ok(())
        } else {
            Err(GiveUp::Attempts)
        }
    }

    /// Decides whether another attempt may start beside one that has fallen silent and stays open. The silent
    /// attempt counts as failed only if so.
    pub fn on_silence(&mut self, budget: &mut RetryBudget, now_us: u64) -> Result<(), GiveUp> {
        let mut counted = *self;
        let outcome = AttemptOutcome::Unknown(UnknownReason::Timeout);
        counted.on_failure(outcome, budget, now_us)?;
        *self = counted;
        Ok(())
    }

    /// Returns the outcome of the whole request if its last attempt ended with `last`.
    pub const fn outcome(&self, last: AttemptOutcome) -> AttemptOutcome {
        match (last, self.unknown) {
            (AttemptOutcome::NotRun(_), Some(reason)) => AttemptOutcome::Unknown(reason),
            (last, _) => last,
        }
    }
}

/// Number of retries granted per request.
const RETRY_SHARE: f64 = 0.1;
/// Smallest number of retries granted per second, however few requests there are.
const MIN_RETRIES_PER_S: f64 = 3.0;
/// Length of a budget period.
const PERIOD_US: u64 = 1_000_000;

/// Retry budget of one service: a token bucket.
///
/// Each second grants a fixed number of retries or a share of that second's requests, whichever is larger
/// (three retries or a tenth of the requests by default). Unused retries of one second may be used in the
/// next one and then expire, so that an idle hour does not accumulate a burst.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    floor_per_s: f64,
    period_start_us: u64,
    requests: u64,
    /// Unused retries of the previous period.
    carried: f64,
    used: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(RETRY_SHARE, MIN_RETRIES_PER_S)
    }
}

impl RetryBudget {
    /// Creates a budget that grants retries for `share` of the requests, and at least `floor_per_s` retries
    /// per second.
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

    /// Sets the smallest number of retries per second, which depends on how many nodes share the budget.
    pub const fn set_floor_per_s(&mut self, floor_per_s: f64) {
        self.floor_per_s = floor_per_s;
    }

    /// Counts the first attempt of a request.
    pub fn on_first_attempt(&mut self, now_us: u64) {
        self.advance(now_us);
        self.requests += 1;
    }

    /// Takes one retry out of the budget. Returns `false` if none is left.
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
        let unused = (self.granted() + self.carried - self.used).max(0.0);
        // After a gap of more than one period, the previous period had no requests and left its minimum
        // unused.
        self.carried = if elapsed < 2 * PERIOD_US {
            unused.min(self.granted())
        } else {
            self.floor_per_s
        };
        self.requests = 0;
        self.used = 0.0;
        self.period_start_us += elapsed - elapsed % PERIOD_US;
    }
}
