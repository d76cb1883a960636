//! Choice of a runner.

use std::sync::Arc;

use tealsaddle_core::fleet::config::EngineLimits;
use tealsaddle_core::fleet::load::{ReportedLoad, RunnerView, Work};
use tealsaddle_core::fleet::placement::{
    DecodeQuery, Placement, PlacementRequest, RunnerViews, ServiceStats, choose_decode,
    choose_plain,
};
use tealsaddle_core::fleet::prefill::{PrefillQuery, choose_prefill};
use tealsaddle_core::fleet::rendezvous::rendezvous_weight;
use tealsaddle_core::fleet::{PromptPart, Runner, Stage};
use tealsaddle_core::name::Name;

use super::{SECOND_US, draining, prompt, readers, runner};

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
        zone,
        body_bytes: 1_000,
    }
}

fn read(views: &RunnerViews, runners: &[Arc<Runner>], parts: &[PromptPart]) -> Placement {
    read_without(views, runners, parts, &[]).expect("a reader takes work")
}

fn read_without(
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

/// Guards against parts that are read by every runner, which evicts everything from every cache.
#[test]
fn shared_part_goes_to_its_home() {
    let runners = readers(12);
    for part in 0..50 {
        let placed = read(
            &RunnerViews::default(),
            &runners,
            &prompt(part, 13_000, 900, 3_000),
        );
        assert_eq!(placed.runner.id, home(&runners, part));
        assert_eq!(placed.read_tokens, 3_000);
    }
}

/// Guards against homes that all move when one runner leaves, and against a lopsided spread.
#[test]
fn few_homes_move_with_a_runner() {
    let runners = readers(12);
    let fewer = &runners[..11];
    let moved = (0..1_200).filter(|part| home(&runners, *part) != home(fewer, *part));
    let moved = moved.count();
    assert!((50..150).contains(&moved), "{moved} homes of 1200 moved");
    for runner in &runners {
        let count = (0..1_200).filter(|part| home(&runners, *part) == runner.id);
        let count = count.count();
        assert!((60..140).contains(&count), "{count} homes at one runner");
    }
}

/// Guards against a hot part that waits at its home while others idle, and against a part that spills
/// at the first queue.
#[test]
fn part_spills_when_waiting_costs_more_than_reading_again() {
    let runners = readers(6);
    let parts = prompt(7, 10_000, 900, 1_000);
    let home = home(&runners, 7);
    let placed_with_queue = |queued_tokens: u64| {
        let mut views = RunnerViews::default();
        let mut view = RunnerView::default();
        view.on_request_start(Work {
            read_tokens: queued_tokens,
            kv_tokens: 0,
        });
        views.insert(Name::clone(&home), view);
        Name::clone(&read(&views, &runners, &parts).runner.id)
    };
    assert_eq!(placed_with_queue(10_000), home);
    assert_ne!(placed_with_queue(80_000), home);
}

/// Guards against new work for a runner that leaves, and against a retry at the runner that failed.
#[test]
fn leaving_and_excluded_runners_are_not_chosen() {
    let mut runners = readers(3);
    let parts = prompt(7, 10_000, 900, 1_000);
    let first = read(&RunnerViews::default(), &runners, &parts).runner;
    let excluded = [Name::clone(&first.id)];
    let views = RunnerViews::default();
    let second = read_without(&views, &runners, &parts, &excluded);
    let second = second.expect("two readers are left").runner;
    assert_ne!(second.id, first.id);
    for runner in &mut runners {
        *runner = draining(runner);
    }
    let none = read_without(&views, &runners, &parts, &[]);
    assert!(none.is_none());
}

/// Guards against requests lost one by one at a silent runner, and against a pool that false silences
/// leave empty.
#[test]
fn silent_runners_are_avoided_while_others_answer() {
    let runners = readers(3);
    let parts = prompt(7, 10_000, 900, 1_000);
    let home = home(&runners, 7);
    let mut views = RunnerViews::default();
    views
        .entry(Name::clone(&home))
        .or_default()
        .on_unreachable(NOW_US);
    assert_ne!(read(&views, &runners, &parts).runner.id, home);
    for runner in &runners {
        views
            .entry(Name::clone(&runner.id))
            .or_default()
            .on_unreachable(NOW_US);
    }
    assert_eq!(read(&views, &runners, &parts).runner.id, home);
}

/// Guards against a partition that each runner behind it has to show by itself.
#[test]
fn zone_with_two_silent_runners_is_avoided() {
    let runners = readers(12);
    let mut views = RunnerViews::default();
    for id in ["r1", "r4"] {
        views
            .entry(Name::from(id))
            .or_default()
            .on_unreachable(NOW_US - 1_000);
    }
    for part in 0..50 {
        let placed = read(&views, &runners, &prompt(part, 13_000, 900, 3_000));
        assert_ne!(&*placed.runner.zone, "b");
    }
    // Another runner of the zone has answered since, so the zone is not cut off.
    views
        .entry(Name::from("r7"))
        .or_default()
        .on_success(NOW_US);
    let zones = (0..50).map(|part| read(&views, &runners, &prompt(part, 13_000, 900, 3_000)));
    assert!(zones.into_iter().any(|placed| &*placed.runner.zone == "b"));
}

/// Guards against a slow runner that keeps its full share of reads.
#[test]
fn slow_home_loses_its_parts_under_load() {
    let runners = readers(6);
    let parts = prompt(7, 1_000, 900, 4_000);
    let home = home(&runners, 7);
    let mut views = RunnerViews::default();
    let view = views.entry(Name::clone(&home)).or_default();
    for _ in 0..100 {
        view.on_duration(8e5, 1e5);
    }
    assert_ne!(read(&views, &runners, &parts).runner.id, home);
}

/// Guards against a shared part that is read again although another runner holds it, and against a fetch
/// from a runner that does not answer.
#[test]
fn part_that_spills_is_fetched_from_its_home() {
    let runners = readers(6);
    let parts = prompt(7, 10_000, 900, 1_000);
    let home = home(&runners, 7);
    let mut views = RunnerViews::default();
    let view = views.entry(Name::clone(&home)).or_default();
    view.cached_parts.on_read(&parts, 100_000);
    view.on_request_start(Work {
        read_tokens: 30_000,
        kv_tokens: 0,
    });
    let placed = read(&views, &runners, &parts);
    let source = |placed: &Placement| placed.fetches_from.as_ref().map(|r| Name::clone(&r.id));
    assert_ne!(placed.runner.id, home);
    assert_eq!(source(&placed), Some(Name::clone(&home)));
    assert_eq!(placed.read_tokens, 1_000);
    let view = views.entry(Name::clone(&home)).or_default();
    view.on_unreachable(NOW_US);
    let placed = read(&views, &runners, &parts);
    assert_ne!(placed.runner.id, home);
    assert_ne!(source(&placed), Some(home));
}

/// Guards against a home that has lost a part and reads it again although the next home holds it.
#[test]
fn home_fetches_from_the_next_home() {
    let runners = readers(6);
    let parts = prompt(7, 10_000, 900, 1_000);
    let placed = read(&RunnerViews::default(), &runners, &parts);
    let home = home(&runners, 7);
    let others: Vec<_> = runners.iter().filter(|r| r.id != home).cloned().collect();
    let next = self::home(&others, 7);
    assert_eq!(placed.runner.id, home);
    let source = placed.fetches_from.map(|source| Name::clone(&source.id));
    assert_eq!(source, Some(next));
}

fn decoders() -> Vec<Arc<Runner>> {
    ["a", "b", "c"]
        .map(|zone| runner(&format!("d-{zone}"), zone, Some(Stage::Decode)))
        .to_vec()
}

fn decode(
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

fn busy(running: u32, waiting: u32) -> RunnerView {
    let mut view = RunnerView::default();
    let report = ReportedLoad {
        running,
        waiting,
        slots: 8,
    };
    view.on_report(report, NOW_US);
    view
}

/// Guards against bytes between zones without a reason, and against a zone that is full while others
/// idle.
#[test]
fn decode_runner_of_the_own_zone_goes_first_until_it_is_busy() {
    let runners = decoders();
    let parts = prompt(7, 100, 900, 100);
    let mut views = RunnerViews::default();
    let request = request(&parts, "b");
    let first = decode(&views, &runners, &request).map(|place| place.runner);
    assert_eq!(first.map(|r| Name::clone(&r.id)), Some(Name::from("d-b")));
    views.insert(Name::from("d-b"), busy(7, 0));
    let next = decode(&views, &runners, &request).map(|place| place.runner);
    assert_ne!(next.map(|r| Name::clone(&r.id)), Some(Name::from("d-b")));
}

/// Guards against a prompt that is read although no place to generate comes free in time.
#[test]
fn full_decode_runners_make_wait() {
    let runners = decoders();
    let parts = prompt(7, 100, 900, 100);
    let mut views = RunnerViews::default();
    for runner in &runners {
        views.insert(Name::clone(&runner.id), busy(8, 12));
    }
    let place = decode(&views, &runners, &request(&parts, "a")).expect("one is chosen");
    assert!(place.wait_us > 900_000.0, "{}", place.wait_us);
    // Memory binds before slots do.
    let mut views = RunnerViews::default();
    for runner in &runners {
        let mut view = RunnerView::default();
        view.on_request_start(Work {
            read_tokens: 0,
            kv_tokens: 99_000,
        });
        views.insert(Name::clone(&runner.id), view);
    }
    let place = decode(&views, &runners, &request(&parts, "a")).expect("one is chosen");
    assert!(place.wait_us > 0.0);
}

/// Guards against model runners that get requests of a plain service, and against failing targets
/// that keep their share.
#[test]
fn plain_request_goes_to_a_working_plain_runner() {
    let mut runners = readers(2);
    runners.push(runner("p0", "a", None));
    runners.push(runner("p1", "b", None));
    let mut views = RunnerViews::default();
    let request = request(&[], "a");
    let id = |views: &RunnerViews| {
        let place = choose_plain(views, &runners, &request, &[], NOW_US);
        place.map(|place| Name::clone(&place.runner.id))
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

/// Guards against long outputs that are expected to end as soon as the short ones of the same service.
#[test]
fn generation_is_expected_by_its_tokens() {
    let mut stats = ServiceStats::default();
    assert!(stats.generation_us(1_000) < 1.0);
    for _ in 0..200 {
        stats.on_generated(10, 200_000);
        stats.on_generated(500, 1_000_000);
    }
    let expected_us = stats.generation_us(1_000);
    assert!((2.2e6..2.5e6).contains(&expected_us), "{expected_us}");
}
