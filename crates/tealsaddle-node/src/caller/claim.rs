//! Claims of keyed calls in the platform's key-value service.
//!
//! A keyed call carries an `Idempotency-Key` header and runs at most once. `tealsaddle_core::claim`
//! decides each step of the claim protocol; this module reads and writes the records, and builds the
//! responses to calls that are not run.

use std::sync::Arc;
use std::time::Duration;

use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::{Response, StatusCode};
use tealsaddle_core::authority::{Stored, WriteOutcome};
use tealsaddle_core::claim::{
    CLAIM_TTL_MS, ClaimAttempt, ClaimRefusal, ClaimStep, StoredAnswer, claim_key, request_sha256,
};
use tealsaddle_core::decision::{Decision, DecisionKind};
use tealsaddle_core::retry::AttemptOutcome;
use tealsaddle_schema::record::{ClaimRecord, ProcessId};
use tokio::sync::Mutex;
use uuid::Uuid;

use super::dispatch::RequestContext;
use super::response::{Body, OUTCOME, Refusal, full};
use crate::clock;
use crate::platform::{KeyValue, PlatformError, PutOutcome};
use crate::traffic::{Snapshot, Traffic};

/// Header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 128;

/// Time for which one lease is used for new claims, in microseconds. A claim record therefore exists
/// for at least the lifetime of the lease less this hour.
const LEASE_REUSE_US: u64 = 3_600 * 1_000_000;

/// Platform lease shared by the claims that this node writes.
#[derive(Debug, Default)]
pub struct ClaimLease {
    current: Mutex<Option<(String, u64)>>,
}

impl ClaimLease {
    async fn get(&self, key_value: &dyn KeyValue) -> Result<String, PlatformError> {
        // Locked during the platform call, so that concurrent claims share one new lease.
        let mut current = self.current.lock().await;
        let now_us = clock::now_us();
        if let Some((lease, granted_us)) = &*current
            && now_us.saturating_sub(*granted_us) < LEASE_REUSE_US
        {
            return Ok(lease.clone());
        }
        let lease = key_value
            .grant_lease(Duration::from_millis(CLAIM_TTL_MS))
            .await?;
        *current = Some((lease.clone(), now_us));
        Ok(lease)
    }

    /// Discards a lease that the platform may have lost, so that the next claim requests a new one.
    async fn forget(&self, lease: &str) {
        let mut current = self.current.lock().await;
        if current.as_ref().is_some_and(|(known, _)| known == lease) {
            *current = None;
        }
    }
}

/// Returns the caller's idempotency key, or `None` without the header. The key must be visible ASCII.
pub fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let mut values = headers.get_all(IDEMPOTENCY_KEY).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let bytes = value.as_bytes();
    let is_valid = (1..=MAX_KEY_BYTES).contains(&bytes.len())
        && bytes.iter().all(u8::is_ascii_graphic)
        && values.next().is_none();
    if !is_valid {
        let rule = "must be given once, with 1 to 128 visible ASCII characters";
        return Err(Refusal::invalid("Idempotency-Key", rule));
    }
    Ok(Some(String::from_utf8_lossy(bytes).into_owned()))
}

/// Identity of a keyed call.
#[derive(Debug)]
pub struct KeyedCall<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// The caller's idempotency key.
    pub key: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path below the service, with the query.
    pub path: &'a str,
    /// The whole request body.
    pub body: &'a [u8],
}

/// A claim owned by this process, which may run the call once.
#[derive(Debug)]
pub struct Claim {
    traffic: Arc<Traffic>,
    key: String,
    request_id: String,
    attempt: ClaimAttempt,
}

/// Result for a call that must not run.
#[derive(Debug)]
pub enum NotClaimed {
    /// The call was answered before; this is the stored response.
    Answered(Box<Response<Body>>),
    /// The call is refused.
    Refused(Refusal),
}

impl Claim {
    /// Claims the call. No byte of the call may be sent to a target before.
    pub async fn acquire(
        traffic: &Arc<Traffic>,
        context: &RequestContext,
        call: &KeyedCall<'_>,
    ) -> Result<Self, NotClaimed> {
        let customer = context
            .customer
            .as_ref()
            .map_or("", |customer| &customer.name);
        let (attempt, first_step) = ClaimAttempt::begin(
            Uuid::new_v4().to_string(),
            traffic.process.clone(),
            request_sha256(call.method, call.path, call.body),
        );
        let mut claim = Self {
            traffic: Arc::clone(traffic),
            key: claim_key(call.service, customer, call.key),
            request_id: context.request_id.clone(),
            attempt,
        };
        let refused = match claim.run_steps(first_step).await {
            ClaimStep::Run => {
                claim.record("claimed");
                return Ok(claim);
            }
            ClaimStep::Refuse(refused) => refused,
            _ => ClaimRefusal::NotRun,
        };
        claim.record(refusal_reason(&refused));
        Err(not_claimed(refused))
    }

    /// Stores the outcome of the call in the claim record.
    pub async fn store_outcome(mut self, outcome: AttemptOutcome, answer: Option<StoredAnswer>) {
        let step = self.attempt.on_outcome(outcome, answer);
        self.run_steps(step).await;
        self.record(match outcome {
            AttemptOutcome::Answered => "done",
            AttemptOutcome::NotRun(_) => "not_run",
            AttemptOutcome::Unknown(_) => "left_started",
        });
    }

