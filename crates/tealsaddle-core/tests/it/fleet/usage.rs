//! Tests of the usage reports.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tealsaddle_core::fleet::usage::clock_difference::ClockDifference;
use tealsaddle_core::fleet::usage::log::{BUCKET_US, UsageLog, first_bucket_from};
use tealsaddle_core::fleet::usage::reports::{
    ReportPauses, Reports, SendOutcome, SkipReason, Step, WindowUse,
};
use tealsaddle_core::fleet::usage::true_time::TrueTime;
use tealsaddle_core::fleet::usage::window::WindowTerms;
use tealsaddle_core::fleet::usage::window_starts::WindowStarts;
use tealsaddle_core::fleet::usage::{Requests, add};
use tealsaddle_core::name::Name;
use yare::parameterized;

use super::SECOND_US;

const WINDOWS: WindowTerms = WindowTerms {
    length_us: 5 * SECOND_US,
    due_after_us: 10 * SECOND_US,
    keep_us: 60 * SECOND_US,
};

const PAUSES: ReportPauses = ReportPauses {
    settle_us: 300_000,
    first_us: 250_000,
    longest_us: 4 * SECOND_US,
};

fn counts(count: u64) -> Requests {
    BTreeMap::from([(Name::from("kettle"), count)])
}

fn report(window: u64, count: u64) -> WindowUse {
    WindowUse {
        window,
        requests: counts(count),
    }
}

/// A true time at which window 99 is the last one that is over.
const NOW_US: u64 = 100 * 5 * SECOND_US + SECOND_US;

/// State of a node whose next window is 99.
fn reports() -> Reports {
    let mut reports = Reports::new(WINDOWS, PAUSES);
    reports.on_record(Some(report(98, 1)));
    reports.on_sent(SendOutcome::Accepted, 0);
    reports
}

/// State of a node that has counted window 99 and written its record.
fn recorded(count: u64) -> Reports {
    let mut reports = reports();
    assert_eq!(reports.next_step(NOW_US, NOW_US), (Step::Count(99), None));
    reports.on_counted(report(99, count));
    reports.on_recorded();
    reports
}

/// A log of requests at drawn times from 10 s until 40 s, and their number.
fn drawn_log(random: &mut ChaCha8Rng) -> (UsageLog, u64) {
    let mut log = UsageLog::default();
    let total = random.random_range(1..400_u64);
    for _request in 0..total {
        let at_us = random.random_range(10 * SECOND_US..40 * SECOND_US);
        log.count(&Name::from("kettle"), at_us);
    }
    (log, total)
}

/// Guards against requests that adjoining windows count twice or not at all.
#[test]
fn adjoining_ranges_count_each_request_once() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    for _case in 0..200 {
        let (log, total) = drawn_log(&mut random);
        let mut sum = Requests::default();
        let mut from_us = random.random_range(0..9 * SECOND_US);
        while from_us < 45 * SECOND_US {
            let to_us = from_us + random.random_range(1..7 * SECOND_US);
            add(
                &mut sum,
                &log.sum(first_bucket_from(from_us)..first_bucket_from(to_us)),
            );
            from_us = to_us;
        }
        assert_eq!(sum, counts(total));
    }
}

/// Guards against figures that are further from the true ones than the buckets explain.
#[test]
fn range_is_off_by_half_a_bucket_at_each_end() {
    let mut random = ChaCha8Rng::seed_from_u64(2);
    for _case in 0..200 {
        let mut log = UsageLog::default();
        let times: Vec<u64> = (0..500)
            .map(|_request| random.random_range(0..20 * SECOND_US))
            .collect();
        for at_us in &times {
            log.count(&Name::from("kettle"), *at_us);
        }
        let from_us = random.random_range(SECOND_US..10 * SECOND_US);
        let to_us = from_us + 5 * SECOND_US;
        let buckets = first_bucket_from(from_us)..first_bucket_from(to_us);
        let counted = log.sum(buckets).values().sum::<u64>();
        let within = |margin_us: i64| {
            let from_us = from_us.saturating_add_signed(-margin_us);
            let to_us = to_us.saturating_add_signed(margin_us);
            let range = from_us..to_us;
            times.iter().filter(|t| range.contains(*t)).count() as u64
        };
        let margin_us = BUCKET_US as i64 / 2 + 1;
        assert!((within(-margin_us)..=within(margin_us)).contains(&counted));
    }
}

