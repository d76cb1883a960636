//! How ends of requests count for the number of runners.

use std::time::Duration;

use tealsaddle_core::fleet::config::Route;
use tealsaddle_core::fleet::send_gate::HoldReason;
use tealsaddle_core::retry::NotRunReason;

use crate::answer::GatewayAnswer;
use crate::progress::Progress;

/// Answers that are given for lack of runners.
const LACKS: [GatewayAnswer; 9] = [
    GatewayAnswer::NoRunner,
    GatewayAnswer::DeadlineInfeasible,
    GatewayAnswer::FairShare,
    GatewayAnswer::Withheld(HoldReason::Leaving),
    GatewayAnswer::Withheld(HoldReason::Paused),
    GatewayAnswer::Withheld(HoldReason::Limited),
    GatewayAnswer::Refused(NotRunReason::TargetRefused),
    GatewayAnswer::Refused(NotRunReason::NoTarget),
    GatewayAnswer::Refused(NotRunReason::RetryBudget),
];

/// Whether the outcome of a request, as it is logged, is a refusal for lack of runners.
pub fn is_lack(outcome: &str) -> bool {
    LACKS.iter().any(|lack| lack.as_str() == outcome)
}

/// Whether a request that has taken `took` is late by the objective of its route: that for the first event of a stream, or
/// for the whole answer.
pub fn is_late(route: &Route, progress: &Progress, took: Duration) -> bool {
    let took_ms = if progress.has_begun() {
        progress.first_event_ms()
    } else {
        took.as_millis() as u64
    };
    took_ms > route.objective_ms
}
