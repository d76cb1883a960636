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

/// Guards against repeats beyond those that were taken out of the budget, also where a read is accepted only after
/// it was deducted.
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
