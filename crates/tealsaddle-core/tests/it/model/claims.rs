//! The specification of claims: attempts with one key, the platform, and the target that counts runs.

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
    /// A write whose answer was lost counts as written.
    LostAnswerMeansWritten,
    /// The call is sent before the claim is written.
    RunBeforeClaim,
    /// An unknown outcome is stored as "not run".
    UnknownMeansNotRun,
    /// A claim whose process is gone counts as "not run".
    GoneMeansNotRun,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Caller {
    is_up: bool,
    /// The attempt with what it wants to do next.
    attempt: Option<(ClaimAttempt, ClaimStep)>,
    has_run: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    version: u64,
    record: Option<ClaimRecord>,
    callers: Vec<Caller>,
    floating: Vec<(u64, ClaimRecord)>,
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

struct Claims {
    mutant: Option<Mutant>,
    callers: usize,
    lost_answers: u8,
    kills: u8,
}

type Outcome = Result<World, &'static str>;

impl Claims {
    fn is(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    fn write(&self, world: &mut World, if_version: u64, record: ClaimRecord) -> WriteOutcome {
        if if_version != world.version && !self.is(Mutant::NoCompare) {
            return WriteOutcome::Conflict;
        }
        world.version += 1;
        world.record = Some(record);
        WriteOutcome::Written(world.version)
    }

    /// Gives an input to the attempt and keeps what it wants next.
    fn drive<F>(mut world: World, i: usize, input: F) -> Outcome
    where
        F: FnOnce(&mut ClaimAttempt) -> ClaimStep,
    {
        let total = world.callers.iter().filter(|caller| caller.has_run).count();
        let caller = &mut world.callers[i];
        let (attempt, step) = caller.attempt.as_mut().expect("the attempt was begun");
        *step = input(attempt);
        match step {
            ClaimStep::Refuse(ClaimRefusal::NotRun) if caller.has_run => {
                Err("a call that ran is reported as not run")
            }
            ClaimStep::Refuse(ClaimRefusal::Answered(_)) if total == 0 => {
                Err("an answer is given that no run has made")
            }
            _ => Ok(world),
        }
    }

    fn run(mut world: World, i: usize) -> Outcome {
        world.callers[i].has_run = true;
        let total = world.callers.iter().filter(|caller| caller.has_run).count();
        if total > 1 {
            return Err("a claimed call runs a second time");
        }
        Ok(world)
    }

    fn caller_steps(&self, next: &mut Vec<(Step, Outcome)>, world: &World, i: usize) {
        let caller = &world.callers[i];
        let Some((_, step)) = &caller.attempt else {
            let process = ProcessId {
                vm: format!("vm{i}"),
                incarnation: "p".to_owned(),
            };
            let mut begun = world.clone();
            begun.callers[i].attempt =
                Some(ClaimAttempt::begin(format!("t{i}"), process, "request"));
            let result = if self.is(Mutant::RunBeforeClaim) {
                Self::run(begun, i)
            } else {
                Ok(begun)
            };
            next.push((Step::Begin(i), result));
            return;
        };
        match step.clone() {
            ClaimStep::Write { if_version, record } => {
                let mut written = world.clone();
                let outcome = self.write(&mut written, if_version, record.clone());
                if world.lost_answers > 0 {
                    let mut lost = written.clone();
                    lost.lost_answers -= 1;
                    let result = Self::drive(lost, i, |a| a.on_write(WriteOutcome::Unknown));
                    next.push((Step::WrittenAnswerLost(i), result));
                    let mut lost = world.clone();
                    lost.lost_answers -= 1;
                    lost.floating.push((if_version, record));
                    let seen = if self.is(Mutant::LostAnswerMeansWritten) {
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
                let ups: Vec<bool> = world.callers.iter().map(|caller| caller.is_up).collect();
                let is_live = |p: &ProcessId| {
                    (0..)
                        .zip(&ups)
                        .any(|(j, up)| *up && p.vm == format!("vm{j}"))
                };
                let mut stored = world.record.clone().map(|record| Stored {
                    version: world.version,
                    record,
                });
                if self.is(Mutant::GoneMeansNotRun)
                    && let Some(stored) = &mut stored
                    && stored.record.state == "started"
                    && !stored.record.process.as_ref().is_some_and(is_live)
                {
                    "not_run".clone_into(&mut stored.record.state);
                }
                let result = Self::drive(world.clone(), i, |a| a.on_read(stored.as_ref(), is_live));
                next.push((Step::Read(i), result));
                let result = Self::drive(world.clone(), i, ClaimAttempt::on_read_failed);
                next.push((Step::ReadFailed(i), result));
            }
            ClaimStep::Run => self.run_steps(next, world, i),
            ClaimStep::Refuse(_) | ClaimStep::Finished => {}
        }
    }

    fn run_steps(&self, next: &mut Vec<(Step, Outcome)>, world: &World, i: usize) {
        let answer = StoredAnswer {
            status: 200,
            content_type: String::new(),
            body: None,
        };
        let unknown = if self.is(Mutant::UnknownMeansNotRun) {
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
                Self::run(world.clone(), i)
            } else {
                Ok(world.clone())
            };
            let result =
                after.and_then(|world| Self::drive(world, i, |a| a.on_outcome(outcome, answer)));
            next.push((step, result));
        }
    }
}

impl Model for Claims {
    type State = World;
    type Step = Step;

    fn initial(&self) -> World {
        let caller = Caller {
            is_up: true,
            attempt: None,
            has_run: false,
        };
        World {
            version: 0,
            record: None,
            callers: vec![caller; self.callers],
            floating: Vec::new(),
            lost_answers: self.lost_answers,
            kills: self.kills,
        }
    }

    fn next(&self, world: &World) -> Successors<Self> {
        let mut next = Vec::new();
        for (i, caller) in world.callers.iter().enumerate() {
            if !caller.is_up {
                continue;
            }
            self.caller_steps(&mut next, world, i);
            if world.kills > 0 {
                let mut world = world.clone();
                world.kills -= 1;
                world.callers[i].is_up = false;
                if let Some((_, ClaimStep::Write { if_version, record })) =
                    world.callers[i].attempt.take()
                {
                    world.floating.push((if_version, record));
                }
                next.push((Step::Kill(i), Ok(world)));
            }
        }
        for index in 0..world.floating.len() {
            let mut world = world.clone();
            let (if_version, record) = world.floating.remove(index);
            self.write(&mut world, if_version, record);
            next.push((Step::LateWrite(index), Ok(world)));
        }
        next
    }
}

/// Guards against a second run of a claimed call and a wrong "not run".
#[test]
fn claims_hold() {
    let mut table = String::new();
    for (callers, lost_answers, kills) in [(2, 2, 1), (3, 1, 1)] {
        let claims = Claims {
            mutant: None,
            callers,
            lost_answers,
            kills,
        };
        let found = explore(&claims);
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

/// Guards against a check that would not see the fault which each rule prevents.
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
        let found = explore(&Claims {
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
