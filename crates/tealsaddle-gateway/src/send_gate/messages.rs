//! Forms in which nodes tell each other what runners ask for. Times are sent as ages, since clocks differ.

use std::time::Duration;

use tealsaddle_core::fleet::backpressure::RateObservation;
use tealsaddle_core::fleet::permit_counter::{Ask, Reply, RunnerTerms};
use tealsaddle_core::name::Name;
use tealsaddle_schema::fleet::{PermitReply, PermitRequest, RunnerTerms as SentTerms, TermsNotice};

/// Path of a [`PermitRequest`].
pub const PERMIT_PATH: &str = "/permits";
/// Path of a [`TermsNotice`].
pub const TERMS_PATH: &str = "/terms";
/// Path of the question for all that a node knows, whose answer is a [`TermsNotice`].
pub const KNOWN_PATH: &str = "/known-terms";
/// Path of the question whether a node can be reached.
pub const REACH_PATH: &str = "/reached";

/// Converts terms to the form in which they are sent now.
pub fn encode_terms(terms: &RunnerTerms, now_us: u64) -> SentTerms {
    SentTerms {
        runner: terms.runner.to_string(),
        started_unix_ms: terms.started_unix_ms,
        is_leaving: terms.is_leaving,
        is_limited: terms.rate.limit_per_s.is_some(),
        limit_per_s: terms.rate.limit_per_s.unwrap_or(0.0),
        sent_age_us: now_us.saturating_sub(terms.rate.sent_us),
        seen_age_us: now_us.saturating_sub(terms.rate.seen_us),
    }
}

/// Converts terms that have just arrived; `None` if they name no runner or an impossible limit.
pub fn decode_terms(sent: &SentTerms, now_us: u64) -> Option<RunnerTerms> {
    let is_possible = sent.limit_per_s.is_finite() && sent.limit_per_s >= 0.0;
    if sent.runner.is_empty() || !is_possible {
        return None;
    }
    Some(RunnerTerms {
        runner: Name::from(sent.runner.as_str()),
        started_unix_ms: sent.started_unix_ms,
        is_leaving: sent.is_leaving,
        rate: RateObservation {
            limit_per_s: sent.is_limited.then_some(sent.limit_per_s),
            sent_us: now_us.saturating_sub(sent.sent_age_us),
            seen_us: now_us.saturating_sub(sent.seen_age_us),
        },
    })
}

/// The message by which a node tells what it knows, and asks for a permit if `max_wait` is given.
pub fn permit_request(
    terms: &RunnerTerms,
    max_wait: Option<Duration>,
    now_us: u64,
) -> PermitRequest {
    PermitRequest {
        terms: Some(encode_terms(terms, now_us)),
        wants_permit: max_wait.is_some(),
        max_wait_us: max_wait.unwrap_or_default().as_micros() as u64,
    }
}

/// The request for a permit in a message; `None` if it only tells.
pub fn ask_of(request: &PermitRequest, runner: &Name) -> Option<Ask> {
    request.wants_permit.then(|| Ask {
        runner: Name::clone(runner),
        max_wait_us: request.max_wait_us,
    })
}

/// The answer to a request for a permit.
pub fn encode_reply(reply: Reply, terms: Option<&RunnerTerms>, now_us: u64) -> PermitReply {
    let (is_granted, wait_us, return_us) = match reply {
        Reply::Granted { wait_us } => (true, wait_us, 0),
        Reply::Denied { wait_us, return_us } => (false, wait_us, return_us),
    };
    PermitReply {
        is_granted,
        wait_us,
        return_us,
        terms: terms.map(|terms| encode_terms(terms, now_us)),
    }
}

/// The reply in an answer.
pub const fn decode_reply(reply: &PermitReply) -> Reply {
    let PermitReply {
        wait_us, return_us, ..
    } = *reply;
    if reply.is_granted {
        Reply::Granted { wait_us }
    } else {
        Reply::Denied { wait_us, return_us }
    }
}

/// The message that tells nodes what runners have begun to ask for.
pub fn notice(terms: &[RunnerTerms], now_us: u64) -> TermsNotice {
    let terms = terms.iter().map(|terms| encode_terms(terms, now_us));
    TermsNotice {
        terms: terms.collect(),
    }
}