/// Guards against counts that are taken twice when another node is told them again.
#[test]
fn bucket_that_is_told_twice_counts_once() {
    let mut log = UsageLog::default();
    log.replace(7, counts(3));
    log.replace(7, counts(3));
    assert_eq!(log.sum(0..10), counts(3));
    log.forget_before(8 * BUCKET_US);
    assert!(log.is_empty());
}

/// Guards against windows that shift because the clocks of three in ten nodes jump.
#[test]
fn jumps_of_single_clocks_do_not_move_the_true_time() {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    for _case in 0..200 {
        let nodes = random.random_range(4..100_u16);
        let wrong = nodes * 3 / 10;
        let is_one_way = random.random_bool(0.5);
        let offset_us = 1_700_000_000 * SECOND_US as i64;
        let mut true_time = TrueTime::default();
        for node in 0..nodes {
            let now_us = 100 * SECOND_US + random.random_range(0..SECOND_US);
            let error_us = random.random_range(-20_000..20_000_i64);
            let jump_us = match (node < wrong, is_one_way) {
                (true, true) => 2_400_000,
                (true, false) => random.random_range(-2_400_000..2_400_000_i64),
                (false, _) => 0,
            };
            let unix_us = now_us.saturating_add_signed(offset_us + error_us + jump_us);
            let address = SocketAddr::from(([10, 0, 0, 1], node));
            true_time.on_reading(address, unix_us, now_us);
        }
        let needed = usize::from(nodes).div_ceil(2);
        let estimate = true_time.offset_us(102 * SECOND_US, needed);
        let error_us = estimate.expect("all clocks were read") - offset_us;
        assert!(error_us.abs() <= 20_000, "{error_us} us of {nodes} nodes");
    }
}

/// Guards against reports by the clocks of a minority, which may all be wrong, and by readings of long ago.
#[parameterized(
    too_few = { 4, 101 },
    too_old = { 10, 200 },
)]
fn true_time_is_unknown_without_fresh_clocks_of_most_nodes(nodes: u16, at_s: u64) {
    let mut true_time = TrueTime::default();
    for node in 0..nodes {
        let address = SocketAddr::from(([10, 0, 0, 1], node));
        true_time.on_reading(address, 5_000 * SECOND_US, 100 * SECOND_US);
    }
    assert_eq!(true_time.offset_us(at_s * SECOND_US, 5), None);
}

/// Guards against a window that is counted before it is over, or whose report waits without need.
#[test]
fn window_is_counted_once_it_is_over() {
    let mut reports = reports();
    let settled_us = WINDOWS.end_us(99) + PAUSES.settle_us;
    let now_us = 10 * SECOND_US;
    assert_eq!(reports.next_step(now_us, settled_us - 1).0, Step::Wait);
    assert_eq!(reports.next_step(now_us, settled_us).0, Step::Count(99));
}

/// Guards against a report that changes after it may have been accepted.
#[parameterized(
    unknown = { SendOutcome::Unknown },
    too_many_calls = { SendOutcome::NotNow },
    rejected_once = { SendOutcome::Rejected },
)]
fn report_without_known_acceptance_is_sent_again_word_for_word(outcome: SendOutcome) {
    let mut reports = recorded(7);
    let mut now_us = NOW_US;
    let mut pauses = Vec::new();
    for _attempt in 0..4 {
        let step = reports.next_step(now_us, now_us).0;
        assert_eq!(step, Step::RecordAndSend(report(99, 7)));
        assert_eq!(reports.on_sent(outcome, now_us), None);
        let sent_us = now_us;
        while reports.next_step(now_us, now_us).0 == Step::Wait {
            now_us += 1_000;
        }
        pauses.push(now_us - sent_us);
    }
    assert!(pauses.is_sorted_by(|a, b| a < b), "{pauses:?}");
}

