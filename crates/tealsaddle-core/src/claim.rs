//! At-most-once claims for calls that must not be repeated.
//!
//! The claim record is created by compare-and-swap before the first byte of the call is sent, so at
//! most one attempt per key may run across all nodes and zones. The state that an attempt stores
//! determines the result of later calls with the same key: a stored answer is returned again, a
//! claim whose call certainly did not run may be claimed by a new attempt, and a claim whose
//! outcome is unknown stays `started` until the record's lease expires.
//!
//! [`ClaimAttempt`] is the state machine of one attempt. It never assumes the outcome of a write:
//! if the response to a write is lost, the attempt reads the record and compares the attempt id. A
//! write whose response was lost may also take effect later. An attempt that ends before it owns
//! the claim has therefore not run the call, whatever the record says afterwards.

use std::fmt::Write as _;

use sha2::{Digest, Sha256};
use tealsaddle_schema::record::{ClaimRecord, ProcessId};

use crate::authority::{Stored, WriteOutcome};
use crate::retry::AttemptOutcome;

/// Largest response body that is stored in a claim.
pub const MAX_STORED_BODY_BYTES: usize = 64 * 1024;
/// Duration of the lease of a claim record, after which the key may be used again.
pub const CLAIM_TTL_MS: u64 = 24 * 60 * 60 * 1_000;
/// Maximum number of reads while claiming, and again while storing the outcome, before the attempt
/// ends.
const MAX_READS: u32 = 3;

/// State of a stored claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ClaimState {
    /// An attempt owns the claim, and the call may be running or may have run.
    Started,
    /// The call was answered.
    Done,
    /// The call certainly did not run.
    NotRun,
}

impl ClaimState {
    /// Returns the text in the record.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Done => "done",
            Self::NotRun => "not_run",
        }
    }

    /// Returns the state of a record. An unknown text is read as `Started`, since that state never
    /// permits another run.
    pub fn of(record: &ClaimRecord) -> Self {
        match record.state.as_str() {
            "done" => Self::Done,
            "not_run" => Self::NotRun,
            _ => Self::Started,
        }
    }
}

/// Response that is stored in a claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u32,
    /// Value of the `Content-Type` header.
    pub content_type: String,
    /// Response body; `None` if it was larger than [`MAX_STORED_BODY_BYTES`].
    pub body: Option<Vec<u8>>,
}

/// Reason why a call with an idempotency key is not run.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ClaimRefusal {
    /// The call was answered before; return this response again.
    Answered(StoredAnswer),
    /// Another attempt owns the claim, and this node considers its process live.
    InProgress,
    /// Another attempt owns the claim, and this node does not consider its process live. Whether
    /// the call ran is unknown.
    Unknown,
    /// The key was used for a different request.
    KeyReused,
    /// The claim could not be confirmed, and this attempt has not run the call.
    NotRun,
}

/// Next step of an attempt, which the caller performs.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ClaimStep {
    /// Read the record.
    Read,
    /// Write the record by compare-and-swap, with a lease of [`CLAIM_TTL_MS`].
    Write {
        /// Expected version; 0 means that the record must not exist.
        if_version: u64,
        /// Record to write.
        record: ClaimRecord,
    },
    /// The attempt owns the claim: run the call once.
    Run,
    /// Do not run the call.
    Refuse(ClaimRefusal),
    /// The attempt is over; nothing is left to write or read.
    Finished,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Stage {
    /// The attempt does not own the claim yet.
    Claiming,
    /// The claim was written with this version, and the call may run.
    Owned(u64),
    /// The outcome is being stored.
    Settling,
    /// No step is left.
    Ended,
}

/// One attempt at a call with an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimAttempt {
    attempt_id: String,
    process: ProcessId,
    request_sha256: String,
    stage: Stage,
    /// Record that stores the outcome of the call, once that is known.
    outcome: Option<ClaimRecord>,
    /// Number of reads while claiming or, after the call, while storing the outcome.
    reads: u32,
}

impl ClaimAttempt {
    /// Starts an attempt. The first step writes the claim on the assumption that no record exists.
    ///
    /// `attempt_id` must be unique among all attempts; `request_sha256` comes from
    /// [`request_sha256`].
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

    /// Handles the outcome of a write and returns the next step.
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

    /// Handles a record that was read and returns the next step. `stored` is `None` if no record
    /// exists; `is_live` returns whether this node considers a process live.
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

    /// Handles a failed read and returns the next step.
    pub fn on_read_failed(&mut self) -> ClaimStep {
        self.read_again()
    }

    /// Handles the outcome of the call and returns the step that stores it. `answer` is set for
    /// [`AttemptOutcome::Answered`].
    ///
    /// An unknown outcome is not stored: the claim stays `started`.
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
                let is_running = record.process.as_ref().is_some_and(is_live);
                self.refuse(if is_running {
                    ClaimRefusal::InProgress
                } else {
                    ClaimRefusal::Unknown
                })
            }
        }
    }

    /// Returns a step to read the record, or ends the attempt after [`MAX_READS`] reads.
    ///
    /// An attempt that ends before it owns the claim has not run the call. An attempt that ends
    /// while it stores the outcome may leave the record `started`.
    fn read_again(&mut self) -> ClaimStep {
        if self.reads == MAX_READS {
            return match self.stage {
                Stage::Claiming => self.refuse(ClaimRefusal::NotRun),
                _ => self.finish(),
            };
        }
        self.reads += 1;
        ClaimStep::Read
    }

    fn refuse(&mut self, refusal: ClaimRefusal) -> ClaimStep {
        self.stage = Stage::Ended;
        ClaimStep::Refuse(refusal)
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

/// Returns the key of a claim in the key-value service.
///
/// The hash includes the customer, so that customers cannot see or reuse each other's keys.
pub fn claim_key(service: &str, customer: &str, idempotency_key: &str) -> String {
    format!(
        "claims/{service}/{}",
        sha256_hex(&[customer.as_bytes(), idempotency_key.as_bytes()])
    )
}

/// Returns the hash by which the reuse of a key for a different request is detected.
pub fn request_sha256(method: &str, path: &str, body: &[u8]) -> String {
    sha256_hex(&[method.as_bytes(), path.as_bytes(), body])
}

/// Returns the hash of several parts. Each part is preceded by its length, so that different splits
/// of the same bytes have different hashes.
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
