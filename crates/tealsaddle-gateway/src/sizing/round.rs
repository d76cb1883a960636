//! Orders of one round: recorded together, sent at the same time.

use std::sync::Arc;

use tealsaddle_core::fleet::sizing::RunnerKind;
use tealsaddle_core::fleet::sizing::demand::ServiceDemand;
use tealsaddle_core::fleet::sizing::planner::{Decision, OrderOutcome, OrderReason, PlannedOrder};
use tealsaddle_core::name::Name;

use super::Sizing;
use super::records::{self, OrderRecord};
use crate::clock;
use crate::duties::DutyTerm;
use crate::error::StoreError;
use crate::external::{DutyCaller, DutyOutcome, SizeOrder};

/// Status with which the platform tells that there are no such runners in this zone now.
const NONE_AVAILABLE: u16 = 409;

/// An order that is due, with its service.
#[derive(Debug)]
pub struct DueOrder {
    service: Name,
    order: PlannedOrder,
}

impl DueOrder {
    /// An order for a service.
    pub fn new(service: &Name, order: PlannedOrder) -> Self {
        Self {
            service: Name::clone(service),
            order,
        }
    }
}

impl Sizing {
    /// Records the orders and sends them.
    pub(super) async fn order(&mut self, term: &DutyTerm, due: Vec<DueOrder>) {
        let recorded_us = clock::now_us();
        let to_record: Vec<OrderRecord> = due
            .iter()
            .map(|due| OrderRecord::new(&due.service, &due.order, term.fence()))
            .collect();
        if let Err(error) = records::write(&self.control, term, &to_record).await {
            self.increment("sizing.records_failed");
            if matches!(error, StoreError::Conflict) {
                self.term.on_conflict(term);
            }
            log::warn!(error:%, orders = due.len(), fence = term.fence();
                "orders for runners cannot be recorded and are not sent");
            return;
        }
        let sent = due.iter().map(|due| self.send(term, due, recorded_us));
        let outcomes = futures::future::join_all(sent).await;
        let Some(state) = &mut self.state else {
            return;
        };
        for (due, (sent_us, outcome)) in due.iter().zip(outcomes) {
            let service_state = state.services.entry(Name::clone(&due.service)).or_default();
            let order = &due.order;
            let sizer = &mut service_state.sizer;
            sizer.on_order(&order.subject, order.runners, order.before, sent_us);
            sizer.on_outcome(&order.subject, outcome, clock::now_us());
        }
    }

    /// Sends an order, if this node is still the holder; returns when and what became of it.
    async fn send(&self, term: &DutyTerm, due: &DueOrder, recorded_us: u64) -> (u64, OrderOutcome) {
        let DueOrder { service, order } = due;
        let sent_us = clock::now_us();
        if !self.term.may_send(term, recorded_us) {
            self.increment("sizing.not_sent");
            log::warn!(service:%, zone:% = order.subject.zone, kind = order.subject.kind.as_str(),
                recorded_ms = sent_us.saturating_sub(recorded_us) / 1_000, fence = term.fence();
                "order for runners is not sent: the term is over, or its record took too long");
            return (sent_us, OrderOutcome::Refused);
        }
        let size = SizeOrder {
            service: Name::clone(service),
            zone: Name::clone(&order.subject.zone),
            runners: order.runners,
            is_spot: order.subject.kind == RunnerKind::Spot,
        };
        let gateway = Arc::clone(&self.control.gateway);
        let caller = DutyCaller {
            node: &gateway.config.node,
            fence: term.fence(),
        };
        let answered = self.platform.order_runners(caller, &size).await;
        let (outcome, name) = match answered {
            DutyOutcome::Accepted => (OrderOutcome::Accepted, "accepted"),
            DutyOutcome::Refused(NONE_AVAILABLE) => (OrderOutcome::NoneAvailable, "none_available"),
            DutyOutcome::Refused(_) => (OrderOutcome::Refused, "refused"),
            DutyOutcome::Unknown => (OrderOutcome::Unknown, "unknown"),
        };
        self.increment(&format!("sizing.outcome.{name}"));
        self.increment(&format!("sizing.ordered.{}", reason_name(order.reason)));
        let kind = order.subject.kind.as_str();
        let gauge = format!("sizing.last_order.{service}.{}.{kind}", order.subject.zone);
        gateway.metrics.set(&gauge, u64::from(order.runners));
        log::info!(service:%, zone:% = order.subject.zone, kind, runners = order.runners,
            before = order.before, reason = reason_name(order.reason), fence = term.fence(),
            outcome:? = answered, took_ms = clock::now_us().saturating_sub(sent_us) / 1_000;
            "runners ordered");
        (sent_us, outcome)
    }
}

const fn reason_name(reason: OrderReason) -> &'static str {
    match reason {
        OrderReason::Needed => "needed",
        OrderReason::Cheaper => "cheaper",
        OrderReason::Surplus => "surplus",
    }
}

/// Logs a decision with its inputs.
pub fn log_decision(service: &Name, decision: &Decision, demand: Option<&ServiceDemand>) {
    let demand_text = |value: fn(&ServiceDemand) -> f64| {
        demand.map_or_else(|| "-".to_owned(), |demand| format!("{:.2}", value(demand)))
    };
    log::info!(service:%, orders = decision.orders.len(), hold = decision.hold.unwrap_or("none"),
        needed = format!("{:.1}", decision.needed), expected = decision.expected,
        ready = decision.ready, left_after_loss = decision.left_after_loss,
        price = format!("{:.2}", decision.price), aimed_price = format!("{:.2}", decision.aimed_price),
        requests_per_s = demand_text(|d| d.requests_per_s), reading = demand_text(|d| d.reading),
        running = demand_text(|d| d.running), kv_tokens = demand_text(|d| d.kv_tokens),
        prefill_ratio = demand_text(|d| d.prefill_ratio.unwrap_or(0.0)),
        decode_ratio = demand_text(|d| d.decode_ratio.unwrap_or(0.0)),
        refused_share = demand_text(|d| d.refused_share), late_share = demand_text(|d| d.late_share),
        known_share = demand_text(|d| d.known_share),
        demand_age_ms = demand.map_or(0, |demand| demand.age_us / 1_000);
        "number of runners decided");
}