/// Guards against reports that stop for good because the platform does not take one of them.
#[test]
fn report_that_is_always_rejected_is_given_up() {
    let mut reports = recorded(7);
    let mut now_us = NOW_US;
    let given_up = (0..20).find_map(|_attempt| {
        now_us += 5 * SECOND_US;
        reports.on_sent(SendOutcome::Rejected, now_us)
    });
    let given_up = given_up.expect("it is given up");
    assert_eq!((given_up.from, given_up.to), (99, 99));
    now_us += 5 * SECOND_US;
    assert_eq!(reports.next_step(now_us, now_us).0, Step::Count(100));
}

/// Guards against a successor that counts a window again whose report may have been accepted.
#[test]
fn successor_sends_the_record_before_it_goes_on() {
    let mut successor = Reports::new(WINDOWS, PAUSES);
    successor.on_record(Some(report(99, 7)));
    let step = successor.next_step(NOW_US, NOW_US).0;
    assert_eq!(step, Step::RecordAndSend(report(99, 7)));
    successor.on_sent(SendOutcome::Accepted, NOW_US);
    assert_eq!(successor.recorded(), Some(99));
    let later_us = NOW_US + 5 * SECOND_US;
    assert_eq!(successor.next_step(later_us, later_us).0, Step::Count(100));
}

/// Guards against a first holder that reports windows which are overdue already.
#[test]
fn first_report_is_the_earliest_in_time() {
    let mut first = Reports::new(WINDOWS, PAUSES);
    first.on_record(None);
    let (step, skipped) = first.next_step(NOW_US, NOW_US);
    let Step::Count(window) = step else {
        panic!("{step:?}");
    };
    assert!(WINDOWS.due_us(window) >= NOW_US);
    assert!(WINDOWS.due_us(window - 1) < NOW_US);
    assert_eq!(skipped, None);
}

/// Guards against figures of windows whose counts are no longer kept.
#[test]
fn windows_that_can_no_longer_be_counted_are_skipped() {
    let mut reports = reports();
    let later_us = NOW_US + 90 * SECOND_US;
    let (step, skipped) = reports.next_step(later_us, later_us);
    let skipped = skipped.expect("windows are skipped");
    assert_eq!((skipped.from, skipped.reason), (99, SkipReason::TooOld));
    assert_eq!(step, Step::Count(skipped.to + 1));
    assert!(WINDOWS.start_us(skipped.to + 1) + WINDOWS.keep_us >= later_us);
}

/// State of the first holder of a fleet whose oldest process was started this long ago.
fn first_of_fleet(uptime_us: u64) -> Reports {
    let mut first = Reports::new(WINDOWS, PAUSES);
    first.on_record(None);
    first.on_running_since(NOW_US - uptime_us);
    first
}

/// Guards against a second report for a window that was reported before all processes and the record were lost.
#[test]
fn windows_from_before_a_common_restart_are_not_counted() {
    let mut first = first_of_fleet(2 * SECOND_US);
    let (step, skipped) = first.next_step(NOW_US, NOW_US);
    assert_eq!((step, skipped), (Step::Count(99), None));
    let mut first = first_of_fleet(SECOND_US / 2);
    assert_eq!(first.next_step(NOW_US, NOW_US).0, Step::Wait);
    let later_us = NOW_US + 5 * SECOND_US;
    assert_eq!(first.next_step(later_us, later_us).0, Step::Count(100));
}

/// Guards against a window that is left out because the estimate of the true time moves a little.
#[test]
fn estimates_of_the_true_time_may_differ_at_the_start_of_the_fleet() {
    let mut first = first_of_fleet(SECOND_US);
    let earlier_us = NOW_US - 40_000;
    let step = first.next_step(NOW_US, earlier_us);
    assert_eq!(step, (Step::Count(99), None));
    let step = first.next_step(NOW_US, NOW_US + 40_000);
    assert_eq!(step, (Step::Count(99), None));
}

