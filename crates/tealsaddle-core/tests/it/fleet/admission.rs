//! Tests of what is refused, and what has to wait, before any runner works on it.

use tealsaddle_core::fleet::Stage;
use tealsaddle_core::fleet::admission::{Candidate, FirstEvent, Turn};
use tealsaddle_core::fleet::placement::Placement;
use yare::parameterized;

use super::runner;

const MS: f64 = 1e3;

fn placement(generation_us: f64) -> Placement {
    Placement {
        runner: runner("d", "a", Some(Stage::Decode)),
        wait_us: 0.0,
        deferred_wait_us: 0.0,
        read_us: 0.0,
        read_tokens: 0,
        fetches_from: None,
        nominal_us: 0.0,
        generation_us,
    }
}

fn check(in_turn_ms: f64, deferred_ms: f64, generation_ms: f64) -> Result<Turn, f64> {
    let candidate = Candidate {
        objective_us: 200.0 * MS,
        first_event_left_us: 2_000.0 * MS,
        left_us: 10_000.0 * MS,
        first_event: FirstEvent {
            in_turn_us: in_turn_ms * MS,
            deferred_us: deferred_ms * MS,
        },
        decode: &placement(generation_ms * MS),
    };
    candidate
        .check()
        .map_err(|infeasible| infeasible.wait_us / MS)
}

/// Guards against requests that wait for an answer which cannot come, and against refusals of those whose answer may be
/// a little later than expected.
#[parameterized(
    on_time = { 100.0, 900.0, 5_000.0, Ok(Turn::Regular) },
    late = { 300.0, 900.0, 5_000.0, Ok(Turn::Deferred) },
    first_event_too_late = { 300.0, 1_900.0, 5_000.0, Err(1_900.0) },
    deferred_ones_do_not_count_for_one_in_time = { 100.0, 1_900.0, 5_000.0, Ok(Turn::Regular) },
    end_a_little_too_late = { 100.0, 100.0, 11_000.0, Ok(Turn::Regular) },
    end_much_too_late = { 100.0, 100.0, 14_900.0, Err(5_000.0) },
)]
fn answers_that_cannot_come_in_time_are_refused(
    in_turn_ms: f64,
    deferred_ms: f64,
    generation_ms: f64,
    expected: Result<Turn, f64>,
) {
    assert_eq!(check(in_turn_ms, deferred_ms, generation_ms), expected);
}
