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
}

impl NotRunReason {
    /// The name used in headers and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ConnectFailed => "connect_failed",
            Self::TargetRefused => "target_refused",
            Self::NoTarget => "no_target",
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
}

impl UnknownReason {
    /// The name used in headers and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ConnectionLost => "connection_lost",
            Self::Timeout => "timeout",
            Self::InvalidAnswer => "invalid_answer",
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
