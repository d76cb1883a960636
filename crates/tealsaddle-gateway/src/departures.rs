//! Messages in which nodes tell each other whether runners have left.
//!
//! A node that finds a registration missing after a time in which it has heard nothing cannot know whether the runner has
//! left or its registration has lapsed while the store was away. It keeps the runner and asks other nodes at once: those
//! that have heard of the removal in time know, and each tells when the store has answered it.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hyper::StatusCode;
use rand::seq::IndexedRandom;
use tealsaddle_core::fleet::change_sources::Member;
use tealsaddle_core::fleet::store_words::StoreWord;
use tealsaddle_schema::fleet::{
    DepartureQuestion, DepartureReply, MissingRegistration, StoreAnswerAge,
};

use crate::clock;
use crate::control::Control;
use crate::fleet_state::FleetState;
use crate::peer_message::{self, Connection};
use crate::upstream::Upstreams;

/// Path of a [`DepartureQuestion`].
pub const DEPARTURES_PATH: &str = "/departures";
/// Number of nodes that are asked at a time.
const ASKED_NODES: usize = 6;
/// Pauses before nodes are asked. All times lie within that for which a runner is kept.
const ASK_PAUSES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(250),
    Duration::from_millis(500),
];
/// Time for their answers.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Asks nodes about the runners that this node keeps although their registrations are missing, until it keeps none or
/// has asked often enough. Those that are asked first may hear of the removal only then.
pub async fn settle(control: &Arc<Control>) {
    let upstreams = Upstreams::open();
    for pause in ASK_PAUSES {
        tokio::time::sleep(pause).await;
        ask_some(control, &upstreams).await;
        if !control.fleet().has_lapsed_registrations() {
            return;
        }
    }
}

/// Asks some nodes, and takes over what each replies.
async fn ask_some(control: &Arc<Control>, upstreams: &Arc<Upstreams>) {
    let (question, nodes) = {
        let fleet = control.fleet();
        let nodes = fleet.members.sample(&mut rand::rng(), ASKED_NODES);
        let nodes: Vec<Member> = nodes.cloned().collect();
        (question(&fleet, clock::now_us()), nodes)
    };
    let asked_us = clock::now_us();
    let questions = nodes.iter().map(|node| ask(upstreams, node, &question));
    let mut replies: FuturesUnordered<_> = questions.collect();
    while let Some(reply) = replies.next().await {
        let Some(reply) = reply else {
            continue;
        };
        if take(&mut control.fleet(), &reply, asked_us) {
            control.publish();
        }
        if !control.fleet().has_lapsed_registrations() {
            return;
        }
    }
}

async fn ask(
    upstreams: &Arc<Upstreams>,
    node: &Member,
    question: &DepartureQuestion,
) -> Option<DepartureReply> {
    peer_message::send(
        upstreams,
        node.address,
        DEPARTURES_PATH,
        question,
        ANSWER_TIMEOUT,
        Connection::Close,
    )
    .await
    .ok()
}

/// The question about the runners that are kept.
pub fn question(fleet: &FleetState, now_us: u64) -> DepartureQuestion {
    let missing = fleet.lapsed().map(|(key, revision)| MissingRegistration {
        key: key.to_owned(),
        revision,
    });
    let silent_since_us = fleet.store_words.silent_since_us().unwrap_or(now_us);
    DepartureQuestion {
        missing: missing.collect(),
        era: fleet.era(),
        silent_age_us: now_us.saturating_sub(silent_since_us),
    }
}

/// Takes over what a node has replied to a question that was sent at `asked_us`; returns whether runners were dropped.
pub fn take(fleet: &mut FleetState, reply: &DepartureReply, asked_us: u64) -> bool {
    let now_us = clock::now_us();
    for answer in &reply.answers {
        fleet.store_words.on_word(StoreWord {
            from_us: asked_us.saturating_sub(answer.from_age_us),
            to_us: now_us.saturating_sub(answer.to_age_us),
        });
    }
    fleet.on_told_left(&reply.left) + fleet.settle(now_us) > 0
}

/// The reply to a question.
pub fn reply(fleet: &FleetState, question: &DepartureQuestion, now_us: u64) -> DepartureReply {
    let is_same_era = fleet.era() == question.era;
    let missing = question.missing.iter().filter(|_missing| is_same_era);
    let left = missing.filter(|missing| fleet.has_left(&missing.key, missing.revision));
    let since_us = now_us.saturating_sub(question.silent_age_us);
    let age = |word: StoreWord| StoreAnswerAge {
        from_age_us: now_us.saturating_sub(word.from_us),
        to_age_us: now_us.saturating_sub(word.to_us),
    };
    DepartureReply {
        left: left.map(|missing| missing.key.clone()).collect(),
        answers: fleet.store_words.since(since_us).map(age).collect(),
    }
}

/// Answers a peer's question, in the form of [`DepartureReply`].
pub fn answer(control: &Control, body: &[u8]) -> (StatusCode, String) {
    let question = peer_message::parse(body);
    let reply = question.map(|question| {
        peer_message::text_of(&reply(&control.fleet(), &question, clock::now_us()))
    });
    peer_message::respond(DEPARTURES_PATH, reply)
}
