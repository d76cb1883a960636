//! Routes of a configuration.

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
    }
}

fn config() -> FleetConfig {
    let routes = vec![
        route("scores", "/scores/", &[("ladder", 1)]),
        route("tables", "/scores/tables/", &[("ladder", 1)]),
    ];
    FleetConfig::new(1, routes, Vec::new(), CallerLimits::default())
}

/// Guards against a shorter prefix that hides a longer one, and against a prefix that matches only a
/// part of a path segment.
#[parameterized(
    short = { "league.example", "/scores/7", Some("scores") },
    longest = { "league.example", "/scores/tables/1", Some("tables") },
    port = { "league.example:8080", "/scores/", Some("scores") },
    letter_case = { "League.Example", "/scores/", Some("scores") },
    half_a_segment = { "league.example", "/scoresheet/", None },
    no_slash = { "league.example", "/scores", None },
    other_host = { "other.example", "/scores/7", None },
)]
fn longest_prefix_of_the_host_routes(host: &str, path: &str, expected: Option<&str>) {
    let config = config();
    let found = config.route(host, path).map(|route| &*route.name);
    assert_eq!(found, expected);
}

/// Guards against a split that sends a service more than its weight, or any to a weight of zero.
#[test]
fn split_follows_the_weights() {
    let route = route("split", "/", &[("old", 90), ("new", 10), ("none", 0)]);
    let count = |service: &str| {
        (0..1_000)
            .filter(|i| **route.service(*i) == *service)
            .count()
    };
    assert_eq!((count("old"), count("new"), count("none")), (900, 100, 0));
}

/// Guards against a division by zero where all weights are zero.
#[test]
fn weights_of_zero_still_name_a_service() {
    let route = route("split", "/", &[("old", 0), ("new", 0)]);
    assert_eq!(&**route.service(7), "old");
}
