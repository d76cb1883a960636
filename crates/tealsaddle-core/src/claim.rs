//! At-most-once claims for calls that may not be repeated.
//!
//! The claim record is created by compare-and-swap before the first byte of the call leaves, so among
//! all nodes and zones one attempt per key may run. What an attempt leaves behind decides about later
//! calls with the key: an answer is given again, a certain "not run" may be claimed anew, and an
//! attempt of which nothing is known stays `started` until the record's lease ends.
//!
//! [`ClaimAttempt`] is one attempt's way through it. It never assumes the outcome of a write: a lost
//! answer is settled by reading the record and comparing the attempt id. A write that was lost may
//! also take effect later, so an attempt that gives up before it owns the claim has run nothing,
//! whatever the record says afterwards.

use std::fmt::Write as _;

use sha2::{Digest, Sha256};
use tealsaddle_schema::record::{ClaimRecord, ProcessId};

use crate::authority::{Stored, WriteOutcome};
use crate::retry::AttemptOutcome;

/// Largest body of an answer that is kept in a claim.
pub const MAX_STORED_BODY_BYTES: usize = 64 * 1024;
/// Time for which a claim is kept.
pub const CLAIM_TTL_MS: u64 = 24 * 60 * 60 * 1_000;
/// Reads that settle one lost answer at most, before the call is refused as not run.
const MAX_SETTLING_READS: u32 = 3;

/// State of a stored claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ClaimState {
    /// An attempt owns the claim and may be running.
    Started,
    /// The call was answered.
    Done,
    /// The attempt certainly did not run.
    NotRun,
}

impl ClaimState {
    /// The text in the record.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Done => "done",
            Self::NotRun => "not_run",
        }
    }

    /// State of a record. An unknown text counts as `Started`, which permits less.
    pub fn of(record: &ClaimRecord) -> Self {
        match record.state.as_str() {
            "done" => Self::Done,
            "not_run" => Self::NotRun,
            _ => Self::Started,
        }
    }
}

/// Answer that a claim keeps.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u32,
    /// Content type.
    pub content_type: String,
    /// Body; `None` when it was larger than [`MAX_STORED_BODY_BYTES`].
    pub body: Option<Vec<u8>>,
}

/// Why a keyed call gets no attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ClaimRefusal {
    /// The call was answered before; give this answer again.
    Answered(StoredAnswer),
    /// Another attempt owns the claim and its process is live, as far as this node knows.
    InProgress,
    /// Another attempt owned the claim and its process is gone; whether it ran is unknown.
    Unknown,
    /// The key was used for another request.
    KeyReused,
    /// The claim could not be written, and this attempt has not run.
    NotRun,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ClaimStep {
    /// Read the record.
    Read,
    /// Write the record by compare-and-swap, with a lease of [`CLAIM_TTL_MS`].
    Write {
        /// Version to compare; 0 means that it must not exist.
        if_version: u64,
        /// The record.
        record: ClaimRecord,
    },
    /// The claim is owned: run the call, once.
    Run,
    /// Do not run the call.
    Refuse(ClaimRefusal),
    /// The outcome is stored, or another record stands there; nothing is left to do.
    Finished,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Stage {
    /// Before the claim is owned.
    Claiming,
    /// The claim was written at this version and the call may run.
    Owned(u64),
    /// The outcome is being stored.
    Settling,
    Ended,
}

/// One attempt at a keyed call.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimAttempt {
    attempt_id: String,
    process: ProcessId,
    request_sha256: String,
    stage: Stage,
    outcome: Option<ClaimRecord>,
    reads: u32,
}

impl ClaimAttempt {
    /// Begins an attempt; the first step is to write the claim as if there was none.
    ///
    /// `attempt_id` is unique over all attempts, `request_sha256` is made by [`request_sha256`].
    pub fn begin(
        attempt_id: impl Into<String>,
        process: ProcessId,
        request_sha256: impl Into<String>,
    ) -> (Self, ClaimStep) {
        let attempt = Self {
            attempt_id: attempt_id.into(),
            process,
            request_sha256: request_sha256.into(),
            stage: Stage::Claiming,
            outcome: None,
            reads: 0,
        };
        let step = attempt.write_started(0);
        (attempt, step)
    }

    /// Takes the outcome of a write.
    pub fn on_write(&mut self, outcome: WriteOutcome) -> ClaimStep {
        match (self.stage, outcome) {
            (Stage::Claiming, WriteOutcome::Written(version)) => {
                self.stage = Stage::Owned(version);
                ClaimStep::Run
            }
            (Stage::Settling, WriteOutcome::Written(_)) => self.finish(),
            (Stage::Claiming | Stage::Settling, _) => self.read_again(),
            (Stage::Owned(_) | Stage::Ended, _) => ClaimStep::Finished,
        }
    }

