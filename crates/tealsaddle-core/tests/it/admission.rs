//! Tests of admission.

use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use tealsaddle_core::admission::{
    Admission, AdmissionConfig, AdmissionRequest, Estimate, RefusalReason, Targets,
};
use tealsaddle_core::name::Name;
use yare::parameterized;

fn request(customer: &str, share: f64, priority: u32) -> AdmissionRequest {
    AdmissionRequest {
        customer: Name::from(customer),
        priority,
        share,
        requests_per_s: None,
        targets: Targets {
            first_token_us: 490_000,
            between_tokens_us: 37_000,
        },
    }
}

fn estimate(engine_us: u64) -> Estimate {
    Estimate {
        engine_us,
        first_token_us: Some(100_000),
        between_tokens_us: 20_000,
        ..Estimate::default()
    }
}

/// Guards against a refusal with the wrong reason.
#[parameterized(
    draining = { RefusalReason::Draining, |e: &mut Estimate| e.is_draining = true },
    no_engine = { RefusalReason::NoEngine, |e: &mut Estimate| e.first_token_us = None },
    queue = { RefusalReason::QueueFull, |e: &mut Estimate| e.waiting = 256 },
    late = { RefusalReason::DeadlineInfeasible, |e: &mut Estimate| e.first_token_us = Some(490_001) },
    slow = { RefusalReason::DeadlineInfeasible, |e: &mut Estimate| e.between_tokens_us = 37_001 },
)]
fn refuses_with_the_reason(reason: RefusalReason, spoil: fn(&mut Estimate)) {
    let mut admission = Admission::new(AdmissionConfig::default());
    let mut poor = estimate(1_000);
    spoil(&mut poor);
    let refused = admission
        .admit(&request("liga", 1.0, 0), &poor, 0)
        .unwrap_err();
    assert_eq!(refused.reason, reason);
    assert!(refused.retry_after_ms > 0);
    admission
        .admit(&request("liga", 1.0, 0), &estimate(1_000), 0)
        .unwrap();
}

/// Guards against a rate limit that deviates from the agreed rate.
#[test]
fn admits_the_agreed_rate() {
    let mut admission = Admission::new(AdmissionConfig::default());
    let mut limited = request("liga", 1.0, 0);
    limited.requests_per_s = Some(5.0);
    let sends = 0..10_000;
    let admitted = sends
        .filter(|i| admission.admit(&limited, &estimate(1), i * 10_000).is_ok())
        .count();
    // 100 s at 5 requests per second, and a burst of 10.
    assert!((500..=510).contains(&admitted), "{admitted}");
}

/// Guards against a low priority class that fills a long queue at the expense of higher classes.
#[test]
fn a_lower_class_is_refused_earlier() {
    let mut admission = Admission::new(AdmissionConfig::default());
    let mut long = estimate(1_000);
    long.first_token_us = Some(450_000);
    admission.admit(&request("a", 1.0, 0), &long, 0).unwrap();
    let refused = admission
        .admit(&request("b", 1.0, 1), &long, 0)
        .unwrap_err();
    assert_eq!(refused.reason, RefusalReason::DeadlineInfeasible);
}

/// Guards against limiting customers while the demand is below the capacity.
#[test]
fn no_customer_is_limited_below_the_capacity() {
    let mut admission = Admission::new(AdmissionConfig::default());
    for i in 0..20_000 {
        let customer = if i % 10 == 0 { "small" } else { "large" };
        admission
            .admit(&request(customer, 1.0, 0), &estimate(9_000), i * 10_000)
            .unwrap();
    }
}

/// Guards against state that grows with the number of all customers ever seen.
#[test]
fn removes_idle_customers() {
    let mut admission = Admission::new(AdmissionConfig::default());
    for i in 0..220 {
        admission
            .admit(&request(&format!("c{i}"), 1.0, 0), &estimate(10), 0)
            .unwrap();
    }
    assert_eq!(admission.customers(), 220);
    admission
        .admit(&request("last", 1.0, 0), &estimate(10), 100_000_000)
        .unwrap();
    assert_eq!(admission.customers(), 1);
}

/// Guards against shares that depend on the number or size of requests instead of on the weight.
#[test]
fn shares_hold_under_overload() {
    let customers =
        proptest::collection::vec((0.5..4.0_f64, 1_000..20_000_u64, 0.2..4.0_f64), 3..20);
    let config = ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    TestRunner::new(config)
        .run(&customers, |customers| {
            let capacity = 1e6;
            let mut admission = Admission::new(AdmissionConfig::default());
            // Demands in engine time per second; the second half of the run is measured.
            let unit = 2.0 * capacity / customers.iter().map(|(_, _, d)| d).sum::<f64>();
            let mut next: Vec<f64> = vec![0.0; customers.len()];
            let mut used = vec![0.0; customers.len()];
            for tick in 0..60_000_u64 {
                let now_us = tick * 2_000;
                for (i, (share, cost, demand)) in customers.iter().enumerate() {
                    if next[i] > now_us as f64 {
                        continue;
                    }
                    next[i] += *cost as f64 / (demand * unit) * 1e6;
                    let sent = request(&format!("c{i}"), *share, 0);
                    if admission.admit(&sent, &estimate(*cost), now_us).is_ok() && tick >= 30_000 {
                        used[i] += *cost as f64 / 60.0;
                    }
                }
            }
            let total: f64 = used.iter().sum();
            prop_assert!((0.9..1.1).contains(&(total / capacity)), "total {total}");
            // Max-min fairness: a customer that is limited below its demand gets no less per unit of weight
            // than any other.
            let level = used
                .iter()
                .zip(&customers)
                .map(|(u, c)| u / c.0)
                .fold(0.0, f64::max);
            for (used, (share, _, demand)) in used.iter().zip(&customers) {
                let entitled = (level * share).min(demand * unit);
                prop_assert!(*used > 0.85 * entitled, "{used} of {entitled}");
            }
            Ok(())
        })
        .unwrap();
}

/// Guards against one customer taking the shares of the others, at the design number of 220 customers.
#[test]
fn flood_of_one_customer_does_not_limit_the_others() {
    let mut admission = Admission::new(AdmissionConfig::default());
    let names: Vec<String> = (0..220).map(|i| format!("c{i}")).collect();
    // Each of 219 customers requests 0.3% of the capacity, 66% in total, and the last one requests 200%.
    let (mut refused, mut flooded) = (0, 0);
    for tick in 0..60_000_u64 {
        let now_us = tick * 1_000;
        let small = tick as usize % 219;
        let sent = request(&names[small], 1.0, 0);
        let is_admitted = admission.admit(&sent, &estimate(657), now_us).is_ok();
        refused += u64::from(!is_admitted && tick >= 30_000);
        let flood = request(&names[219], 1.0, 0);
        let is_admitted = admission.admit(&flood, &estimate(2_000), now_us).is_ok();
        flooded += u64::from(is_admitted && tick >= 30_000);
    }
    assert_eq!(refused, 0);
    // The capacity that the others leave over 30 s, with the error of the averages.
    let share = flooded as f64 * 2_000.0 / 30e6;
    assert!((0.25..0.45).contains(&share), "{share}");
    assert_eq!(admission.customers(), 220);
}
