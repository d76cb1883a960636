//! Tests of what counts as a repeat of a request.

use tealsaddle_core::arrivals::{Arrivals, NextSend};
use yare::parameterized;

/// What becomes of one send of a request.
#[derive(Debug, Clone, Copy)]
enum Fate {
    /// A runner reads the prompt for another one.
    Read,
    /// A read of which no answer or a refusal comes.
    FailedRead,
    /// A run, whatever becomes of it.
    Run,
    /// No byte leaves the node.
    Unsent,
}
use Fate::{FailedRead, Read, Run, Unsent};

fn after(sends: &[Fate]) -> Arrivals {
    let mut arrivals = Arrivals::default();
    for send in sends {
        arrivals.on_send();
        match send {
            Read => arrivals.on_read_accepted(),
            Unsent => arrivals.on_unsent(),
            FailedRead | Run => {}
        }
    }
    arrivals
}

/// Guards against a repeat that is taken for exempt, and against a send that is counted although it adds no load.
#[parameterized(
    run_alone = { &[Run], 0 },
    read_then_run = { &[Read, Run], 0 },
    failed_read_then_run = { &[FailedRead, Run], 1 },
    failed_read_then_read_then_run = { &[FailedRead, Read, Run], 1 },
    two_failed_reads_then_run = { &[FailedRead, FailedRead, Run], 2 },
    both_of_two_reads_then_run = { &[Read, Read, Run], 1 },
    two_runs_after_a_read = { &[Read, Run, Run], 1 },
    read_again_for_the_second_run = { &[Read, Run, Read, Run], 2 },
    first_read_after_a_run = { &[Run, Read, Run], 1 },
    unsent_read_then_run = { &[Unsent, Run], 0 },
    unsent_read_then_read_then_run = { &[Unsent, Read, Run], 0 },
)]
fn repeats(sends: &[Fate], expected: u32) {
    assert_eq!(after(sends).repeats(), expected);
}

/// Guards against a run beyond what was taken out of the budget.
#[parameterized(
    nothing = { &[], true },
    failed_read = { &[FailedRead], false },
    read = { &[Read], true },
    run = { &[Run], false },
    unsent = { &[Unsent], true },
)]
fn a_send_without_a_deduction_is_no_repeat(sends: &[Fate], expected: bool) {
    assert_eq!(
        after(sends).missing_deductions(NextSend::Run) == 0,
        expected
    );
}

/// Guards against a read for which the run that follows is not taken out of the budget, and against a deduction that is made
/// twice, also where a read is accepted only after it was deducted.
#[parameterized(
    first_read = { &[], 0, NextSend::Read, 0 },
    read_after_a_failed_one = { &[FailedRead], 0, NextSend::Read, 1 },
    read_for_a_second_run = { &[Read, Run], 0, NextSend::Read, 2 },
    read_for_a_second_run_that_is_deducted = { &[Read, Run], 1, NextSend::Read, 1 },
    run_after_a_deducted_read = { &[FailedRead, Read], 1, NextSend::Run, 0 },
    run_after_a_deducted_read_that_failed = { &[FailedRead, FailedRead], 1, NextSend::Run, 1 },
    run_after_a_deducted_send_that_was_not_made = { &[FailedRead, Unsent], 1, NextSend::Run, 0 },
)]
fn deductions_are_missing(sends: &[Fate], deducted: u32, next: NextSend, expected: u32) {
    let mut arrivals = after(sends);
    for _retry in 0..deducted {
        arrivals.on_deducted();
    }
    assert_eq!(arrivals.missing_deductions(next), expected);
}
