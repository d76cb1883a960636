//! Histories of load and failures, with what callers have to get and what it may cost.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

use super::sim::{Answers, Event, History, Outcome, planned_need, play};
use crate::fleet::SECOND_US;

fn steady(_at_s: f64) -> f64 {
    25.0
}

fn swinging(at_s: f64) -> f64 {
    25.0 * (1.0 + 0.55 * (at_s / 60.0 * std::f64::consts::TAU).sin())
}

fn stepping(at_s: f64) -> f64 {
    match (at_s / 45.0) as u64 % 3 {
        0 => 14.0,
        1 => 24.0,
        _ => 18.0,
    }
}

/// Bursts of two seconds, half as much again as between them.
fn bursting(at_s: f64) -> f64 {
    if at_s % 20.0 < 2.0 { 30.0 } else { 20.0 }
}

fn rising(at_s: f64) -> f64 {
    8.0 + 0.2 * at_s
}

fn ending(at_s: f64) -> f64 {
    if at_s < 60.0 { 25.0 } else { 2.0 }
}

fn history(load: fn(f64) -> f64, seed: u64) -> History {
    History {
        seed,
        seconds: 240,
        load: Box::new(load),
        at_start: 47,
        answers: Answers::default(),
        events: Vec::new(),
    }
}

/// Guards against a need that is worked out otherwise than the histories check it.
#[test]
fn need_follows_from_both_stages() {
    assert!((planned_need(25.0) - (25.0 * 0.4 / 0.6 + 25.0 * 0.6 / 0.7)).abs() < 1e-6);
    assert!((planned_need(0.0) - 4.0).abs() < 1e-6);
}

fn check(outcome: &Outcome, least_of_needed: f64, orders: usize, price: f64) {
    assert!(
        outcome.least_ready >= 1.0,
        "busy beyond all runners: {outcome:?}"
    );
    assert!(outcome.least_of_needed >= least_of_needed, "{outcome:?}");
    assert!(outcome.orders <= orders, "{outcome:?}");
    assert_eq!(outcome.reversals, 0, "{outcome:?}");
    assert!(outcome.price_share <= price, "{outcome:?}");
    assert!(outcome.most_in_zone <= 94, "{outcome:?}");
}

/// Guards against runners that are given up although callers need them, orders without need, and runners that are paid
/// for without use, under demand without failures.
#[parameterized(
    steady_load = { steady, 1.0, 40, 0.45 },
    swinging_load = { swinging, 1.0, 70, 0.55 },
    stepping_load = { stepping, 1.0, 60, 0.5 },
    bursting_load = { bursting, 1.0, 50, 0.5 },
    rising_load = { rising, 1.0, 60, 0.55 },
    ending_load = { ending, 1.0, 60, 0.45 },
)]
fn capacity_follows_demand(load: fn(f64) -> f64, least_of_needed: f64, orders: usize, price: f64) {
    for seed in 0..4 {
        check(&play(&history(load, seed)), least_of_needed, orders, price);
    }
}

fn reclaim_each_zone() -> Vec<(u64, Event)> {
    let for_us = 25 * SECOND_US;
    let zones = [(100, 0), (140, 1), (180, 2)];
    zones
        .map(|(at, zone)| (at, Event::Reclaim { zone, for_us }))
        .to_vec()
}

fn spot_is_scarce() -> Vec<(u64, Event)> {
    let for_us = 60 * SECOND_US;
    vec![
        (5, Event::NoSpot { zone: 1, for_us }),
        (90, Event::NoSpot { zone: 0, for_us }),
    ]
}

fn zone_is_lost() -> Vec<(u64, Event)> {
    let for_us = 40 * SECOND_US;
    vec![(120, Event::LoseZone { zone: 1, for_us })]
}

fn nodes_are_cut() -> Vec<(u64, Event)> {
    let for_us = 50 * SECOND_US;
    vec![(60, Event::CutNodes { zone: 2, for_us })]
}

fn holder_changes() -> Vec<(u64, Event)> {
    let after_us = 9 * SECOND_US;
    [14, 33, 61, 110]
        .map(|at| (at, Event::ChangeHolder { after_us }))
        .to_vec()
}

