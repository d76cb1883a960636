//! Tests of the budget for what a node holds for its callers.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tealsaddle_core::fleet::caller_budget::{
    Admission, CallerBudget, CallerBudgetLimits, CallerPhase,
};
use yare::parameterized;

use super::SECOND_US;

const LIMITS: CallerBudgetLimits = CallerBudgetLimits {
    held_bytes: 1_000_000,
    connections: 40,
};
/// Bytes of a connection without a request.
const CONNECTION_BYTES: usize = 1_000;

fn budget(count: u64) -> CallerBudget {
    let mut budget = CallerBudget::new(LIMITS);
    for id in 0..count {
        let admission = budget.connect(id, CONNECTION_BYTES, id);
        assert_eq!(admission, Admission::default());
    }
    budget
}

/// Guards against a caller with a stalled body that stays while one whose body arrives is refused.
#[test]
fn stalled_body_is_dropped_before_one_that_arrives() {
    let mut budget = budget(5);
    for id in [0, 1] {
        budget.set_phase(id, CallerPhase::Receiving);
        budget.on_moved(id, 450_000, SECOND_US);
        assert!(budget.hold(id, 450_000, SECOND_US).is_empty());
    }
    budget.on_moved(1, 200_000, 10 * SECOND_US);
    assert_eq!(budget.hold(1, 650_000, 10 * SECOND_US), [0]);
    assert_eq!(budget.held_bytes(), 653_000);
}

/// Guards against small requests that are refused because others hold a lot.
#[test]
fn small_request_is_let_in_beside_large_ones() {
    let mut budget = budget(3);
    for id in [0, 1] {
        budget.set_phase(id, CallerPhase::Running);
        assert!(budget.hold(id, 498_000, SECOND_US).is_empty());
    }
    assert!(budget.hold(2, 4_000, SECOND_US).is_empty());
    assert_eq!(budget.hold(2, 9_000, SECOND_US), [0]);
}

/// Guards against a request that was sent to a runner and is given up for one whose body is still arriving.
#[test]
fn arriving_body_is_refused_before_a_running_request_is_given_up() {
    let mut budget = budget(2);
    budget.set_phase(0, CallerPhase::Running);
    assert!(budget.hold(0, 600_000, SECOND_US).is_empty());
    budget.set_phase(1, CallerPhase::Receiving);
    budget.on_moved(1, 600_000, 20 * SECOND_US);
    assert_eq!(budget.hold(1, 600_000, 20 * SECOND_US), [1]);
}

/// Guards against new connections that are refused while idle ones stay.
#[parameterized(
    waiting = { CallerPhase::Waiting },
    unread = { CallerPhase::Unread },
    receiving = { CallerPhase::Receiving },
)]
fn longest_idle_connection_makes_room(phase: CallerPhase) {
    let mut budget = budget(30);
    for id in 0..30 {
        budget.set_phase(id, phase);
    }
    budget.on_moved(0, 1, SECOND_US);
    let admission = budget.connect(30, CONNECTION_BYTES, 2 * SECOND_US);
    assert_eq!(admission.dropped, [1]);
    assert_eq!(admission.closes_after_answer, None);
}

/// Guards against callers who always have a request under way and keep all others out, and against requests at runners that
/// are given up for new connections.
#[test]
fn oldest_connection_closes_after_its_answer_if_all_run() {
    let mut budget = budget(30);
    for id in 0..30 {
        budget.set_phase(id, CallerPhase::Running);
    }
    for id in 30..40 {
        let admission = budget.connect(id, CONNECTION_BYTES, SECOND_US);
        assert_eq!(admission.dropped, []);
        assert_eq!(admission.closes_after_answer, Some(id - 30));
        budget.set_phase(id, CallerPhase::Running);
    }
    let admission = budget.connect(40, CONNECTION_BYTES, SECOND_US);
    assert_eq!(admission.dropped, [40]);
    assert_eq!(budget.connections(), LIMITS.connections);
}

/// Guards against histories in which the sum or the number exceeds its limit, a connection within an equal share is dropped
/// for memory, or a running one while another above its share is not running.
#[parameterized(one = { 1 }, two = { 2 }, three = { 3 }, four = { 4 }, five = { 5 })]
fn limits_hold_in_random_histories(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut budget = CallerBudget::new(LIMITS);
    let mut held: BTreeMap<u64, (usize, CallerPhase)> = BTreeMap::new();
    let mut next_id = 0;
    for step in 0..5_000_u64 {
        let now_us = step * 10_000;
        let chosen = held
            .keys()
            .nth(rng.random_range(0..held.len().max(1)))
            .copied();
        match (rng.random_range(0..6), chosen) {
            (0, _) | (_, None) => {
                let admission = budget.connect(next_id, CONNECTION_BYTES, now_us);
                held.insert(next_id, (CONNECTION_BYTES, CallerPhase::Waiting));
                held.retain(|id, _| !admission.dropped.contains(id));
                next_id += 1;
            }
            (1, Some(id)) => {
                budget.release(id);
                held.remove(&id);
            }
            (2, Some(id)) => {
                let phases = [
                    CallerPhase::Receiving,
                    CallerPhase::Running,
                    CallerPhase::Unread,
                ];
                let phase = phases[rng.random_range(0..phases.len())];
                assert!(budget.set_phase(id, phase));
                held.insert(id, (held[&id].0, phase));
            }
            (3, Some(id)) => budget.on_moved(id, rng.random_range(0..100_000), now_us),
            (_, Some(id)) => {
                let bytes = rng.random_range(CONNECTION_BYTES..200_000);
                held.insert(id, (bytes, held[&id].1));
                for dropped in budget.hold(id, bytes, now_us) {
                    let share = LIMITS.held_bytes / held.len();
                    let (bytes, phase) = held[&dropped];
                    assert!(bytes > share, "{bytes} of {share} bytes");
                    let mut above = held.values().filter(|(bytes, _phase)| *bytes > share);
                    let all_run = above.all(|(_bytes, phase)| *phase == CallerPhase::Running);
                    assert!(phase != CallerPhase::Running || all_run);
                    held.remove(&dropped);
                }
            }
        }
        let sum: usize = held.values().map(|(bytes, _phase)| bytes).sum();
        assert_eq!(budget.held_bytes(), sum);
        assert!(sum <= LIMITS.held_bytes);
        assert_eq!(budget.connections(), held.len());
        assert!(held.len() <= LIMITS.connections);
    }
}
