//! Messages in which nodes tell and ask each other which versions began streams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hyper::StatusCode;
use tealsaddle_core::fleet::continuation::{
    ASKED, Answers, Continuation, Coverage, HOLDERS, QUORUM, VersionHistory, Word,
};
use tealsaddle_core::fleet::rendezvous::sort_nodes;
use tealsaddle_core::name::Name;
use tealsaddle_schema::fleet::{
    StreamVersion, StreamVersionQuestion, StreamVersionReply, StreamVersionsNotice,
};

use super::{GATHER_TIME, State, StreamVersions, TOLD_TIMEOUT};
use crate::clock;
use crate::peer_message::{self, Connection, NoAnswer};
use crate::upstream::Upstreams;

/// Path of a [`StreamVersionsNotice`].
const NOTICE_PATH: &str = "/stream-versions";
/// Path of a [`StreamVersionQuestion`].
const QUESTION_PATH: &str = "/stream-version";
/// Time for a node to answer a question.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);

impl State {
    /// The first of the other nodes for a stream.
    fn first_peers(&self, id: &str, count: usize) -> Vec<SocketAddr> {
        let mut nodes = self.peers.to_vec();
        sort_nodes(&mut nodes, id);
        nodes.truncate(count);
        nodes
    }
}

impl StreamVersions {
    /// Tells nodes of a stream together with others that begin now.
    pub(super) fn tell_later(
        self: &Arc<Self>,
        state: &mut State,
        upstreams: &Arc<Upstreams>,
        stream: &StreamVersion,
    ) {
        for node in state.first_peers(&stream.id, HOLDERS) {
            let untold = state.untold.entry(node).or_default();
            untold.push(stream.clone());
            if untold.len() == 1 {
                let upstreams = Arc::clone(upstreams);
                tokio::spawn(Arc::clone(self).tell_gathered(upstreams, node));
            }
        }
    }

    async fn tell_gathered(self: Arc<Self>, upstreams: Arc<Upstreams>, node: SocketAddr) {
        tokio::time::sleep(GATHER_TIME).await;
        let streams = self.state().untold.remove(&node).unwrap_or_default();
        tell(upstreams, node, StreamVersionsNotice { streams }).await;
    }

    /// Tells nodes of a stream, and returns once a quorum knows of it or all nodes that are in step know of its version.
    pub(super) async fn tell_first(&self, stream: StreamVersion, spread_us: u64) {
        loop {
            let begun_us = clock::now_us();
            let told = tokio::time::timeout(TOLD_TIMEOUT, self.tell_quorum(&stream)).await;
            if told == Ok(true) {
                return;
            }
            let now_us = clock::now_us();
            if now_us >= spread_us {
                self.metrics.increment("stream_version.untold");
                log::info!(id:% = stream.id, version:% = stream.version; "stream begins though few nodes know of it");
                return;
            }
            let next_us = begun_us + TOLD_TIMEOUT.as_micros() as u64;
            let pause_us = next_us.min(spread_us).saturating_sub(now_us);
            tokio::time::sleep(Duration::from_micros(pause_us)).await;
        }
    }

    /// Tells nodes of a stream; returns whether a quorum knows of it.
    async fn tell_quorum(&self, stream: &StreamVersion) -> bool {
        let (nodes, is_alone) = {
            let state = self.state();
            let nodes = state.first_peers(&stream.id, HOLDERS);
            let is_alone = nodes.is_empty() && state.has_listed_nodes;
            (nodes, is_alone)
        };
        if nodes.is_empty() {
            return is_alone;
        }
        let needed = QUORUM.min(nodes.len());
        let notice = StreamVersionsNotice {
            streams: vec![stream.clone()],
        };
        let mut told: FuturesUnordered<_> = nodes
            .iter()
            .map(|node| tell(Arc::clone(&self.upstreams), *node, notice.clone()))
            .map(tokio::spawn)
            .collect();
        let mut knowing = 0;
        while knowing < needed
            && let Some(is_told) = told.next().await
        {
            knowing += usize::from(is_told.unwrap_or(false));
        }
        knowing >= needed
    }

    /// Asks nodes for a stream until their answers decide, or all of them have answered or are late.
    pub(super) async fn ask(&self, id: Option<&str>, service: &Name, taken_up_us: u64) -> Answers {
        self.metrics.increment("stream_version.asked");
        let id_text = id.unwrap_or_default();
        let nodes = self.state().first_peers(id_text, ASKED);
        let question = StreamVersionQuestion {
            id: id_text.to_owned(),
            service: service.to_string(),
        };
        let mut answers = Answers {
            asked: nodes.len(),
            words: Vec::new(),
        };
        let mut asked: FuturesUnordered<_> = nodes
            .iter()
            .map(|node| {
                peer_message::send(
                    &self.upstreams,
                    *node,
                    QUESTION_PATH,
                    &question,
                    ASK_TIMEOUT,
                    Connection::Keep,
                )
            })
            .collect();
        while let Some(reply) = asked.next().await {
            let Ok(reply) = reply else {
                continue;
            };
            answers.words.push(word(reply));
            let decided = self.decide(id, service, taken_up_us, Some(&answers));
            if matches!(decided, Continuation::At(_)) {
                break;
            }
        }
        answers
    }

    fn reply_for(&self, question: &StreamVersionQuestion) -> StreamVersionReply {
        let state = self.state();
        let history = state.histories.get(&*question.service);
        let live = history.map(VersionHistory::live).unwrap_or_default();
        StreamVersionReply {
            version: state.memory.get(&question.id).map(ToString::to_string),
            uptime_us: clock::now_us().saturating_sub(state.started_us),
            live: live.iter().map(ToString::to_string).collect(),
            is_observer: self.coverage(&state) != Coverage::Started,
        }
    }

    fn on_notice(&self, notice: &StreamVersionsNotice) {
        let mut state = self.state();
        let times = state.times();
        for stream in &notice.streams {
            let version = Name::from(stream.version.as_str());
            state.memory.insert(&stream.id, &version, times);
        }
    }
}

fn word(reply: StreamVersionReply) -> Word {
    let live = reply
        .live
        .iter()
        .map(|version| Name::from(version.as_str()));
    Word {
        told: reply.version.map(|version| Name::from(version.as_str())),
        live: reply.is_observer.then(|| live.collect()),
    }
}

/// Answers a message of a peer; `None` if the path is not one of this module.
pub(super) fn answer(
    versions: &StreamVersions,
    path: &str,
    body: &[u8],
) -> Option<(StatusCode, String)> {
    let answered = match path {
        NOTICE_PATH => peer_message::parse(body).map(|notice: StreamVersionsNotice| {
            versions.on_notice(&notice);
            "{}".to_owned()
        }),
        QUESTION_PATH => peer_message::parse(body).map(|question: StreamVersionQuestion| {
            peer_message::text_of(&versions.reply_for(&question))
        }),
        _ => return None,
    };
    Some(peer_message::respond(path, answered))
}

/// Tells a node of streams; returns whether it has taken the notice.
async fn tell(upstreams: Arc<Upstreams>, node: SocketAddr, notice: StreamVersionsNotice) -> bool {
    let sent = peer_message::send(
        &upstreams,
        node,
        NOTICE_PATH,
        &notice,
        TOLD_TIMEOUT,
        Connection::Keep,
    );
    let answer: Result<serde_json::Value, NoAnswer> = sent.await;
    answer.is_ok()
}
