//! Admission control for completions.
//!
//! Limits apply to the whole deployment, and each node enforces its share without coordination: the
//! request rate of a customer is divided by the number of registered nodes, and the engine capacity
//! of a model in a zone by the number of registered nodes in that zone.

use tealsaddle_core::admission::{AdmissionRequest, Estimate, RefusalReason, Refused, Targets};
use tealsaddle_core::decision::{Decision, DecisionKind};
use tealsaddle_core::name::Name;

use hyper::StatusCode;

use super::completion::Completion;
use super::dispatch::RequestContext;
use super::response::Refusal;
use crate::clock;
use crate::traffic::{Snapshot, Traffic};

/// Admits a completion, or refuses it with a reason and the outcome "not run".
pub fn admit(
    traffic: &Traffic,
    context: &RequestContext,
    completion: &Completion,
    targets: Targets,
    estimate: &Estimate,
) -> Result<(), Refusal> {
    let snapshot = traffic.snapshot.load();
    let customer = context.customer.as_ref();
    let request = AdmissionRequest {
        customer: customer.map_or_else(|| Name::from(""), |customer| Name::clone(&customer.name)),
        priority: completion.priority,
        share: customer.map_or(1.0, |customer| customer.share),
        // `check_rate` has applied the request rate already.
        requests_per_s: None,
        targets,
    };
    let now_us = clock::now_us();
    let model = &completion.model.name;
    let capacity = capacity_us_per_s(traffic, &snapshot, model);
    let admitted = traffic.with_admission(model, |admission| {
        admission.set_capacity(capacity);
        admission.admit(&request, estimate, now_us)
    });
    let choice = match &admitted {
        Ok(()) => "admitted",
        Err(refused) => refused.reason.as_str(),
    };
    let first_token_ms = estimate.first_token_us.unwrap_or(0) / 1_000;
    traffic.record(Decision {
        at_us: now_us,
        kind: DecisionKind::Admit,
        subject: completion.request_id.clone(),
        choice: choice.to_owned(),
        reason: "rate, share, queue and deadline of the customer".to_owned(),
        inputs: vec![
            ("customer".to_owned(), request.customer.to_string()),
            ("first_token_ms".to_owned(), first_token_ms.to_string()),
            (
                "engine_ms".to_owned(),
                (estimate.engine_us / 1_000).to_string(),
            ),
            ("waiting".to_owned(), estimate.waiting.to_string()),
        ],
        alternatives: Vec::new(),
    });
    admitted.map_err(refusal)
}

/// Enforces the request rate of a customer over all models and services.
///
/// A request counts at the node that runs it, not at nodes that forward it. The hop count in its
/// header plays no part, so a caller cannot evade the limit by setting the header.
pub fn check_rate(traffic: &Traffic, context: &RequestContext) -> Result<(), Refusal> {
    let Some(customer) = &context.customer else {
        return Ok(());
    };
    let Some(rate) = customer.requests_per_s else {
        return Ok(());
    };
    let snapshot = traffic.snapshot.load();
    let nodes = snapshot
        .peers
        .iter()
        .filter(|peer| peer.is_registered)
        .count()
        + 1;
    let request = AdmissionRequest {
        customer: Name::clone(&customer.name),
        priority: customer.priority,
        share: customer.share,
        requests_per_s: Some(rate / nodes as f64),
        targets: Targets {
            first_token_us: u64::MAX,
            between_tokens_us: u64::MAX,
        },
    };
    // With an empty estimate and unlimited targets only the rate can refuse the request.
    let estimate = Estimate {
        first_token_us: Some(0),
        ..Estimate::default()
    };
    let now_us = clock::now_us();
    // The pool without a model name holds the rates over all models and services.
    let admitted = traffic.with_admission(&Name::from(""), |admission| {
        admission.admit(&request, &estimate, now_us)
    });
    let Err(refused) = admitted else {
        return Ok(());
    };
    traffic.record(Decision {
        at_us: now_us,
        kind: DecisionKind::Admit,
        subject: context.request_id.clone(),
        choice: refused.reason.as_str().to_owned(),
        reason: "rate of the customer over all models and services".to_owned(),
        inputs: vec![
            ("customer".to_owned(), customer.name.to_string()),
            ("requests_per_s".to_owned(), rate.to_string()),
            ("nodes".to_owned(), nodes.to_string()),
        ],
        alternatives: Vec::new(),
    });
    Err(refusal(refused))
}

/// Engine time, in microseconds per second, that this node may allocate to a model.
fn capacity_us_per_s(traffic: &Traffic, snapshot: &Snapshot, model: &str) -> f64 {
    let zone = &traffic.settings.zone;
    let open_engines = snapshot.inventory.as_ref().map_or(0, |inventory| {
        inventory
            .engines_for(zone, model)
            .filter(|engine| snapshot.open_engines.contains_key(&engine.name))
            .count()
    });
    let is_zone_peer =
        |peer: &&crate::traffic::PeerEndpoint| peer.is_registered && peer.zone == *zone;
    let nodes = snapshot.peers.iter().filter(is_zone_peer).count() + 1;
    open_engines as f64 * 1e6 / nodes as f64
}

fn refusal(refused: Refused) -> Refusal {
    let (status, message) = match refused.reason {
        RefusalReason::CustomerRate => (
            StatusCode::TOO_MANY_REQUESTS,
            "the customer sends more requests than agreed",
        ),
        RefusalReason::FairShare => (
            StatusCode::TOO_MANY_REQUESTS,
            "the customer has used its share while others wait",
        ),
        RefusalReason::QueueFull => (
            StatusCode::SERVICE_UNAVAILABLE,
            "too many requests wait for the model",
        ),
        RefusalReason::DeadlineInfeasible => (
            StatusCode::SERVICE_UNAVAILABLE,
            "the answer would be late; try again later",
        ),
        RefusalReason::NoEngine | RefusalReason::Draining => (
            StatusCode::SERVICE_UNAVAILABLE,
            "no engine takes work for the model now",
        ),
    };
    Refusal {
        retry_after_s: Some(refused.retry_after_ms.div_ceil(1_000).max(1)),
        ..Refusal::not_run(status, refused.reason.as_str(), message)
    }
}