/// Guards against windows that are left out because the oldest process does not answer when they are counted again.
#[test]
fn windows_since_the_start_of_a_process_that_has_ended_are_counted() {
    let mut first = first_of_fleet(2 * SECOND_US);
    assert_eq!(first.next_step(NOW_US, NOW_US).0, Step::Count(99));
    first.on_running_since(NOW_US - SECOND_US / 2);
    first.on_failure(NOW_US);
    let later_us = NOW_US + SECOND_US;
    let step = first.next_step(later_us, later_us);
    assert_eq!(step, (Step::Count(99), None));
}

/// Guards against a second report for a window whose record was lost when the store came back from an older copy.
#[test]
fn window_whose_record_is_lost_is_not_counted_again() {
    let mut successor = Reports::new(WINDOWS, PAUSES);
    successor.on_record(Some(report(97, 7)));
    let skipped = successor.on_recorded_elsewhere(99);
    let skipped = skipped.expect("windows are skipped");
    assert_eq!((skipped.from, skipped.to), (98, 99));
    let step = successor.next_step(NOW_US, NOW_US).0;
    assert_eq!(step, Step::RecordAndSend(report(97, 7)));
    successor.on_sent(SendOutcome::Accepted, NOW_US);
    let later_us = NOW_US + 5 * SECOND_US;
    assert_eq!(successor.next_step(later_us, later_us).0, Step::Count(100));
}

/// What the fleet of a drawn history shares.
#[derive(Debug, Default)]
struct World {
    /// The record.
    stored: Option<WindowUse>,
    /// A write of the current term without an answer, which may be applied as long as the record is unchanged.
    late_write: Option<WindowUse>,
    /// Whether the late write has changed the record, so that the holder's next write fails on its condition.
    has_changed: bool,
    /// Highest window that nodes remember to be recorded.
    remembered: u64,
    /// Sent and accepted reports by window.
    sent: BTreeMap<u64, Vec<WindowUse>>,
    /// Number of the next count, so that each count differs from every other one.
    counted: u64,
}

/// Guards against two contents for one window, and against windows out of order, over drawn histories: writes without an
/// answer, lost answers, holders that are replaced at any moment, and a store that loses its latest record.
#[test]
fn drawn_histories_never_send_two_reports_for_a_window() {
    let mut accepted = 0;
    for seed in 0..600 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World::default();
        let mut now_us = NOW_US;
        let mut holder = Reports::new(WINDOWS, PAUSES);
        holder.on_record(None);
        let mut older_copy = None;
        for _step in 0..400 {
            now_us += random.random_range(0..2 * SECOND_US);
            if random.random_bool(0.3)
                && let Some(written) = world.late_write.take()
            {
                world.stored = Some(written);
                world.has_changed = true;
            }
            if random.random_bool(0.02) {
                // The store loses what was written since a copy. Nodes remember what is recorded.
                if random.random_bool(0.3) && older_copy.is_some() {
                    world.stored = older_copy.take();
                }
                // A write of an earlier term fails on its condition.
                world.late_write = None;
                world.has_changed = false;
                if random.random_bool(0.5) {
                    holder = Reports::new(WINDOWS, PAUSES);
                }
                holder.on_record(world.stored.clone());
                holder.drop_unrecorded();
                if world.remembered > holder.recorded().unwrap_or(0) {
                    holder.on_recorded_elsewhere(world.remembered);
                }
            }
            if random.random_bool(0.05) {
                older_copy = world.stored.clone();
            }
            match holder.next_step(now_us, now_us).0 {
                Step::Wait => {}
                Step::Count(window) => {
                    world.remembered = world.remembered.max(holder.recorded().unwrap_or(0));
                    world.counted += 1;
                    holder.on_counted(report(window, world.counted));
                }
                Step::RecordAndSend(report) => {
                    if std::mem::take(&mut world.has_changed) {
                        holder.on_failure(now_us);
                        holder.on_record(world.stored.clone());
                        continue;
                    }
                    if random.random_bool(0.1) {
                        // The write has no answer. It is applied before the record is read again, later, or never.
                        let is_applied = random.random_bool(0.4);
                        world.late_write = (!is_applied).then(|| report.clone());
                        world.stored = if is_applied {
                            Some(report)
                        } else {
                            world.stored
                        };
                        holder.on_failure(now_us);
                        holder.on_record(world.stored.clone());
                        continue;
                    }
                    // The late write fails from now on, as the revision of the record changes.
                    world.late_write = None;
                    world.stored = Some(report.clone());
                    holder.on_recorded();
                    world.remembered = world.remembered.max(report.window);
                    world.sent.entry(report.window).or_default().push(report);
                    let outcome = match random.random_range(0..4) {
                        0 => SendOutcome::Unknown,
                        1 => SendOutcome::NotNow,
                        _ => SendOutcome::Accepted,
                    };
                    accepted += u32::from(outcome == SendOutcome::Accepted);
                    holder.on_sent(outcome, now_us);
                }
            }
        }
        for (window, reports) in &world.sent {
            let is_same = reports.iter().all(|report| *report == reports[0]);
            assert!(is_same, "seed {seed}, window {window}: {reports:?}");
        }
    }
    assert!(accepted > 10_000, "{accepted}");
}