    /// Takes the record that was read; `None` when there is none. `is_live` tells whether a process is
    /// live as far as this node knows.
    pub fn on_read<F>(&mut self, stored: Option<&Stored<ClaimRecord>>, is_live: F) -> ClaimStep
    where
        F: Fn(&ProcessId) -> bool,
    {
        match self.stage {
            Stage::Claiming => self.on_claiming_read(stored, is_live),
            Stage::Settling => match (stored, self.outcome.clone()) {
                (Some(stored), Some(outcome))
                    if self.is_mine(&stored.record)
                        && ClaimState::of(&stored.record) == ClaimState::Started =>
                {
                    ClaimStep::Write {
                        if_version: stored.version,
                        record: outcome,
                    }
                }
                _ => self.finish(),
            },
            Stage::Owned(_) | Stage::Ended => ClaimStep::Finished,
        }
    }

    /// Notes that a read failed.
    pub fn on_read_failed(&mut self) -> ClaimStep {
        self.read_again()
    }

    /// Stores how the attempt ended. `answer` is given for [`AttemptOutcome::Answered`].
    ///
    /// An unknown outcome changes nothing: the claim stays `started`.
    pub fn on_outcome(
        &mut self,
        outcome: AttemptOutcome,
        answer: Option<StoredAnswer>,
    ) -> ClaimStep {
        let Stage::Owned(version) = self.stage else {
            return ClaimStep::Finished;
        };
        let mut record = self.record(match outcome {
            AttemptOutcome::Answered => ClaimState::Done,
            AttemptOutcome::NotRun(_) => ClaimState::NotRun,
            AttemptOutcome::Unknown(_) => return self.finish(),
        });
        if let Some(answer) = answer {
            record.status = answer.status;
            record.content_type = answer.content_type;
            record.body = answer
                .body
                .filter(|body| body.len() <= MAX_STORED_BODY_BYTES);
        }
        self.stage = Stage::Settling;
        self.reads = 0;
        self.outcome = Some(record.clone());
        ClaimStep::Write {
            if_version: version,
            record,
        }
    }

    fn on_claiming_read<F>(&mut self, stored: Option<&Stored<ClaimRecord>>, is_live: F) -> ClaimStep
    where
        F: Fn(&ProcessId) -> bool,
    {
        let Some(stored) = stored else {
            return self.write_started(0);
        };
        let record = &stored.record;
        if self.is_mine(record) {
            self.stage = Stage::Owned(stored.version);
            return ClaimStep::Run;
        }
        if record.request_sha256 != self.request_sha256 {
            return self.refuse(ClaimRefusal::KeyReused);
        }
        match ClaimState::of(record) {
            ClaimState::NotRun => self.write_started(stored.version),
            ClaimState::Done => self.refuse(ClaimRefusal::Answered(StoredAnswer {
                status: record.status,
                content_type: record.content_type.clone(),
                body: record.body.clone(),
            })),
            ClaimState::Started => {
                let runs = record.process.as_ref().is_some_and(is_live);
                self.refuse(if runs {
                    ClaimRefusal::InProgress
                } else {
                    ClaimRefusal::Unknown
                })
            }
        }
    }

    /// Reads once more, or gives up: before the claim is owned nothing has run, afterwards the record
    /// stays `started`.
    fn read_again(&mut self) -> ClaimStep {
        if self.reads == MAX_SETTLING_READS {
            return match self.stage {
                Stage::Claiming => self.refuse(ClaimRefusal::NotRun),
                _ => self.finish(),
            };
        }
        self.reads += 1;
        ClaimStep::Read
    }

    fn refuse(&mut self, refused: ClaimRefusal) -> ClaimStep {
        self.stage = Stage::Ended;
        ClaimStep::Refuse(refused)
    }

    fn finish(&mut self) -> ClaimStep {
        self.stage = Stage::Ended;
        ClaimStep::Finished
    }

    fn is_mine(&self, record: &ClaimRecord) -> bool {
        record.attempt_id == self.attempt_id && record.process.as_ref() == Some(&self.process)
    }

    fn write_started(&self, if_version: u64) -> ClaimStep {
        ClaimStep::Write {
            if_version,
            record: self.record(ClaimState::Started),
        }
    }

    fn record(&self, state: ClaimState) -> ClaimRecord {
        ClaimRecord {
            attempt_id: self.attempt_id.clone(),
            process: Some(self.process.clone()),
            state: state.as_str().to_owned(),
            request_sha256: self.request_sha256.clone(),
            ..ClaimRecord::default()
        }
    }
}

/// Key of a claim in the key-value service.
///
/// The customer is part of the hash, so that customers cannot see each other's keys.
pub fn claim_key(service: &str, customer: &str, idempotency_key: &str) -> String {
    format!(
        "claims/{service}/{}",
        sha256_hex(&[customer.as_bytes(), idempotency_key.as_bytes()])
    )
}

/// Hash that tells whether a key is reused for another request.
pub fn request_sha256(method: &str, path: &str, body: &[u8]) -> String {
    sha256_hex(&[method.as_bytes(), path.as_bytes(), body])
}

/// Hash of several parts, each preceded by its length so that parts cannot run into each other.
fn sha256_hex(parts: &[&[u8]]) -> String {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher
        .finalize()
        .iter()
        .fold(String::new(), |mut digits, byte| {
            write!(digits, "{byte:02x}").expect("writing to a string does not fail");
            digits
        })
}
