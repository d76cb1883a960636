//! Tests of single decisions on numbers of runners.

use std::sync::Arc;

use tealsaddle_core::fleet::Runner;
use tealsaddle_core::fleet::config::Scaling;
use tealsaddle_core::fleet::sizing::demand::ServiceDemand;
use tealsaddle_core::fleet::sizing::layout;
use tealsaddle_core::fleet::sizing::planner::{
    Decision, Observation, OrderOutcome, OrderReason, PlannedOrder, ServiceSizer,
};
use tealsaddle_core::fleet::sizing::{RunnerKind, Subject};
use tealsaddle_core::name::Name;
use yare::parameterized;

use super::scaling;
use crate::fleet::{SECOND_US, draining, runner};

fn subject(zone: &str, kind: RunnerKind) -> Subject {
    Subject {
        zone: Name::from(zone),
        kind,
    }
}

/// Regular runners of a plain service in each zone.
fn regular(each: usize) -> Vec<Arc<Runner>> {
    let zones = ["a", "b", "c"];
    let ids = (0..3 * each).map(|i| (format!("r{i}"), zones[i % 3]));
    ids.map(|(id, zone)| runner(&id, zone, None)).collect()
}

/// Demand that keeps this many places in use; each runner has four.
fn demand(running: f64) -> ServiceDemand {
    ServiceDemand {
        requests_per_s: 100.0,
        running,
        known_share: 1.0,
        ..ServiceDemand::default()
    }
}

/// Decides once a second on unchanging runners and demand, and returns the first decision with orders.
fn first_orders(
    sizer: &mut ServiceSizer,
    runners: &[Arc<Runner>],
    demand: &ServiceDemand,
    seconds: std::ops::Range<u64>,
) -> Option<(u64, Decision)> {
    let scaling = scaling();
    seconds
        .map(|at| (at, decide(sizer, runners, demand, &scaling, at)))
        .find(|(_at, decision)| !decision.orders.is_empty())
}

fn decide(
    sizer: &mut ServiceSizer,
    runners: &[Arc<Runner>],
    demand: &ServiceDemand,
    scaling: &Scaling,
    at_s: u64,
) -> Decision {
    let seen = Observation {
        runners,
        demand: Some(demand),
        scaling,
        engine: None,
        has_stage_moves: false,
    };
    sizer.decide(&seen, at_s * SECOND_US)
}

/// Guards against numbers that do not survive the loss of a zone, break the bounds, or cost more than needed.
#[parameterized(one = { 1 }, few = { 4 }, many = { 60 }, most = { 180 })]
fn layout_leaves_enough_after_the_worst_loss(needed: u32) {
    let scaling = scaling();
    let counts = layout::cheapest(needed, &scaling, |_| u32::MAX);
    assert!(counts.left_after_loss() >= needed, "{counts:?}");
    for zone in scaling.zone_prices.keys() {
        let in_zone = counts.in_zone(zone);
        assert!((scaling.min..=scaling.max).contains(&in_zone), "{counts:?}");
    }
    // Half as many again at the price of regular runners in the cheapest zone.
    let regular_price = f64::from(needed) * 1.5 * 0.8 + 3.05;
    assert!(counts.price(&scaling) <= regular_price, "{counts:?}");
}

/// Guards against a zone without runners to be had that is counted on.
#[test]
fn layout_uses_other_zones_when_one_has_none() {
    let is_blocked = |subject: &Subject| *subject.zone == *"b";
    let limit = |subject: &Subject| if is_blocked(subject) { 0 } else { u32::MAX };
    let counts = layout::cheapest(40, &scaling(), limit);
    assert_eq!(counts.in_zone("b"), 0, "{counts:?}");
    assert!(counts.left_after_loss() >= 40, "{counts:?}");
}

