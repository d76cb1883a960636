//! Steps of a claim attempt. The model check in `model/claims.rs` covers their interleavings.

use tealsaddle_core::authority::{Stored, WriteOutcome};
use tealsaddle_core::claim::{
    ClaimAttempt, ClaimRefusal, ClaimStep, MAX_STORED_BODY_BYTES, StoredAnswer, claim_key,
    request_sha256,
};
use tealsaddle_core::retry::{AttemptOutcome, NotRunReason, UnknownReason};
use tealsaddle_schema::record::{ClaimRecord, ProcessId};

fn process(vm: &str) -> ProcessId {
    ProcessId {
        vm: vm.to_owned(),
        incarnation: "1".to_owned(),
    }
}

fn begin(attempt: &str) -> (ClaimAttempt, ClaimRecord) {
    let (attempt, step) = ClaimAttempt::begin(attempt, process(attempt), "request");
    let ClaimStep::Write {
        if_version: 0,
        record,
    } = step
    else {
        panic!("the first step is not to write the claim: {step:?}");
    };
    (attempt, record)
}

fn stored(state: &str, sha256: &str) -> Stored<ClaimRecord> {
    let record = ClaimRecord {
        attempt_id: "other".to_owned(),
        process: Some(process("other")),
        state: state.to_owned(),
        status: 201,
        content_type: "text/plain".to_owned(),
        body: Some(b"saved".to_vec()),
        request_sha256: sha256.to_owned(),
    };
    Stored { version: 7, record }
}

fn answer(body_bytes: usize) -> StoredAnswer {
    StoredAnswer {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: Some(vec![b'x'; body_bytes]),
    }
}

/// Guards against a second run of a call that was claimed before. Also guards against a refusal
/// that does not report the known state of the claim.
#[yare::parameterized(
    done = { "done", "request", true, Some("Answered(StoredAnswer { status: 201, content_type: \"text/plain\", body: Some([115, 97, 118, 101, 100]) })") },
    running = { "started", "request", true, Some("InProgress") },
    not_live = { "started", "request", false, Some("Unknown") },
    unknown_state = { "later-release", "request", false, Some("Unknown") },
    reused = { "started", "another", true, Some("KeyReused") },
    reused_after_not_run = { "not_run", "another", true, Some("KeyReused") },
    not_run = { "not_run", "request", false, None },
)]
fn existing_claim_determines_the_step(
    state: &str,
    sha256: &str,
    is_live: bool,
    refused: Option<&str>,
) {
    let (mut attempt, _) = begin("t1");
    assert_eq!(attempt.on_write(WriteOutcome::Conflict), ClaimStep::Read);
    let step = attempt.on_read(Some(&stored(state, sha256)), |_| is_live);
    match (step, refused) {
        (ClaimStep::Refuse(step), Some(refused)) => assert_eq!(format!("{step:?}"), refused),
        (ClaimStep::Write { if_version, record }, None) => {
            assert_eq!((if_version, record.attempt_id.as_str()), (7, "t1"));
            assert_eq!(attempt.on_write(WriteOutcome::Written(8)), ClaimStep::Run);
        }
        (step, refused) => panic!("{step:?} instead of {refused:?}"),
    }
}

/// Guards against assuming the outcome of a claim write whose response was lost, instead of reading
/// the record.
#[test]
fn lost_claim_write_is_resolved_by_reading() {
    let (mut attempt, record) = begin("t1");
    assert_eq!(attempt.on_write(WriteOutcome::Unknown), ClaimStep::Read);
    let mine = Stored { version: 1, record };
    assert_eq!(attempt.on_read(Some(&mine), |_| true), ClaimStep::Run);

    let (mut attempt, record) = begin("t2");
    assert_eq!(attempt.on_write(WriteOutcome::Unknown), ClaimStep::Read);
    let again = ClaimStep::Write {
        if_version: 0,
        record,
    };
    assert_eq!(attempt.on_read(None, |_| true), again);

    let (mut attempt, _) = begin("t3");
    let mut step = attempt.on_write(WriteOutcome::Unknown);
    while step == ClaimStep::Read {
        step = attempt.on_read_failed();
    }
    assert_eq!(step, ClaimStep::Refuse(ClaimRefusal::NotRun));
}

/// Guards against storing an outcome that claims more than is known about the call.
#[yare::parameterized(
    answered = { AttemptOutcome::Answered, Some(answer(3)), Some(("done", Some(3))) },
    large = { AttemptOutcome::Answered, Some(answer(MAX_STORED_BODY_BYTES + 1)), Some(("done", None)) },
    not_run = { AttemptOutcome::NotRun(NotRunReason::TargetRefused), None, Some(("not_run", None)) },
    unknown = { AttemptOutcome::Unknown(UnknownReason::Timeout), None, None },
)]
fn outcome_is_stored(
    outcome: AttemptOutcome,
    answer: Option<StoredAnswer>,
    written: Option<(&str, Option<usize>)>,
) {
    let (mut attempt, _) = begin("t1");
    assert_eq!(attempt.on_write(WriteOutcome::Written(1)), ClaimStep::Run);
    match (attempt.on_outcome(outcome, answer), written) {
        (
            ClaimStep::Write {
                if_version: 1,
                record,
            },
            Some((state, body_bytes)),
        ) => {
            assert_eq!(record.state, state);
            assert_eq!(record.body.map(|body| body.len()), body_bytes);
        }
        (step, written) => assert_eq!((step, written), (ClaimStep::Finished, None)),
    }
}

/// Guards against a claim that stays `started` because the write of its outcome was lost.
#[test]
fn lost_outcome_is_written_again() {
    let (mut attempt, record) = begin("t1");
    attempt.on_write(WriteOutcome::Written(1));
    let step = attempt.on_outcome(AttemptOutcome::Answered, Some(answer(3)));
    assert_eq!(attempt.on_write(WriteOutcome::Unknown), ClaimStep::Read);
    let started = Stored { version: 1, record };
    assert_eq!(attempt.on_read(Some(&started), |_| true), step);
}

/// Guards against equal hashes for different splits of the same text into customer and key, or into
/// path and body.
#[test]
fn hashes_separate_their_parts() {
    assert_ne!(claim_key("s", "ab", "c"), claim_key("s", "a", "bc"));
    assert_ne!(
        request_sha256("POST", "/a", b"b"),
        request_sha256("POST", "/ab", b"")
    );
}
