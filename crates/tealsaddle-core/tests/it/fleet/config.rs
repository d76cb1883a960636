//! Tests of route selection.

use tealsaddle_core::fleet::config::{CallerLimits, FleetConfig, RepeatPolicy, Route, RouteTarget};
use tealsaddle_core::name::Name;
use yare::parameterized;

fn route(name: &str, prefix: &str, targets: &[(&str, u32)]) -> Route {
    let target = |(service, weight): &(&str, u32)| RouteTarget {
        service: Name::from(*service),
        weight: *weight,
    };
    Route {
        name: Name::from(name),
        host: "league.example".to_owned(),
        prefix: prefix.to_owned(),
        repeat: RepeatPolicy::Idempotent,
        timeout_ms: 1_000,
        objective_ms: 100,
        priority: 0,
        targets: targets.iter().map(target).collect(),
        max_attempts: 1,
        event_timeout_ms: None,
        is_public: false,
    }
}

fn config() -> FleetConfig {
    let routes = vec![
        route("scores", "/scores/", &[("ladder", 1)]),
        route("tables", "/scores/tables/", &[("ladder", 1)]),
    ];
    FleetConfig::new(1, routes, Vec::new(), CallerLimits::default())
}

/// Guards against a shorter prefix taking precedence over a longer one, and against paths that match only
/// a part of a segment.
#[parameterized(
    short = { "league.example", "/scores/7", Some("scores") },
    longest = { "league.example", "/scores/tables/1", Some("tables") },
    port = { "league.example:8080", "/scores/", Some("scores") },
    letter_case = { "League.Example", "/scores/", Some("scores") },
    half_a_segment = { "league.example", "/scoresheet/", None },
    no_slash = { "league.example", "/scores", None },
    other_host = { "other.example", "/scores/7", None },
)]
fn longest_matching_prefix_of_the_host_wins(host: &str, path: &str, expected: Option<&str>) {
    let config = config();
    let found = config.route(host, path).map(|route| &*route.name);
    assert_eq!(found, expected);
}

/// Guards against a service receiving another share than its weight, such as requests at weight 0.
#[test]
fn requests_are_split_by_weight() {
    let route = route("split", "/", &[("old", 90), ("new", 10), ("none", 0)]);
    let count = |service: &str| {
        (0..1_000)
            .filter(|i| **route.service(*i) == *service)
            .count()
    };
    assert_eq!((count("old"), count("new"), count("none")), (900, 100, 0));
}

/// Guards against a division by zero if all weights are 0.
#[test]
fn weights_of_zero_still_select_a_service() {
    let route = route("split", "/", &[("old", 0), ("new", 0)]);
    assert_eq!(&**route.service(7), "old");
}
