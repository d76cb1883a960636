//! Model of claims: attempts with one idempotency key, the platform, and a target that counts runs.

use std::fmt::Write as _;

use tealsaddle_core::authority::{Stored, WriteOutcome};
use tealsaddle_core::claim::{ClaimAttempt, ClaimRefusal, ClaimStep, StoredAnswer};
use tealsaddle_core::retry::{AttemptOutcome, NotRunReason, UnknownReason};
use tealsaddle_schema::record::{ClaimRecord, ProcessId};

use super::explore::{Model, Successors, explore};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    /// The platform writes without comparing the version.
    NoCompare,
    /// A write whose response was lost is treated as written.
    LostAnswerMeansWritten,
    /// The call is sent before the claim is written.
    RunBeforeClaim,
    /// An unknown outcome is stored as "not run".
    UnknownMeansNotRun,
    /// A claim whose process is not live is treated as "not run".
    GoneMeansNotRun,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Caller {
    is_up: bool,
    /// The attempt with its next step.
    attempt: Option<(ClaimAttempt, ClaimStep)>,
    has_run: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ClaimsState {
    version: u64,
    record: Option<ClaimRecord>,
    callers: Vec<Caller>,
    delayed_writes: Vec<(u64, ClaimRecord)>,
    lost_answers: u8,
    kills: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Begin(usize),
    Written(usize),
    WrittenAnswerLost(usize),
    AnswerLost(usize),
    LateWrite(usize),
    Read(usize),
    ReadFailed(usize),
    RunAnswered(usize),
    RunAnswerLost(usize),
    RequestLost(usize),
    RefusedByTarget(usize),
    Kill(usize),
}

struct ClaimsModel {
    mutant: Option<Mutant>,
    callers: usize,
    lost_answers: u8,
    kills: u8,
}

type Outcome = Result<ClaimsState, &'static str>;

impl ClaimsModel {
    fn has_mutant(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    fn write(&self, state: &mut ClaimsState, if_version: u64, record: ClaimRecord) -> WriteOutcome {
        if if_version != state.version && !self.has_mutant(Mutant::NoCompare) {
            return WriteOutcome::Conflict;
        }
        state.version += 1;
        state.record = Some(record);
        WriteOutcome::Written(state.version)
    }

    /// Passes an input to the attempt, stores its next step, and returns the rule that this breaks,
    /// if any.
    fn drive<F>(mut state: ClaimsState, i: usize, input: F) -> Outcome
    where
        F: FnOnce(&mut ClaimAttempt) -> ClaimStep,
    {
        let runs = state.callers.iter().filter(|caller| caller.has_run).count();
        let caller = &mut state.callers[i];
        let (attempt, step) = caller.attempt.as_mut().expect("the attempt was begun");
        *step = input(attempt);
        match step {
            ClaimStep::Refuse(ClaimRefusal::NotRun) if caller.has_run => {
                Err("a call that ran is reported as not run")
            }
            ClaimStep::Refuse(ClaimRefusal::Answered(_)) if runs == 0 => {
                Err("an answer is returned although no call ran")
            }
            _ => Ok(state),
        }
    }

    fn run(mut state: ClaimsState, i: usize) -> Outcome {
        state.callers[i].has_run = true;
        let runs = state.callers.iter().filter(|caller| caller.has_run).count();
        if runs > 1 {
            return Err("a claimed call runs a second time");
        }
        Ok(state)
    }

    fn caller_steps(&self, next: &mut Vec<(Step, Outcome)>, state: &ClaimsState, i: usize) {
        let caller = &state.callers[i];
        let Some((_, step)) = &caller.attempt else {
            let process = ProcessId {
                vm: format!("vm{i}"),
                incarnation: "p".to_owned(),
            };
            let mut begun = state.clone();
            begun.callers[i].attempt =
                Some(ClaimAttempt::begin(format!("t{i}"), process, "request"));
            let result = if self.has_mutant(Mutant::RunBeforeClaim) {
                Self::run(begun, i)
            } else {
                Ok(begun)
            };
            next.push((Step::Begin(i), result));
            return;
        };
        match step.clone() {
            ClaimStep::Write { if_version, record } => {
                let mut written = state.clone();
                let outcome = self.write(&mut written, if_version, record.clone());
                if state.lost_answers > 0 {
                    let mut lost = written.clone();
                    lost.lost_answers -= 1;
                    let result = Self::drive(lost, i, |a| a.on_write(WriteOutcome::Unknown));
                    next.push((Step::WrittenAnswerLost(i), result));
                    let mut lost = state.clone();
                    lost.lost_answers -= 1;
                    lost.delayed_writes.push((if_version, record));
                    let seen = if self.has_mutant(Mutant::LostAnswerMeansWritten) {
                        WriteOutcome::Written(if_version + 1)
                    } else {
                        WriteOutcome::Unknown
                    };
                    let result = Self::drive(lost, i, |a| a.on_write(seen));
                    next.push((Step::AnswerLost(i), result));
                }
                let result = Self::drive(written, i, |a| a.on_write(outcome));
                next.push((Step::Written(i), result));
            }
            ClaimStep::Read => {
                let is_up_by_caller: Vec<bool> =
                    state.callers.iter().map(|caller| caller.is_up).collect();
                let is_live = |p: &ProcessId| {
                    (0..)
                        .zip(&is_up_by_caller)
                        .any(|(j, is_up)| *is_up && p.vm == format!("vm{j}"))
                };
                let mut stored = state.record.clone().map(|record| Stored {
                    version: state.version,
                    record,
                });
                if self.has_mutant(Mutant::GoneMeansNotRun)
                    && let Some(stored) = &mut stored
                    && stored.record.state == "started"
                    && !stored.record.process.as_ref().is_some_and(is_live)
                {
                    "not_run".clone_into(&mut stored.record.state);
                }
                let result = Self::drive(state.clone(), i, |a| a.on_read(stored.as_ref(), is_live));
                next.push((Step::Read(i), result));
                let result = Self::drive(state.clone(), i, ClaimAttempt::on_read_failed);
                next.push((Step::ReadFailed(i), result));
            }
            ClaimStep::Run => self.run_steps(next, state, i),
            ClaimStep::Refuse(_) | ClaimStep::Finished => {}
        }
    }

    fn run_steps(&self, next: &mut Vec<(Step, Outcome)>, state: &ClaimsState, i: usize) {
        let answer = StoredAnswer {
            status: 200,
            content_type: String::new(),
            body: None,
        };
        let unknown = if self.has_mutant(Mutant::UnknownMeansNotRun) {
            AttemptOutcome::NotRun(NotRunReason::ConnectFailed)
        } else {
            AttemptOutcome::Unknown(UnknownReason::Timeout)
        };
        let not_run = AttemptOutcome::NotRun(NotRunReason::TargetRefused);
        let runs = [
            (
                Step::RunAnswered(i),
                true,
                AttemptOutcome::Answered,
                Some(answer),
            ),
            (Step::RunAnswerLost(i), true, unknown, None),
            (Step::RequestLost(i), false, unknown, None),
            (Step::RefusedByTarget(i), false, not_run, None),
        ];
        for (step, has_run, outcome, answer) in runs {
            let after = if has_run {
                Self::run(state.clone(), i)
            } else {
                Ok(state.clone())
            };
            let result =
                after.and_then(|state| Self::drive(state, i, |a| a.on_outcome(outcome, answer)));
            next.push((step, result));
        }
    }
}

impl Model for ClaimsModel {
    type State = ClaimsState;
    type Step = Step;

    fn initial(&self) -> ClaimsState {
        let caller = Caller {
            is_up: true,
            attempt: None,
            has_run: false,
        };
        ClaimsState {
            version: 0,
            record: None,
            callers: vec![caller; self.callers],
            delayed_writes: Vec::new(),
            lost_answers: self.lost_answers,
            kills: self.kills,
        }
    }

    fn next(&self, state: &ClaimsState) -> Successors<Self> {
        let mut next = Vec::new();
        for (i, caller) in state.callers.iter().enumerate() {
            if !caller.is_up {
                continue;
            }
            self.caller_steps(&mut next, state, i);
            if state.kills > 0 {
                let mut state = state.clone();
                state.kills -= 1;
                state.callers[i].is_up = false;
                if let Some((_, ClaimStep::Write { if_version, record })) =
                    state.callers[i].attempt.take()
                {
                    state.delayed_writes.push((if_version, record));
                }
                next.push((Step::Kill(i), Ok(state)));
            }
        }
        for index in 0..state.delayed_writes.len() {
            let mut state = state.clone();
            let (if_version, record) = state.delayed_writes.remove(index);
            self.write(&mut state, if_version, record);
            next.push((Step::LateWrite(index), Ok(state)));
        }
        next
    }
}

/// Guards against a second run of a claimed call. Also guards against a call that ran but is
/// reported as "not run". Lost responses and killed processes could cause either.
#[test]
fn claims_hold() {
    let mut table = String::new();
    for (callers, lost_answers, kills) in [(2, 2, 1), (3, 1, 1)] {
        let model = ClaimsModel {
            mutant: None,
            callers,
            lost_answers,
            kills,
        };
        let found = explore(&model);
        writeln!(
            table,
            "{callers} calls with one key, {lost_answers} lost answers, {kills} kills: {} states, \
             depth {}, violation: {:?}",
            found.states, found.depth, found.violation
        )
        .expect("writing to a string does not fail");
    }
    println!("{table}");
    insta::assert_snapshot!(table);
}

/// Guards against a model in which disabling a rule causes no fault, so that the check could not
/// detect a violation of that rule.
#[test]
fn claim_mutants_are_found() {
    let mut table = String::new();
    for mutant in [
        Mutant::NoCompare,
        Mutant::LostAnswerMeansWritten,
        Mutant::RunBeforeClaim,
        Mutant::UnknownMeansNotRun,
        Mutant::GoneMeansNotRun,
    ] {
        let found = explore(&ClaimsModel {
            mutant: Some(mutant),
            callers: 2,
            lost_answers: 1,
            kills: 1,
        });
        let (rule, trace) = found.violation.expect("the mutant breaks a rule");
        writeln!(table, "{mutant:?}: {rule}\n  {}", trace.join("\n  "))
            .expect("writing to a string does not fail");
    }
    insta::assert_snapshot!(table);
}
