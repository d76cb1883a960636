//! Tests of the wait of requests after a pause of the process.

use tealsaddle_core::fleet::resumption::{LONGEST_TURN_US, MAX_WAIT_US, Resumption};
use yare::parameterized;

const START_US: u64 = 50_000_000;
const PAUSE_US: u64 = LONGEST_TURN_US * 3;
const RESUMED_US: u64 = START_US + PAUSE_US;
const UNTIL_US: u64 = RESUMED_US + MAX_WAIT_US;

/// Guards against a request that is served after a pause by what was known before, against one that waits for ever, and
/// against a wait of requests at a node that is cut off and was not paused.
#[parameterized(
    no_pause = { START_US + LONGEST_TURN_US, 0, START_US + LONGEST_TURN_US, None },
    right_after_a_pause = { RESUMED_US, START_US, RESUMED_US, Some(UNTIL_US) },
    noticed_by_another_before = { RESUMED_US, START_US, RESUMED_US + 1_000, Some(UNTIL_US) },
    last_moment = { RESUMED_US, START_US, UNTIL_US - 1, Some(UNTIL_US) },
    no_news_in_time = { RESUMED_US, START_US, UNTIL_US, None },
    news_since = { RESUMED_US, RESUMED_US + 10, RESUMED_US + 20, None },
    news_of_shortly_before = { RESUMED_US, RESUMED_US - LONGEST_TURN_US, RESUMED_US + 20, None },
    news_of_long_before = { RESUMED_US, RESUMED_US - LONGEST_TURN_US - 1, RESUMED_US + 20, Some(UNTIL_US) },
)]
fn requests_wait_for_news_after_a_pause(
    turn_us: u64,
    as_of_us: u64,
    now_us: u64,
    expected: Option<u64>,
) {
    let mut resumption = Resumption::new(START_US);
    resumption.on_turn(turn_us);
    assert_eq!(resumption.wait_until_us(as_of_us, now_us), expected);
}

/// Guards against a request that is the first to run after a pause and is not taken for it.
#[test]
fn request_notices_the_pause_itself() {
    let mut resumption = Resumption::new(START_US);
    let wait = resumption.wait_until_us(START_US, RESUMED_US);
    assert_eq!(wait, Some(UNTIL_US));
}

/// Guards against each request of a node that is cut off waiting again after one pause.
#[test]
fn wait_ends_once_for_all_requests() {
    let mut resumption = Resumption::new(START_US);
    resumption.on_turn(RESUMED_US);
    for now_us in [UNTIL_US, UNTIL_US + 10, UNTIL_US + MAX_WAIT_US] {
        assert_eq!(resumption.wait_until_us(START_US, now_us), None);
    }
}
