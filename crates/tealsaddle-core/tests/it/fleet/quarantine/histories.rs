//! Tests of the decisions under drawn histories of crashes: how soon a deadly part is found, and how often a
//! sound one is.

use std::fmt::Write as _;

use super::history_sim::{History, Outcome, play};

/// Histories of each kind.
const SEEDS: std::ops::Range<u64> = 0..10;

/// Today's small deployment.
const SMALL: History = History {
    nodes: 7,
    runners: 5,
    requests_per_s: 100,
    deadly_per_mille: 0,
    crashing_percent: 0,
    session_percent: 20,
    warm_up_s: 5,
    duration_s: 20,
};
/// The grown deployment.
const GROWN: History = History {
    nodes: 74,
    runners: 25,
    requests_per_s: 370,
    ..SMALL
};
/// The share of one service at the size to design for.
const LARGE: History = History {
    nodes: 360,
    runners: 110,
    requests_per_s: 1_000,
    ..SMALL
};

const fn with(history: History, deadly_per_mille: u64, crashing_percent: u64) -> History {
    History {
        deadly_per_mille,
        crashing_percent,
        ..history
    }
}

fn outcomes(history: History) -> Vec<Outcome> {
    SEEDS.map(|seed| play(history, seed)).collect()
}

/// Guards against a deadly part whose requests go on reaching runners: the platform allows three of them later
/// than the contact time after the fifth crash.
#[test]
fn requests_with_a_deadly_part_stop_in_time() {
    for (name, size) in [("small", SMALL), ("grown", GROWN), ("large", LARGE)] {
        for (share, crashing) in [(18, 0), (5, 0), (60, 0), (18, 25)] {
            for (seed, outcome) in outcomes(with(size, share, crashing)).iter().enumerate() {
                assert!(
                    outcome.late_requests <= 3,
                    "{name}, share {share}, crashing {crashing}, seed {seed}: {outcome:?}"
                );
            }
        }
    }
}

/// Histories without a deadly part in which many parts are new: most requests belong to sessions, or the nodes
/// have just started.
const fn new_parts(history: History) -> [History; 2] {
    let sessions = History {
        session_percent: 80,
        ..with(history, 0, 25)
    };
    let start = History {
        warm_up_s: 1,
        ..with(history, 0, 25)
    };
    [sessions, start]
}

/// Guards against sound parts that are taken for deadly while runners crash for other reasons.
#[test]
fn crashes_without_a_deadly_part_bring_few_false_alarms() {
    let sizes = [SMALL, GROWN, LARGE];
    let usual = sizes.map(|size| with(size, 0, 25));
    for history in usual
        .into_iter()
        .chain(sizes.into_iter().flat_map(new_parts))
    {
        let outcomes = outcomes(history);
        let losses: usize = outcomes.iter().map(|outcome| outcome.losses).sum();
        let false_alarms: usize = outcomes.iter().map(|outcome| outcome.false_alarms).sum();
        // One loss in a hundred may lead to a wrong decision, each of which holds one rare part back.
        assert!(
            false_alarms * 100 <= losses,
            "{false_alarms} of {losses} losses"
        );
    }
}

/// Guards against sound requests that are taken for deadly, since their callers and the gateway send them again while
/// runners crash for other reasons.
#[test]
fn crashes_for_other_reasons_bring_hardly_any_request_under_quarantine() {
    for size in [SMALL, GROWN, LARGE] {
        for crashing in [25, 60] {
            let outcomes = outcomes(with(size, 0, crashing));
            let losses: usize = outcomes.iter().map(|outcome| outcome.losses).sum();
            let false_alarms = outcomes.iter().map(|o| o.false_request_alarms);
            let false_alarms: usize = false_alarms.sum();
            // One loss in a thousand may lead to a wrong decision, which holds one request back.
            assert!(
                false_alarms * 1_000 <= losses,
                "crashing {crashing}: {false_alarms} of {losses} losses"
            );
        }
    }
}

/// A table of the outcomes, by size, share of deadly requests and background crashes.
#[test]
fn outcomes_by_history() {
    let mut table = String::from(
        "size, deadly per mille, crashing percent: found, crashes until then (mean, most), ms (mean), false alarms, requests held wrongly, sound losses\n",
    );
    let mut kinds: Vec<(String, History)> = Vec::new();
    for (name, size) in [("small", SMALL), ("grown", GROWN), ("large", LARGE)] {
        for (share, crashing) in [(18, 0), (5, 0), (60, 0), (18, 25), (0, 25)] {
            kinds.push((
                format!("{name}, {share}, {crashing}"),
                with(size, share, crashing),
            ));
        }
        let [sessions, start] = new_parts(size);
        kinds.push((format!("{name}, 0, 25, mostly new sessions"), sessions));
        kinds.push((format!("{name}, 0, 25, after a start"), start));
    }
    for (name, history) in kinds {
        let outcomes = outcomes(history);
        let crashes: Vec<usize> = outcomes
            .iter()
            .filter_map(|o| o.crashes_until_decision)
            .collect();
        let after_ms: Vec<u64> = outcomes.iter().filter_map(|o| o.decided_after_ms).collect();
        let mean = |sum: f64, count: usize| sum / count.max(1) as f64;
        let false_alarms: usize = outcomes.iter().map(|o| o.false_alarms).sum();
        let held: usize = outcomes.iter().map(|o| o.false_request_alarms).sum();
        let losses: usize = outcomes.iter().map(|o| o.losses).sum();
        writeln!(
            table,
            "{name}: {} of {}, {:.1}, {}, {:.0}, {false_alarms}, {held}, {losses}",
            crashes.len(),
            outcomes.len(),
            mean(crashes.iter().sum::<usize>() as f64, crashes.len()),
            crashes.iter().max().unwrap_or(&0),
            mean(after_ms.iter().sum::<u64>() as f64, after_ms.len()),
        )
        .expect("writing to a string cannot fail");
    }
    insta::assert_snapshot!(table);
}
