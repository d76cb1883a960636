//! Tests of the placement of requests on runners.

use std::sync::Arc;

use tealsaddle_core::fleet::config::EngineLimits;
use tealsaddle_core::fleet::decode::{DecodeQuery, choose_decode, should_read_itself};
use tealsaddle_core::fleet::generation::GeneratedStream;
use tealsaddle_core::fleet::load::{ReportedLoad, RunnerView, Work};
use tealsaddle_core::fleet::placement::{
    Placement, PlacementRequest, RunnerViews, ServiceStats, choose_plain,
};
use tealsaddle_core::fleet::prefill::{PrefillQuery, choose_prefill};
use tealsaddle_core::fleet::rendezvous::rendezvous_weight;
use tealsaddle_core::fleet::{PromptPart, Runner, Stage};
use tealsaddle_core::name::Name;
use yare::parameterized;

use super::{SECOND_US, draining, prefill_runners, prompt, runner};

const NOW_US: u64 = 100 * SECOND_US;

const ENGINE: EngineLimits = EngineLimits {
    slots: 8,
    kv_tokens: 100_000,
    kv_bytes_per_token: 18_432,
    link_mbps: 370_000.0,
    switch_ms: 3_000,
};

fn request<'a>(parts: &'a [PromptPart], zone: &'a str) -> PlacementRequest<'a> {
    PlacementRequest {
        parts,
        kv_tokens: 1_000,
        output_tokens: 0,
        left_us: 1e7,
        zone,
        body_bytes: 1_000,
        is_doubtful: false,
    }
}

fn place_prefill(views: &RunnerViews, runners: &[Arc<Runner>], parts: &[PromptPart]) -> Placement {
    place_prefill_without(views, runners, parts, &[]).expect("a prefill runner is eligible")
}

fn place_prefill_without(
    views: &RunnerViews,
    runners: &[Arc<Runner>],
    parts: &[PromptPart],
    excluded: &[Name],
) -> Option<Placement> {
    let query = PrefillQuery {
        request: &request(parts, "a"),
        engine: &ENGINE,
        stats: &ServiceStats::default(),
    };
    choose_prefill(views, runners, &query, excluded, NOW_US)
}

fn home(runners: &[Arc<Runner>], part: u64) -> Name {
    let home = runners
        .iter()
        .max_by_key(|r| rendezvous_weight(part, &r.id));
    Name::clone(&home.expect("the pool is not empty").id)
}

/// Guards against reading a part on every runner, which fills every cache with the same parts.
#[test]
fn shared_part_goes_to_its_home() {
    let runners = prefill_runners(12);
    for part in 0..50 {
        let placement = place_prefill(
            &RunnerViews::default(),
            &runners,
            &prompt(part, 13_000, 900, 3_000),
        );
        assert_eq!(placement.runner.id, home(&runners, part));
        assert_eq!(placement.read_tokens, 3_000);
    }
}

/// Guards against all parts changing their home when one runner leaves, and against an uneven
/// distribution of homes.
#[test]
fn few_parts_change_their_home_when_a_runner_leaves() {
    let runners = prefill_runners(12);
    let fewer = &runners[..11];
    let moved = (0..1_200).filter(|part| home(&runners, *part) != home(fewer, *part));
    let moved = moved.count();
    assert!(
        (50..150).contains(&moved),
        "{moved} of 1200 parts changed their home"
    );
    for runner in &runners {
        let count = (0..1_200).filter(|part| home(&runners, *part) == runner.id);
        let count = count.count();
        assert!(
            (60..140).contains(&count),
            "one runner is the home of {count} parts"
        );
    }
}

/// Guards against a hot part that queues at its home while other runners are idle, and against a part that
/// spills because of a short queue.
#[test]
fn part_spills_when_waiting_takes_longer_than_reading_again() {
    let runners = prefill_runners(6);
    let parts = prompt(7, 10_000, 900, 1_000);
    let home = home(&runners, 7);
    let placed_with_queue = |queued_tokens: u64| {
        let mut views = RunnerViews::default();
        let mut view = RunnerView::default();
        view.on_request_start(Work {
            read_tokens: queued_tokens,
            kv_tokens: 0,
            is_deferred: false,
        });
        views.insert(Name::clone(&home), view);
        Name::clone(&place_prefill(&views, &runners, &parts).runner.id)
    };
    assert_eq!(placed_with_queue(10_000), home);
    assert_ne!(placed_with_queue(80_000), home);
}