/// Guards against requests that windows count twice or not at all when questions are late, are repeated or come from several
/// nodes with other estimates of the time.
#[test]
fn windows_count_each_request_once_whatever_their_questions_say() {
    let mut random = ChaCha8Rng::seed_from_u64(6);
    for _case in 0..200 {
        let (log, total) = drawn_log(&mut random);
        let mut starts = WindowStarts::default();
        let mut sum = Requests::default();
        for window in 0..12 {
            let mut asked = || {
                let shift_us = random.random_range(0..3 * SECOND_US);
                let from_us = WINDOWS.start_us(window) + shift_us;
                first_bucket_from(from_us)..first_bucket_from(from_us + WINDOWS.length_us)
            };
            let buckets = starts.buckets_of(window, asked());
            assert_eq!(starts.buckets_of(window, asked()), buckets);
            add(&mut sum, &log.sum(buckets));
        }
        assert_eq!(sum, counts(total));
    }
}

/// Guards against requests that no window counts because the process was started in the last bucket of the window before.
#[parameterized(
    within_the_window = { 11, 10 },
    in_the_first_bucket = { 10, 10 },
    long_before = { 12, 12 },
    after_its_start = { 9, 9 },
)]
fn first_window_has_the_bucket_in_which_the_process_was_started(asked: u64, expected: u64) {
    let mut starts = WindowStarts::since(10);
    assert_eq!(starts.buckets_of(7, asked..20), expected..20);
    assert_eq!(starts.buckets_of(8, 21..30), 20..30);
}

/// Guards against requests of the first bucket that two windows count.
#[test]
fn window_before_the_first_keeps_its_last_bucket() {
    let mut starts = WindowStarts::since(10);
    assert_eq!(starts.buckets_of(6, 1..11), 1..11);
    assert_eq!(starts.buckets_of(7, 11..20), 11..20);
}

/// Guards against counts that shift because some messages are late, and against differences that no longer follow a clock.
#[test]
fn late_messages_do_not_move_the_difference_of_clocks() {
    let mut difference = ClockDifference::default();
    let delays_us = [200_000, 300, 700_000, 450_000, 90_000, 400, 250_000];
    let mut own_times_us = Vec::new();
    for (second, delay_us) in (1..).zip(delays_us) {
        let sent_us = second * SECOND_US;
        difference.on_message(sent_us, sent_us + 5 * SECOND_US + delay_us);
        own_times_us.push(difference.to_own(0));
    }
    let expected_us = [
        5_200_000, 5_000_300, 5_000_300, 5_000_300, 5_000_300, 5_000_400, 5_000_400,
    ];
    assert_eq!(own_times_us, expected_us);
    assert_eq!(difference.to_other(difference.to_own(SECOND_US)), SECOND_US);
}