/// Guards against callers that are short of runners, or orders in circles, when runners or answers are lost.
#[parameterized(
    spot_taken_steady = { steady, reclaim_each_zone, 1.0, 90, 0.55 },
    spot_taken_swinging = { swinging, reclaim_each_zone, 1.0, 100, 0.65 },
    no_spot = { steady, spot_is_scarce, 1.0, 70, 0.6 },
    zone_lost = { steady, zone_is_lost, 1.0, 80, 0.6 },
    zone_lost_in_swing = { swinging, zone_is_lost, 1.0, 100, 0.65 },
    nodes_cut = { swinging, nodes_are_cut, 1.0, 70, 0.6 },
    new_holder = { steady, holder_changes, 1.0, 60, 0.6 },
    new_holder_in_swing = { swinging, holder_changes, 1.0, 90, 0.7 },
)]
fn capacity_survives_losses(
    load: fn(f64) -> f64,
    events: fn() -> Vec<(u64, Event)>,
    least_of_needed: f64,
    orders: usize,
    price: f64,
) {
    for seed in 0..4 {
        let history = History {
            events: events(),
            ..history(load, seed)
        };
        check(&play(&history), least_of_needed, orders, price);
    }
}

/// Guards against an order taken for carried out, or for lost, by its answer instead of by what registers.
#[parameterized(
    late = { Answers { late: 0.5, lost: 0.0 } },
    lost = { Answers { late: 0.0, lost: 0.5 } },
    both = { Answers { late: 0.3, lost: 0.3 } },
)]
fn capacity_follows_demand_beside_a_platform_that_is_slow(answers: Answers) {
    for seed in 0..6 {
        let history = History {
            answers,
            ..history(swinging, seed)
        };
        check(&play(&history), 1.0, 120, 0.75);
    }
}

/// Guards against runners given up while a release replaces them, where draining and new ones stand side by side.
#[test]
fn nothing_is_given_up_during_a_release() {
    let history = History {
        events: vec![(20, Event::Release)],
        ..history(steady, 1)
    };
    let outcome = play(&history);
    assert_eq!(outcome.lowered_in_release, 0, "{outcome:?}");
    assert!(outcome.least_of_needed >= 1.0, "{outcome:?}");
}

/// A history with a drawn load that swings, steps and bursts, and drawn losses of spot runners, nodes, holders and answers.
fn drawn(seed: u64) -> History {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut draw = |from: f64, to: f64| random.random_range(from..to);
    let (base, swing, period) = (draw(8.0, 30.0), draw(0.0, 0.5), draw(40.0, 120.0));
    let (step_at, step) = (draw(40.0, 200.0), draw(0.6, 1.4));
    let (burst_every, burst) = (draw(15.0, 60.0), draw(1.0, 1.4));
    let load = move |at_s: f64| {
        let swinging = 1.0 + swing * (at_s / period * std::f64::consts::TAU).sin();
        let stepped = if at_s < step_at { 1.0 } else { step };
        let bursting = if at_s % burst_every < 2.0 { burst } else { 1.0 };
        base * swinging * stepped * bursting
    };
    let answers = Answers {
        late: draw(0.0, 0.2),
        lost: draw(0.0, 0.2),
    };
    let mut events = Vec::new();
    let mut at_s = 20.0;
    while at_s < 220.0 {
        let zone = draw(0.0, 3.0) as usize;
        let for_us = (draw(10.0, 40.0) * SECOND_US as f64) as u64;
        let event = match draw(0.0, 4.0) as u64 {
            0 => Event::Reclaim { zone, for_us },
            1 => Event::NoSpot { zone, for_us },
            2 => Event::CutNodes { zone, for_us },
            _ => Event::ChangeHolder {
                after_us: 9 * SECOND_US,
            },
        };
        events.push((at_s as u64, event));
        at_s += draw(15.0, 50.0);
    }
    History {
        seed,
        seconds: 240,
        load: Box::new(load),
        at_start: 47,
        answers,
        events,
    }
}

/// Guards against a mixture of load and losses in which runners that callers need are given up, or orders go in circles.
#[test]
fn capacity_holds_under_drawn_loads_and_losses() {
    for seed in 0..40 {
        let outcome = play(&drawn(seed));
        assert!(outcome.least_ready >= 1.0, "seed {seed}: {outcome:?}");
        assert!(outcome.least_of_needed >= 1.0, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.reversals, 0, "seed {seed}: {outcome:?}");
        assert!(outcome.orders <= 120, "seed {seed}: {outcome:?}");
        assert!(outcome.price_share <= 0.8, "seed {seed}: {outcome:?}");
        assert!(outcome.most_in_zone <= 94, "seed {seed}: {outcome:?}");
    }
}