/// Guards against a wait before runners are ordered that callers lack.
#[test]
fn lack_is_answered_at_once() {
    let mut sizer = ServiceSizer::default();
    let runners = regular(1);
    let decision = decide(&mut sizer, &runners, &demand(40.0), &scaling(), 1);
    assert!(!decision.orders.is_empty());
    let is_needed = |reason| reason == OrderReason::Needed;
    assert!(decision.orders.iter().all(|o| is_needed(o.reason)));
    let ordered: u32 = decision.orders.iter().map(|o| o.runners - o.before).sum();
    assert!(ordered + 3 >= 30, "{decision:?}");
}

/// Guards against the same order being sent each second until the runners have registered, and against waiting for ever for
/// what was accepted and does not come.
#[test]
fn lack_is_ordered_once_and_then_elsewhere() {
    let mut sizer = ServiceSizer::default();
    let runners = regular(4);
    let first = decide(&mut sizer, &runners, &demand(40.0), &scaling(), 1);
    assert!(
        first
            .orders
            .iter()
            .all(|o| o.subject.kind == RunnerKind::Spot),
        "{first:?}"
    );
    for order in &first.orders {
        sizer.on_order(&order.subject, order.runners, order.before, SECOND_US);
        sizer.on_outcome(&order.subject, OrderOutcome::Accepted, SECOND_US);
    }
    let again = first_orders(&mut sizer, &runners, &demand(40.0), 2..9);
    assert!(again.is_none(), "{again:?}");
    let (_at, elsewhere) = first_orders(&mut sizer, &runners, &demand(40.0), 9..12)
        .expect("what has not registered is not there");
    let is_same = |subject: &Subject| first.orders.iter().any(|o| o.subject == *subject);
    assert!(
        elsewhere.orders.iter().all(|o| !is_same(&o.subject)),
        "{elsewhere:?}"
    );
}

/// Guards against asking again at once for what is not to be had, and against never asking again.
#[test]
fn refused_kind_is_tried_again_later() {
    let mut sizer = ServiceSizer::default();
    let runners = regular(4);
    let first = decide(&mut sizer, &runners, &demand(40.0), &scaling(), 1);
    for order in &first.orders {
        sizer.on_order(&order.subject, order.runners, order.before, SECOND_US);
        sizer.on_outcome(&order.subject, OrderOutcome::NoneAvailable, SECOND_US);
    }
    let is_refused = |order: &PlannedOrder| {
        let mut refused = first.orders.iter();
        refused.any(|first| first.subject == order.subject)
    };
    let next = decide(&mut sizer, &runners, &demand(40.0), &scaling(), 2);
    assert!(!next.orders.is_empty());
    assert!(!next.orders.iter().any(is_refused), "{next:?}");
    let later = decide(&mut sizer, &runners, &demand(40.0), &scaling(), 13);
    assert!(later.orders.iter().any(is_refused), "{later:?}");
}

/// Guards against runners given up in one go, or before the demand has been known for a while.
#[test]
fn surplus_is_given_up_in_steps() {
    let mut sizer = ServiceSizer::default();
    let runners = regular(20);
    let scaling = Scaling {
        spot_price: None,
        ..scaling()
    };
    let mut orders = Vec::new();
    for at_s in 0..30 {
        let decision = decide(&mut sizer, &runners, &demand(4.0), &scaling, at_s);
        for order in decision.orders {
            assert!(at_s >= 8, "{order:?}");
            assert!(order.before - order.runners <= 8, "{order:?}");
            sizer.on_order(
                &order.subject,
                order.runners,
                order.before,
                at_s * SECOND_US,
            );
            orders.push((at_s, order));
        }
    }
    let lowered: Vec<_> = orders
        .iter()
        .map(|(at, order)| (*at, order.reason))
        .collect();
    assert!(
        lowered
            .iter()
            .all(|(_, reason)| *reason == OrderReason::Surplus)
    );
    assert!(!lowered.is_empty());
    let pauses = lowered.windows(2).map(|pair| pair[1].0 - pair[0].0);
    assert!(pauses.min().is_none_or(|pause| pause >= 4), "{lowered:?}");
}

