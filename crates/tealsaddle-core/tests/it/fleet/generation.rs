//! Tests of the times of generation that are learned from streams.

use tealsaddle_core::fleet::generation::{EventTimes, GeneratedStream};

fn stream(expected_tokens: u64, events: u64, per_event_us: u64, batch: f64) -> GeneratedStream {
    GeneratedStream {
        expected_tokens,
        events,
        events_us: (events - 1) * per_event_us,
        batch,
    }
}

/// Guards against expecting long outputs to end as early as short outputs of the same service.
#[test]
fn expected_time_grows_with_the_output_and_the_batch() {
    let mut times = EventTimes::default();
    assert!(times.generation_us(1_000, 0.0) < 1.0);
    for _ in 0..200 {
        times.on_stream(&stream(50, 5, 20_000, 16.0));
        times.on_stream(&stream(2_000, 200, 20_000, 16.0));
    }
    let expected_us = times.generation_us(1_000, 16.0);
    assert!((1.9e6..2.1e6).contains(&expected_us), "{expected_us}");
    let in_larger_batch_us = times.generation_us(1_000, 64.0);
    assert!(
        (3.8e6..4.2e6).contains(&in_larger_batch_us),
        "{in_larger_batch_us}"
    );
}

/// Guards against one stream with a wrong estimate, or with a long pause, that changes what is expected of all others.
#[test]
fn one_odd_stream_changes_little() {
    let mut times = EventTimes::default();
    for _ in 0..200 {
        times.on_stream(&stream(500, 50, 20_000, 16.0));
    }
    let before_us = times.generation_us(500, 16.0);
    times.on_stream(&stream(5_000_000, 50, 20_000, 16.0));
    times.on_stream(&stream(500, 50, 4_000_000, 16.0));
    let after_us = times.generation_us(500, 16.0);
    let ratio = after_us / before_us;
    assert!((0.9..1.1).contains(&ratio), "{ratio}");
}

/// Guards against streams of a single event, which tell no time between events, and against callers who expect nothing.
#[test]
fn streams_without_gaps_or_estimates_teach_nothing_wrong() {
    let mut times = EventTimes::default();
    times.on_stream(&stream(60, 1, 0, 16.0));
    assert_eq!(times.us_per_event(16.0), None);
    times.on_stream(&stream(0, 11, 20_000, 16.0));
    assert!((times.us_per_event(16.0).unwrap_or_default() - 20_000.0).abs() < 1.0);
    assert!((times.events_of(60.0) - 1.0).abs() < 0.01);
}