/// Guards against placing a request on a draining runner, and against a retry at the runner that failed.
#[test]
fn draining_and_excluded_runners_are_not_chosen() {
    let mut runners = prefill_runners(3);
    let parts = prompt(7, 10_000, 900, 1_000);
    let first = place_prefill(&RunnerViews::default(), &runners, &parts).runner;
    let excluded = [Name::clone(&first.id)];
    let views = RunnerViews::default();
    let second = place_prefill_without(&views, &runners, &parts, &excluded);
    let second = second.expect("two runners are left").runner;
    assert_ne!(second.id, first.id);
    for runner in &mut runners {
        *runner = draining(runner);
    }
    let none = place_prefill_without(&views, &runners, &parts, &[]);
    assert!(none.is_none());
}

/// Guards against losing one request after another at an unreachable runner, and against choosing none when
/// all runners appear unreachable.
#[test]
fn unreachable_runners_are_avoided_while_others_answer() {
    let runners = prefill_runners(3);
    let parts = prompt(7, 10_000, 900, 1_000);
    let home = home(&runners, 7);
    let mut views = RunnerViews::default();
    views
        .entry(Name::clone(&home))
        .or_default()
        .on_unreachable(NOW_US);
    assert_ne!(place_prefill(&views, &runners, &parts).runner.id, home);
    for runner in &runners {
        views
            .entry(Name::clone(&runner.id))
            .or_default()
            .on_unreachable(NOW_US);
    }
    assert_eq!(place_prefill(&views, &runners, &parts).runner.id, home);
}

/// Guards against detecting a network partition at each runner of the zone separately.
#[test]
fn zone_with_two_unreachable_runners_is_avoided() {
    let runners = prefill_runners(12);
    let mut views = RunnerViews::default();
    for id in ["r1", "r4"] {
        views
            .entry(Name::from(id))
            .or_default()
            .on_unreachable(NOW_US - 1_000);
    }
    for part in 0..50 {
        let placement = place_prefill(&views, &runners, &prompt(part, 13_000, 900, 3_000));
        assert_ne!(&*placement.runner.zone, "b");
    }
    // Another runner of the zone has answered since, so the zone is not cut off.
    views
        .entry(Name::from("r7"))
        .or_default()
        .on_success(NOW_US);
    let zones =
        (0..50).map(|part| place_prefill(&views, &runners, &prompt(part, 13_000, 900, 3_000)));
    assert!(
        zones
            .into_iter()
            .any(|placement| &*placement.runner.zone == "b")
    );
}

/// Guards against a slow runner that still receives its full share of prompts.
#[test]
fn parts_spill_from_a_slow_home() {
    let runners = prefill_runners(6);
    let parts = prompt(7, 1_000, 900, 4_000);
    let home = home(&runners, 7);
    let mut views = RunnerViews::default();
    let view = views.entry(Name::clone(&home)).or_default();
    for _ in 0..100 {
        view.on_duration(8e5, 1e5);
    }
    assert_ne!(place_prefill(&views, &runners, &parts).runner.id, home);
}

/// Guards against reading a shared part again although another runner has it in its cache, and against a
/// fetch from an unreachable runner.
#[test]
fn part_that_spills_is_fetched_from_its_home() {
    let runners = prefill_runners(6);
    let parts = prompt(7, 10_000, 900, 1_000);
    let home = home(&runners, 7);
    let mut views = RunnerViews::default();
    let view = views.entry(Name::clone(&home)).or_default();
    view.cached_parts.on_read(&parts, 100_000);
    view.on_request_start(Work {
        read_tokens: 30_000,
        kv_tokens: 0,
        is_deferred: false,
    });
    let placement = place_prefill(&views, &runners, &parts);
    let source =
        |placement: &Placement| placement.fetches_from.as_ref().map(|r| Name::clone(&r.id));
    assert_ne!(placement.runner.id, home);
    assert_eq!(source(&placement), Some(Name::clone(&home)));
    assert_eq!(placement.read_tokens, 1_000);
    let view = views.entry(Name::clone(&home)).or_default();
    view.on_unreachable(NOW_US);
    let placement = place_prefill(&views, &runners, &parts);
    assert_ne!(placement.runner.id, home);
    assert_ne!(source(&placement), Some(home));
}

