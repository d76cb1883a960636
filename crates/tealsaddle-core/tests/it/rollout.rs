//! Configuration versions, staleness after a pause, and rendezvous hashing.

use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use tealsaddle_core::rollout::{
    OfferResponse, PAUSE_THRESHOLD_US, REFRESH_TIMEOUT_US, Rollout, rendezvous,
};

fn check<S, F>(strategy: &S, property: F)
where
    S: Strategy,
    F: Fn(S::Value) -> Result<(), TestCaseError>,
{
    let config = ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[1; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner.run(strategy, property).expect("the property holds");
}

/// Guards against a node that replaces its configuration by an older one.
#[test]
fn versions_only_go_up() {
    check(&prop::collection::vec(0..20_u64, 1..50), |versions| {
        let mut rollout = Rollout::default();
        for version in versions {
            let before = rollout.version();
            prop_assert_eq!(
                rollout.on_offer(version) == OfferResponse::Pull,
                version > before
            );
            prop_assert_eq!(rollout.on_fetched(version), version > before);
            prop_assert_eq!(rollout.version(), before.max(version));
        }
        Ok(())
    });
}

/// Guards against a node that serves requests with outdated state after a pause. Also guards
/// against a node that never serves again because no answer arrives.
#[yare::parameterized(
    short_pause = { PAUSE_THRESHOLD_US, None, 0, false },
    long_pause = { PAUSE_THRESHOLD_US + 1, None, 0, true },
    requested_before_the_pause = { PAUSE_THRESHOLD_US + 1, Some(10), 0, true },
    requested_after_the_pause = { PAUSE_THRESHOLD_US + 1, Some(20 + PAUSE_THRESHOLD_US), 0, false },
    no_answer = { PAUSE_THRESHOLD_US + 1, None, REFRESH_TIMEOUT_US, false },
)]
fn pause_makes_state_stale(
    pause_us: u64,
    requested_at_us: Option<u64>,
    elapsed_us: u64,
    is_stale: bool,
) {
    let mut rollout = Rollout::default();
    rollout.on_tick(10);
    assert_eq!(
        rollout.on_tick(10 + pause_us),
        pause_us > PAUSE_THRESHOLD_US
    );
    if let Some(requested_at_us) = requested_at_us {
        rollout.on_refreshed(requested_at_us);
    }
    assert_eq!(rollout.is_stale(10 + pause_us + elapsed_us), is_stale);
}

/// Guards against a node that loses a subject because another node was removed. Also guards against
/// an uneven distribution of subjects over nodes.
#[test]
fn removal_moves_only_subjects_of_the_removed_node() {
    let names: Vec<String> = (0..30).map(|i| format!("vm-{i}")).collect();
    let nodes: Vec<&str> = names.iter().map(String::as_str).collect();
    check(&(0..30_usize, "[a-z]{1,8}"), |(removed, subject)| {
        let before = rendezvous(&subject, &nodes, 2);
        let rest: Vec<&str> = nodes
            .iter()
            .copied()
            .filter(|n| *n != nodes[removed])
            .collect();
        let after = rendezvous(&subject, &rest, 2);
        for chosen in before.iter().filter(|chosen| **chosen != nodes[removed]) {
            prop_assert!(after.contains(chosen));
        }
        Ok(())
    });
    let subjects: Vec<String> = (0..3_000).map(|i| format!("engine-{i}")).collect();
    let count = |node: &str| {
        let chosen = subjects
            .iter()
            .filter(|s| rendezvous(s, &nodes, 1) == [node]);
        chosen.count()
    };
    // Each node is expected to have 100 subjects; the bounds are five standard deviations away.
    assert!(nodes.iter().all(|node| (50..=150).contains(&count(node))));
}
