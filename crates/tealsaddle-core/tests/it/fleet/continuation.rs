//! Tests of what a node has to know before a stream goes on at a version.

use tealsaddle_core::fleet::continuation::{
    ASKED, Answers, Continuation, Coverage, Observation, StreamLife, Times, VersionHistory,
    VersionKnowledge, Word, continuation,
};
use tealsaddle_core::name::Name;
use yare::parameterized;

use super::SECOND_US;

/// Longest life of a stream.
const LIFE_US: u64 = 7 * SECOND_US;

fn word(told: Option<&str>, live: Option<&[&str]>) -> Word {
    Word {
        told: told.map(Into::into),
        live: live.map(|live| live.iter().map(|version| Name::from(*version)).collect()),
    }
}

const NO_TIME: Times = Times {
    now_us: 0,
    life_us: LIFE_US,
};

/// Guards against a node that was out of step while runners of a new version registered: it knows one version only, and
/// takes the streams of the other one for streams of that.
#[parameterized(
    current = { true, Coverage::Complete, None, Continuation::At("v1".into()) },
    not_current = { false, Coverage::Complete, None, Continuation::Undecided },
    not_complete = { true, Coverage::Interrupted, None, Continuation::Undecided },
    not_current_and_told = { false, Coverage::Complete, Some(vec![word(Some("v2"), None)]), Continuation::At("v2".into()) },
    not_current_without_answers = { false, Coverage::Complete, Some(vec![]), Continuation::Undecided },
    one_silent = { false, Coverage::Interrupted, Some(vec![word(None, Some(&["v1"])); 4]), Continuation::At("v1".into()) },
    two_silent = { false, Coverage::Interrupted, Some(vec![word(None, Some(&["v1"])); 3]), Continuation::Unknown },
    started_without_vouchers = { true, Coverage::Started, Some(vec![word(None, None); 5]), Continuation::Unknown },
    started_with_vouchers = { true, Coverage::Started, Some(vec![word(None, Some(&["v1"])); 5]), Continuation::At("v1".into()) },
    contradicted = { false, Coverage::Complete, Some(vec![
        word(None, Some(&["v1"])), word(None, Some(&["v1"])), word(None, Some(&["v1"])), word(None, Some(&["v1"])),
        word(None, Some(&["v1", "v2"])),
    ]), Continuation::Unknown },
)]
fn node_out_of_step_does_not_take_its_only_version_for_granted(
    is_current: bool,
    coverage: Coverage,
    words: Option<Vec<Word>>,
    expected: Continuation,
) {
    let mut history = VersionHistory::default();
    history.on_registered(&["v1".into()], NO_TIME);
    let knowledge = VersionKnowledge {
        history: &history,
        coverage,
        is_current,
    };
    let answers = words.map(|words| Answers {
        asked: ASKED,
        words,
    });
    assert_eq!(continuation(None, knowledge, answers.as_ref()), expected);
}

/// Guards against streams of before a shorter timeout that are taken for ended, after one change, two, or a longer one.
#[parameterized(
    one_step = { &[6, 2], 6 },
    two_steps = { &[6, 4, 2], 6 },
    lengthened_first = { &[4, 6, 2], 6 },
    lengthened_again = { &[6, 2, 8], 8 },
)]
fn streams_live_for_the_timeout_with_which_they_were_admitted(timeouts_s: &[u64], expected_s: u64) {
    let mut life = StreamLife::open(timeouts_s[0] * SECOND_US);
    for (step, timeout_s) in timeouts_s.iter().enumerate() {
        life.on_configured(timeout_s * SECOND_US, step as u64 * SECOND_US / 2);
    }
    let last_us = (timeouts_s.len() as u64 - 1) * SECOND_US / 2;
    assert_eq!(
        life.longest_us(last_us + 5 * SECOND_US),
        expected_s * SECOND_US
    );
    let newest_s = timeouts_s[timeouts_s.len() - 1];
    assert_eq!(
        life.longest_us(last_us + 60 * SECOND_US),
        newest_s * SECOND_US
    );
}

/// Guards against a node that started after a timeout was shortened, and takes the streams of before for ended.
#[test]
fn recorded_life_outlasts_a_shorter_timeout() {
    let mut life = StreamLife::open(2 * SECOND_US);
    life.on_earlier(6 * SECOND_US, 0);
    life.on_configured(2 * SECOND_US, SECOND_US);
    assert_eq!(life.longest_us(6 * SECOND_US), 6 * SECOND_US);
}

/// Guards against a node that takes what it has not heard for proof: before its start, while it was out of step, and since
/// the copy from which the store came back.
#[parameterized(
    unheard = { None, 0, None, 100, Coverage::Started },
    just_started = { Some(10), 10, None, 12, Coverage::Started },
    started_with_a_record = { Some(10), 10, Some(11), 12, Coverage::Complete },
    started_long_ago = { Some(10), 10, None, 17, Coverage::Complete },
    interrupted = { Some(10), 30, Some(11), 31, Coverage::Interrupted },
    interrupted_long_ago = { Some(10), 30, Some(11), 37, Coverage::Complete },
    interrupted_with_a_record = { Some(10), 30, Some(30), 31, Coverage::Complete },
)]
fn knowledge_covers_what_was_heard(
    begun_s: Option<u64>,
    resumed_s: u64,
    recorded_s: Option<u64>,
    now_s: u64,
    expected: Coverage,
) {
    let observation = Observation {
        begun_us: begun_s.map(|begun_s| begun_s * SECOND_US),
        resumed_us: resumed_s * SECOND_US,
        recorded_us: recorded_s.map(|recorded_s| recorded_s * SECOND_US),
    };
    let times = Times {
        now_us: now_s * SECOND_US,
        life_us: LIFE_US,
    };
    assert_eq!(observation.coverage(times), expected);
}
