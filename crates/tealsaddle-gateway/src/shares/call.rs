//! The share that a call takes of its customer's, and what becomes of it if no runner takes the call.

use std::sync::Arc;
use std::time::Duration;

use tealsaddle_core::fleet::customers::Customer;
use tealsaddle_core::fleet::shares::OverShare;
use tealsaddle_core::fleet::{prompt_tokens, shared_parts};
use tealsaddle_core::retry::NotRunReason;

use crate::answer::GatewayAnswer;
use crate::call::{Call, Refusal};
use crate::shares::TurnedAway;

/// Work of a request for a plain service: the requests of a service count alike.
const PLAIN_REQUEST_US: f64 = 40_000.0;
/// Smallest work of a request, for the time until the costs of its service are known.
const MIN_WORK_US: f64 = 1_000.0;
/// Share of the tokens of shared prompt parts that runners have to read. Most are in a cache.
const SHARED_READ: f64 = 0.1;

/// Work that has been taken from the share of a customer.
#[derive(Debug)]
pub struct TakenShare {
    customer: Arc<Customer>,
    work_us: f64,
}

impl Call {
    /// Takes the work of the call from the share of its customer, or refuses the call. `None` for a call without a
    /// customer, which is never limited.
    pub fn take_share(&self) -> Result<Option<TakenShare>, Refusal> {
        let Some(customer) = &self.customer else {
            return Ok(None);
        };
        let work_us = self.expected_work_us();
        let taken = self
            .gateway
            .shares
            .on_request(&self.service, &customer.name, work_us);
        match taken {
            Ok(()) => Ok(Some(TakenShare {
                customer: Arc::clone(customer),
                work_us,
            })),
            Err(over) => {
                self.log_over_share(customer, over);
                let wait = Duration::from_micros(over.wait_us);
                Err((GatewayAnswer::FairShare, wait))
            }
        }
    }

    /// Gives back the share of a call that no runner has taken, if that is for want of capacity.
    pub fn on_refused_with_share(&self, taken: &TakenShare, answer: GatewayAnswer) {
        if let Some(reason) = turned_away(answer) {
            let name = &taken.customer.name;
            self.gateway
                .shares
                .on_turned_away(&self.service, name, taken.work_us, reason);
        }
    }

    /// Runner time that the call is expected to take, in microseconds.
    fn expected_work_us(&self) -> f64 {
        let service = self.config.services.get(&self.service);
        let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
            return PLAIN_REQUEST_US;
        };
        let costs = self.gateway.shares.costs(&self.service);
        let parts = &self.metadata.parts;
        // Callers state the lengths; no runner takes more than its KV cache holds.
        let shared = prompt_tokens(shared_parts(parts)).min(engine.kv_tokens);
        let own = prompt_tokens(parts).min(engine.kv_tokens) - shared;
        let read_tokens = (shared as f64).mul_add(SHARED_READ, own as f64);
        let output_tokens = self.metadata.expected_output_tokens();
        let output_tokens = output_tokens.min(engine.kv_tokens) as f64;
        let work_us =
            read_tokens * costs.read_us_per_token + output_tokens * costs.generate_us_per_token;
        work_us.max(MIN_WORK_US)
    }

    fn log_over_share(&self, customer: &Customer, over: OverShare) {
        log::info!(id:% = self.request_id, service:% = self.service, customer:% = customer.name,
            share_us_per_s = over.share_us_per_s as u64, here_us_per_s = over.here_us_per_s as u64,
            used_us_per_s = over.used_us_per_s as u64, age_ms = over.age_us / 1_000,
            wait_ms = over.wait_us / 1_000; "customer has used its share");
    }
}

/// Why a call was refused, if its runners had no capacity for it.
const fn turned_away(answer: GatewayAnswer) -> Option<TurnedAway> {
    match answer {
        GatewayAnswer::DeadlineInfeasible
        | GatewayAnswer::NoRunner
        | GatewayAnswer::Refused(
            NotRunReason::TargetRefused | NotRunReason::NoTarget | NotRunReason::RetryBudget,
        ) => Some(TurnedAway::Full),
        GatewayAnswer::Withheld(_) | GatewayAnswer::Refused(NotRunReason::Withheld) => {
            Some(TurnedAway::Withheld)
        }
        _ => None,
    }
}
