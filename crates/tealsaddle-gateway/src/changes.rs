//! Messages in which nodes tell each other of changes in the store.
//!
//! A question is held back until there is something to tell: changes, or a later time as of which nothing has changed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use tealsaddle_schema::fleet::{ChangesQuestion, ChangesReply, StoredChange};

use crate::change_log::{Position, value_bytes};
use crate::clock;
use crate::control::Control;
use crate::external::{Change, Item};
use crate::fleet_state::FleetState;
use crate::peer_message::{self, Connection};
use crate::upstream::Upstreams;

/// Path of a [`ChangesQuestion`].
pub const CHANGES_PATH: &str = "/changes";
/// Largest size of the values in one answer. Further changes follow in the next one.
const MAX_VALUE_BYTES: usize = 16 << 10;
/// The same of an answer with the changes of one revision alone, such as a long configuration. A node that lacks a larger value
/// reads it from the store: sixteen nodes may ask this one at the same time, through a link of 10 Mbit/s.
const MAX_LONE_VALUE_BYTES: usize = 64 << 10;

/// Asks a peer for the changes after a position; `None` if it does not answer in time.
pub async fn ask(
    upstreams: &Arc<Upstreams>,
    peer: SocketAddr,
    question: &ChangesQuestion,
    limit: Duration,
) -> Option<ChangesReply> {
    peer_message::send(
        upstreams,
        peer,
        CHANGES_PATH,
        question,
        limit,
        Connection::Keep,
    )
    .await
    .ok()
}

/// The question for the changes after a position.
pub fn question(position: Position, seen_as_of_us: u64, wait: Duration) -> ChangesQuestion {
    ChangesQuestion {
        after_revision: position.revision,
        era: position.era,
        seen_as_of_us,
        wait_us: wait.as_micros() as u64,
    }
}

/// The changes in an answer.
pub fn decode(changes: Vec<StoredChange>) -> Vec<Change> {
    let decode = |change: StoredChange| {
        if change.is_removed {
            return Change::Removed {
                key: change.key,
                revision: change.revision,
                has_left: change.has_left,
            };
        }
        Change::Put(Item {
            key: change.key,
            value: change.value.into_bytes(),
            revision: change.revision,
        })
    };
    changes.into_iter().map(decode).collect()
}

/// Answers a peer's question, in the form of [`ChangesReply`].
pub async fn answer(control: &Control, body: &[u8]) -> (StatusCode, String) {
    let question: ChangesQuestion = match peer_message::parse(body) {
        Ok(question) => question,
        Err(error) => return peer_message::respond(CHANGES_PATH, Err(error)),
    };
    let asked_us = clock::now_us();
    let mut heard = control.heard.subscribe();
    let longest = control.gateway.knowledge.terms().source_timeout_us;
    let wait = Duration::from_micros(question.wait_us.min(longest));
    let has_update = heard.wait_for(|()| has_update(control, &question));
    // What is known at the end of the wait is told all the same.
    drop(tokio::time::timeout(wait, has_update).await);
    let reply = reply(control, &question, asked_us);
    (StatusCode::OK, peer_message::text_of(&reply))
}

fn has_update(control: &Control, question: &ChangesQuestion) -> bool {
    if control.gateway.knowledge.as_of_us() != question.seen_as_of_us {
        return true;
    }
    let position = control.fleet().changes.position();
    position.is_none_or(|own| own.era != question.era || own.revision > question.after_revision)
}

const fn position_of(question: &ChangesQuestion) -> Position {
    Position {
        revision: question.after_revision,
        era: question.era,
    }
}

fn reply(control: &Control, question: &ChangesQuestion, asked_us: u64) -> ChangesReply {
    // The time is read before the changes: it may be earlier than what they show, but not later.
    let as_of_us = control.gateway.knowledge.as_of_us();
    let fleet = control.fleet();
    let since = fleet.changes.since(position_of(question));
    let told = since.and_then(|changes| ToldChanges::first_of(changes, &fleet));
    let position = fleet.changes.position();
    let own_revision = position.map_or(0, |position| position.revision);
    let now_us = clock::now_us();
    let is_gap = told.is_none();
    let ToldChanges {
        changes,
        cut_at_revision,
    } = told.unwrap_or_default();
    let has_more = cut_at_revision.is_some();
    ChangesReply {
        revision: cut_at_revision.unwrap_or(own_revision),
        is_gap,
        changes,
        as_of_us,
        age_us: if has_more {
            u64::MAX
        } else {
            now_us.saturating_sub(as_of_us)
        },
        held_us: now_us.saturating_sub(asked_us),
        has_more,
    }
}

/// The changes of an answer: all after the position of the question, or the first ones.
#[derive(Debug, Default)]
struct ToldChanges {
    changes: Vec<StoredChange>,
    /// Revision of the last one if later ones do not fit into the answer.
    cut_at_revision: Option<u64>,
}

impl ToldChanges {
    /// The first of the changes, as many as fit into an answer; `None` if none does, or a value is not text.
    fn first_of<'a, I>(changes: I, fleet: &FleetState) -> Option<Self>
    where
        I: Iterator<Item = &'a Change>,
    {
        let all: Vec<&Change> = changes.collect();
        let (fitting, left) = all.split_at(fitting(&all));
        let cut_at_revision = match (fitting.last(), left) {
            (_, []) => None,
            (None, _) => return None,
            (Some(last), _) => Some(last.revision()),
        };
        let changes = fitting.iter().map(|change| encode(change, fleet));
        Some(Self {
            changes: changes.collect::<Option<_>>()?,
            cut_at_revision,
        })
    }
}

/// Number of the changes that fit into an answer. Those of a revision stay together.
pub fn fitting(changes: &[&Change]) -> usize {
    let mut bytes = 0;
    let mut count = 0;
    for of_revision in changes.chunk_by(|a, b| a.revision() == b.revision()) {
        bytes += of_revision.iter().copied().map(value_bytes).sum::<usize>();
        let limit = if count == 0 {
            MAX_LONE_VALUE_BYTES
        } else {
            MAX_VALUE_BYTES
        };
        if bytes > limit {
            break;
        }
        count += of_revision.len();
    }
    count
}

/// A change as it is sent; `None` if its value is not text. Why a registration was removed is told as it is known by now.
fn encode(change: &Change, fleet: &FleetState) -> Option<StoredChange> {
    match change {
        Change::Removed {
            key,
            revision,
            has_left,
        } => Some(StoredChange {
            key: key.clone(),
            revision: *revision,
            is_removed: true,
            value: String::new(),
            has_left: *has_left || fleet.has_left(key, revision.saturating_sub(1)),
        }),
        Change::Put(item) => Some(StoredChange {
            key: item.key.clone(),
            revision: item.revision,
            is_removed: false,
            value: std::str::from_utf8(&item.value).ok()?.to_owned(),
            has_left: false,
        }),
    }
}