    /// Executes reads and writes until the protocol reaches a final step, which is returned.
    async fn run_steps(&mut self, first_step: ClaimStep) -> ClaimStep {
        let mut step = first_step;
        loop {
            step = match step {
                ClaimStep::Read => self.read().await,
                ClaimStep::Write { if_version, record } => {
                    let outcome = self.write(if_version, &record).await;
                    self.attempt.on_write(outcome)
                }
                final_step => return final_step,
            };
        }
    }

    async fn read(&mut self) -> ClaimStep {
        let Ok(entry) = self.traffic.key_value.get(&self.key).await else {
            self.traffic.counters.increment("claim.read_failed");
            return self.attempt.on_read_failed();
        };
        let stored = match entry {
            None => None,
            Some(entry) => match serde_json::from_value(entry.value) {
                Ok(record) => Some(Stored {
                    version: entry.version,
                    record,
                }),
                Err(_invalid) => {
                    self.traffic.counters.increment("claim.invalid_record");
                    return self.attempt.on_read_failed();
                }
            },
        };
        let snapshot = self.traffic.snapshot.load_full();
        let own = &self.traffic.process;
        self.attempt
            .on_read(stored.as_ref(), |process| is_live(process, own, &snapshot))
    }

    async fn write(&self, if_version: u64, record: &ClaimRecord) -> WriteOutcome {
        let key_value = &*self.traffic.key_value;
        let lease = match self.traffic.claim_lease.get(key_value).await {
            Ok(lease) => lease,
            Err(_unavailable) => {
                self.traffic.counters.increment("claim.no_lease");
                return WriteOutcome::Unknown;
            }
        };
        let value = serde_json::to_value(record).expect("a record is JSON");
        match key_value
            .put(&self.key, &value, if_version, Some(&lease))
            .await
        {
            Ok(PutOutcome::Written(version)) => WriteOutcome::Written(version),
            Ok(PutOutcome::Conflict(_)) => WriteOutcome::Conflict,
            Err(error) => {
                self.traffic.counters.increment("claim.write_failed");
                if matches!(error, PlatformError::Protocol(_)) {
                    self.traffic.claim_lease.forget(&lease).await;
                }
                WriteOutcome::Unknown
            }
        }
    }

    fn record(&self, choice: &str) {
        self.traffic.counters.increment(&format!("claim.{choice}"));
        self.traffic.record(Decision {
            at_us: clock::now_us(),
            kind: DecisionKind::Claim,
            subject: self.request_id.clone(),
            choice: choice.to_owned(),
            reason: "state of the claim record".to_owned(),
            inputs: vec![("key".to_owned(), self.key.clone())],
            alternatives: Vec::new(),
        });
    }
}

/// Whether a process is live according to the snapshot. Peers are matched by VM alone; mistaking a
/// newer process on the VM for the one that made the claim only changes the reason in the refusal.
fn is_live(process: &ProcessId, own: &ProcessId, snapshot: &Snapshot) -> bool {
    if process.vm == own.vm {
        return process.incarnation == own.incarnation;
    }
    snapshot.peers.iter().any(|peer| *peer.vm == process.vm)
}

const fn refusal_reason(refused: &ClaimRefusal) -> &'static str {
    match refused {
        ClaimRefusal::Answered(_) => "answered_before",
        ClaimRefusal::InProgress => "in_progress",
        ClaimRefusal::Unknown => "outcome_unknown",
        ClaimRefusal::KeyReused => "key_reused",
        ClaimRefusal::NotRun => "claim_unavailable",
    }
}

fn not_claimed(refused: ClaimRefusal) -> NotClaimed {
    let reason = refusal_reason(&refused);
    let conflict = StatusCode::CONFLICT;
    NotClaimed::Refused(match refused {
        ClaimRefusal::Answered(answer) => return NotClaimed::Answered(Box::new(replay(answer))),
        ClaimRefusal::InProgress => Refusal {
            retry_after_s: Some(1),
            ..Refusal::unknown(conflict, reason, "a call with this key is in progress")
        },
        ClaimRefusal::Unknown => Refusal::unknown(
            conflict,
            reason,
            "a call with this key may have run, and its answer is lost",
        ),
        ClaimRefusal::KeyReused => Refusal::not_run(
            conflict,
            reason,
            "the key was used for another request; use a new key",
        ),
        ClaimRefusal::NotRun => Refusal::unavailable(
            reason,
            "the platform did not confirm the claim of the call; it was not run",
        ),
    })
}

fn replay(answer: StoredAnswer) -> Response<Body> {
    let has_body = answer.body.is_some();
    let mut response = Response::new(full(answer.body.unwrap_or_default()));
    let status = u16::try_from(answer.status).ok();
    *response.status_mut() = status
        .and_then(|status| StatusCode::from_u16(status).ok())
        .unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    if let Ok(content_type) = HeaderValue::from_str(&answer.content_type)
        && !answer.content_type.is_empty()
    {
        headers.insert(CONTENT_TYPE, content_type);
    }
    if !has_body {
        headers.insert(OUTCOME, HeaderValue::from_static("answered-before"));
    }
    response
}