/// Guards against a home that reads a lost part again although the next runner in rendezvous order has it.
#[test]
fn home_fetches_from_the_next_runner_in_rank() {
    let runners = prefill_runners(6);
    let parts = prompt(7, 10_000, 900, 1_000);
    let placement = place_prefill(&RunnerViews::default(), &runners, &parts);
    let home = home(&runners, 7);
    let others: Vec<_> = runners.iter().filter(|r| r.id != home).cloned().collect();
    let next = self::home(&others, 7);
    assert_eq!(placement.runner.id, home);
    let source = placement.fetches_from.map(|source| Name::clone(&source.id));
    assert_eq!(source, Some(next));
}

fn decode_runners() -> Vec<Arc<Runner>> {
    ["a", "b", "c"]
        .map(|zone| runner(&format!("d-{zone}"), zone, Some(Stage::Decode)))
        .to_vec()
}

fn place_decode(
    views: &RunnerViews,
    runners: &[Arc<Runner>],
    request: &PlacementRequest<'_>,
) -> Option<Placement> {
    let query = DecodeQuery {
        request,
        engine: &ENGINE,
        stats: &ServiceStats::default(),
        is_prefilled: true,
    };
    choose_decode(views, runners, &query, &[], NOW_US)
}

fn view_with_load(running: u32, waiting: u32) -> RunnerView {
    let mut view = RunnerView::default();
    let report = ReportedLoad {
        running,
        waiting,
        slots: 8,
    };
    view.on_report(report, NOW_US);
    view
}

/// Guards against unnecessary traffic between zones, and against requests that stay in a busy zone while
/// other zones are idle.
#[test]
fn decode_runner_of_the_own_zone_is_preferred_until_it_is_busy() {
    let runners = decode_runners();
    let parts = prompt(7, 100, 900, 100);
    let mut views = RunnerViews::default();
    let request = request(&parts, "b");
    let first = place_decode(&views, &runners, &request).map(|placement| placement.runner);
    assert_eq!(first.map(|r| Name::clone(&r.id)), Some(Name::from("d-b")));
    views.insert(Name::from("d-b"), view_with_load(7, 0));
    let next = place_decode(&views, &runners, &request).map(|placement| placement.runner);
    assert_ne!(next.map(|r| Name::clone(&r.id)), Some(Name::from("d-b")));
}

/// Guards against reading a prompt although no decode slot or no space in a KV cache becomes free in time.
#[test]
fn full_decode_runners_add_wait() {
    let runners = decode_runners();
    let parts = prompt(7, 100, 900, 100);
    let mut views = RunnerViews::default();
    for runner in &runners {
        views.insert(Name::clone(&runner.id), view_with_load(8, 12));
    }
    let placement = place_decode(&views, &runners, &request(&parts, "a")).expect("one is chosen");
    assert!(placement.wait_us > 900_000.0, "{}", placement.wait_us);
    // The KV cache is full while slots are free.
    let mut views = RunnerViews::default();
    for runner in &runners {
        let mut view = RunnerView::default();
        view.on_request_start(Work {
            read_tokens: 0,
            kv_tokens: 99_000,
            is_deferred: false,
        });
        views.insert(Name::clone(&runner.id), view);
    }
    let placement = place_decode(&views, &runners, &request(&parts, "a")).expect("one is chosen");
    assert!(placement.wait_us > 0.0);
}

/// Guards against sending requests of a plain service to model runners, and against failing runners that
/// still receive their full share.
#[test]
fn plain_request_goes_to_a_working_plain_runner() {
    let mut runners = prefill_runners(2);
    runners.push(runner("p0", "a", None));
    runners.push(runner("p1", "b", None));
    let mut views = RunnerViews::default();
    let request = request(&[], "a");
    let id = |views: &RunnerViews| {
        let placement = choose_plain(views, &runners, &request, &[], NOW_US);
        placement.map(|placement| Name::clone(&placement.runner.id))
    };
    assert_eq!(id(&views), Some(Name::from("p0")));
    for _ in 0..3 {
        views
            .entry(Name::from("p0"))
            .or_default()
            .on_failure(NOW_US);
    }
    assert_eq!(id(&views), Some(Name::from("p1")));
}

