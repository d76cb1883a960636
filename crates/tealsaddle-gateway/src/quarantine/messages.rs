//! Messages between nodes about crashes and quarantined parts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tealsaddle_core::fleet::quarantine::list::Record;
use tealsaddle_core::fleet::quarantine::subject::{RequestDigest, Subject, SubjectKey};
use tealsaddle_core::name::Name;
use tealsaddle_schema::fleet::{ClockReply, CrashReport, Survival};
use tealsaddle_schema::fleet::{QuarantineNotice, QuarantineRecord, SurvivalQuery, SurvivalReply};

use crate::clock;
use crate::gateway::Gateway;
use crate::peer_message::{self, Connection, parse, respond, text_of};
use crate::quarantine::collector;
use crate::quarantine::keeper::Command;
use crate::upstream::Upstreams;

/// Path of a [`CrashReport`].
pub const CRASH_PATH: &str = "/crashes";
/// Path of the question for the time, whose answer is a [`ClockReply`].
pub const CLOCK_PATH: &str = "/clock";
/// Path of a [`SurvivalQuery`].
pub const SURVIVAL_PATH: &str = "/survivals";
/// Path of a [`QuarantineNotice`].
pub const NOTICE_PATH: &str = "/quarantine";

/// Sends a message to a peer and parses its answer; `None` if the peer does not answer in time.
pub async fn call<M, A>(
    upstreams: &Arc<Upstreams>,
    peer: SocketAddr,
    path: &str,
    message: &M,
    limit: Duration,
) -> Option<A>
where
    M: Serialize,
    A: DeserializeOwned,
{
    let sent = peer_message::send(upstreams, peer, path, message, limit, Connection::Close);
    sent.await.ok()
}

/// Answers a message of a peer.
pub fn answer(gateway: &Arc<Gateway>, path: &str, body: &[u8]) -> (StatusCode, String) {
    let answered = match path {
        CRASH_PATH => parse(body).map(|report: CrashReport| {
            collector::on_report(gateway, &report);
            "{}".to_owned()
        }),
        CLOCK_PATH => Ok(text_of(&ClockReply {
            now_us: clock::now_us(),
        })),
        SURVIVAL_PATH => parse(body).map(|query| text_of(&survivals(gateway, &query))),
        NOTICE_PATH => parse(body).map(|notice| {
            gateway.quarantine.send(Command::Told(notice));
            "{}".to_owned()
        }),
        _ => return (StatusCode::NOT_FOUND, String::new()),
    };
    respond(path, answered)
}

/// The question for the survivals of subjects at a service.
pub fn survival_query(service: &Name, subjects: &[Subject]) -> SurvivalQuery {
    let mut query = SurvivalQuery {
        service: service.to_string(),
        ..SurvivalQuery::default()
    };
    for subject in subjects {
        match subject {
            Subject::Part(id) => query.parts.push(*id),
            Subject::Request(digest) => query.requests.push(digest.to_string()),
        }
    }
    query
}

/// When the parts and requests of a query last survived at this node.
pub fn survivals(gateway: &Gateway, query: &SurvivalQuery) -> SurvivalReply {
    let service = Name::from(query.service.as_str());
    let now_us = clock::now_us();
    let parts = query.parts.iter().map(|part| Subject::Part(*part));
    let digests = query.requests.iter();
    let digests = digests.filter_map(|text| RequestDigest::parse(text).map(Subject::Request));
    let survived = |subject: Subject| {
        let at_us = gateway
            .quarantine
            .survived_us(&SubjectKey::new(&service, subject))?;
        let (part, request) = encode_subject(subject);
        Some(Survival {
            part,
            request,
            age_ms: now_us.saturating_sub(at_us) / 1_000,
        })
    };
    SurvivalReply {
        survivals: parts.chain(digests).filter_map(survived).collect(),
    }
}

/// The id of a part, or the digest of a request, as messages and records have them.
fn encode_subject(subject: Subject) -> (u64, String) {
    match subject {
        Subject::Part(id) => (id, String::new()),
        Subject::Request(digest) => (0, digest.to_string()),
    }
}

/// The part or request that a message or record names; `None` if the digest cannot be read.
pub fn decode_subject(part: u64, request: &str) -> Option<Subject> {
    if request.is_empty() {
        return Some(Subject::Part(part));
    }
    RequestDigest::parse(request).map(Subject::Request)
}

/// Converts a record to the form in which it is stored and sent.
pub fn encode_record(record: &Record) -> QuarantineRecord {
    let (part, request) = encode_subject(record.key.subject);
    QuarantineRecord {
        service: record.key.service.to_string(),
        part,
        request,
        decision: record.decision.to_string(),
        losses: record.losses,
        trials: record.trials,
        first_loss_age_ms: record.first_loss_age_us / 1_000,
        decided_at_unix_ms: record.decided_at_unix_ms,
    }
}

/// Converts a record from the form in which it is stored and sent; `None` if a name is missing, or the
/// digest of a request cannot be read.
pub fn decode_record(record: &QuarantineRecord) -> Option<Record> {
    if record.service.is_empty() || record.decision.is_empty() {
        return None;
    }
    let subject = decode_subject(record.part, &record.request)?;
    Some(Record {
        key: SubjectKey::new(&Name::from(record.service.as_str()), subject),
        decision: Name::from(record.decision.as_str()),
        losses: record.losses,
        trials: record.trials,
        first_loss_age_us: record.first_loss_age_ms.saturating_mul(1_000),
        decided_at_unix_ms: record.decided_at_unix_ms,
    })
}

/// A notice of one record.
pub fn quarantined(record: &Record) -> QuarantineNotice {
    QuarantineNotice {
        quarantined: vec![encode_record(record)],
        released: Vec::new(),
    }
}

/// A notice of one released decision.
pub fn released(decision: &Name) -> QuarantineNotice {
    QuarantineNotice {
        quarantined: Vec::new(),
        released: vec![decision.to_string()],
    }
}