/// Guards against runners given up while something else changes, or the demand is not known.
#[parameterized(
    shortage = { |seen: &mut Seen| seen.demand.refused_share = 0.02 },
    late = { |seen: &mut Seen| seen.demand.late_share = 0.3 },
    few_nodes = { |seen: &mut Seen| seen.demand.known_share = 0.4 },
    no_requests = { |seen: &mut Seen| seen.demand.requests_per_s = 0.0 },
    runner_leaving = { |seen: &mut Seen| { let leaving = draining(&seen.runners[0]); seen.runners.push(leaving); } },
    moving = { |seen: &mut Seen| seen.has_stage_moves = true },
)]
fn nothing_is_given_up(change: fn(&mut Seen)) {
    let mut seen = Seen {
        runners: regular(40),
        // More than half of the runners are needed, and some can be spared.
        demand: demand(122.0),
        has_stage_moves: false,
    };
    let scaling = Scaling {
        spot_price: None,
        ..scaling()
    };
    let lowers = |seen: &Seen| {
        let mut sizer = ServiceSizer::default();
        (0..40).any(|at_s| {
            let observation = Observation {
                runners: &seen.runners,
                demand: Some(&seen.demand),
                scaling: &scaling,
                engine: None,
                has_stage_moves: seen.has_stage_moves,
            };
            let decision = sizer.decide(&observation, at_s * SECOND_US);
            decision.orders.iter().any(|o| o.runners < o.before)
        })
    };
    assert!(lowers(&seen), "the surplus is given up otherwise");
    change(&mut seen);
    assert!(!lowers(&seen));
}

struct Seen {
    runners: Vec<Arc<Runner>>,
    demand: ServiceDemand,
    has_stage_moves: bool,
}

/// Guards against a successor that reverses a recent order of its predecessor.
#[test]
fn successor_keeps_to_recent_orders() {
    let of_zone = subject("b", RunnerKind::Spot);
    let mut runners = regular(1);
    let zones = ["a", "c"].into_iter().chain(std::iter::repeat_n("b", 30));
    let spot = zones.enumerate().map(|(i, zone)| {
        let mut spot = Runner::clone(&runner(&format!("s{i}"), zone, None));
        spot.is_spot = true;
        Arc::new(spot)
    });
    runners.extend(spot);
    let first_lowered = |mut sizer: ServiceSizer| {
        let is_lowered =
            |order: &PlannedOrder| order.subject == of_zone && order.runners < order.before;
        (0..60)
            .find(|at_s| {
                let decision = decide(&mut sizer, &runners, &demand(4.0), &scaling(), *at_s);
                decision.orders.iter().any(is_lowered)
            })
            .expect("the surplus is given up at last")
    };
    let mut successor = ServiceSizer::default();
    successor.adopt(&of_zone, 30, 0, 0);
    assert!(first_lowered(ServiceSizer::default()) < 15);
    assert!(first_lowered(successor) >= 15);
}

/// Guards against spot runners that are ordered where all of them are just being taken away.
#[test]
fn reclaimed_zone_is_left_alone() {
    let mut sizer = ServiceSizer::default();
    let mut runners = regular(3);
    let reclaimed = (0..20).map(|i| {
        let mut spot = Runner::clone(&draining(&runner(&format!("s{i}"), "b", None)));
        spot.is_spot = true;
        spot.leaves_ms = Some(2_300);
        Arc::new(spot)
    });
    runners.extend(reclaimed);
    let decision = decide(&mut sizer, &runners, &demand(40.0), &scaling(), 1);
    assert!(!decision.orders.is_empty());
    let of_zone = subject("b", RunnerKind::Spot);
    assert!(
        decision.orders.iter().all(|o| o.subject != of_zone),
        "{decision:?}"
    );
}