/// Guards against a mean size of the requests in the KV cache that sinks to nothing, because a request that
/// only reads its prompt at a runner is counted with the size 0.
#[test]
fn requests_that_only_read_leave_the_mean_kv_size_unchanged() {
    let mut stats = ServiceStats::default();
    for _ in 0..200 {
        stats.on_placed(2_000, 0);
        stats.on_placed(0, 9_000);
    }
    let kv_tokens = stats.kv_tokens;
    assert!((8_900.0..=9_000.0).contains(&kv_tokens), "{kv_tokens}");
    let expected_us = 2_000.0 * stats.read_us_per_token;
    assert!(
        (stats.read_us - expected_us).abs() < 100.0,
        "{}",
        stats.read_us
    );
}

/// Guards against a long answer at a runner that generates slowly, or for many others, while a short one takes a place
/// where the long one would end in time.
#[test]
fn long_answers_get_the_runners_that_generate_faster() {
    let runners = [
        runner("busy", "a", Some(Stage::Decode)),
        runner("idle", "b", Some(Stage::Decode)),
    ];
    let mut stats = ServiceStats::default();
    stats.event_times.on_stream(&GeneratedStream {
        expected_tokens: 2_000,
        events: 201,
        events_us: 200 * 20_000,
        batch: 4.0,
    });
    let mut views = RunnerViews::default();
    let view = views.entry(Name::from("busy")).or_default();
    for _ in 0..4 {
        view.on_request_start(Work::default());
    }
    let chosen = |output_tokens: u64| {
        let parts = prompt(1, 100, 2, 50);
        let request = PlacementRequest {
            output_tokens,
            body_bytes: 20_000,
            ..request(&parts, "a")
        };
        let query = DecodeQuery {
            request: &request,
            engine: &ENGINE,
            stats: &stats,
            is_prefilled: true,
        };
        let placement = choose_decode(&views, &runners, &query, &[], NOW_US);
        placement.expect("both runners accept requests")
    };
    assert_eq!(&*chosen(2_000).runner.id, "idle");
    assert_eq!(&*chosen(20).runner.id, "busy");
    let expected_us = chosen(2_000).generation_us;
    assert!((3.3e6..4.1e6).contains(&expected_us), "{expected_us}");
}

/// Guards against a prompt of a few hundred tokens that waits behind long ones at a prefill runner.
#[parameterized(
    short = { 300, true },
    long = { 3_000, false },
)]
fn decode_runners_read_short_prompts(tokens: u64, expected: bool) {
    let stats = ServiceStats {
        read_us_per_token: 5.0,
        ..ServiceStats::default()
    };
    let parts = prompt(1, tokens, 2, 50);
    let request = request(&parts, "a");
    let decode = [runner("d", "a", Some(Stage::Decode))];
    let query = DecodeQuery {
        request: &request,
        engine: &ENGINE,
        stats: &stats,
        is_prefilled: false,
    };
    let views = RunnerViews::default();
    let own = choose_decode(&views, &decode, &query, &[], NOW_US).expect("it accepts requests");
    let prefill = place_prefill(&views, &prefill_runners(2), &parts);
    assert_eq!(should_read_itself(&own, &prefill), expected);
}

/// Guards against requests that count deferred ones as ahead of them, by which all would be deferred in turn.
#[test]
fn deferred_reads_delay_only_deferred_requests() {
    let runners = prefill_runners(1);
    let mut views = RunnerViews::default();
    let view = views.entry(Name::clone(&runners[0].id)).or_default();
    for is_deferred in [true, true, true, false] {
        view.on_request_start(Work {
            read_tokens: 10_000,
            kv_tokens: 0,
            is_deferred,
        });
    }
    view.on_report(
        ReportedLoad {
            running: 12,
            waiting: 0,
            slots: 64,
        },
        NOW_US,
    );
    let placement = place_prefill(&views, &runners, &prompt(1, 100, 2, 50));
    let stats = ServiceStats::default();
    let own_read_us = 10_000.0 * stats.read_us_per_token;
    let others_us = 8.0 * (stats.read_us + 15_000.0);
    let expected_us = own_read_us + others_us / 4.0;
    assert!(
        (placement.wait_us - expected_us).abs() < 1.0,
        "{placement:?}"
    );
    let whole_us = 4.0 * own_read_us + others_us;
    assert!(
        (placement.deferred_wait_us - whole_us).abs() < 1.0,
        "{placement:?}"
    );
}
