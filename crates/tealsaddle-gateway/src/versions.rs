//! Which software version began a stream: what this node remembers, tells others and asks them.
//!
//! The decisions are made by [`tealsaddle_core::fleet::continuation`]. While several versions of a service may have
//! streams, three nodes are told of each stream, by rendezvous over its id; a stream of another version than the base is
//! passed on once two of them know. This module needs nothing of a call or of the control thread.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hyper::StatusCode;
use tealsaddle_core::collections::HashMap;
use tealsaddle_core::fleet::continuation::{
    Answers, Continuation, Currency, HOLDERS, QUORUM, StreamMemory, Times, VersionHistory,
    VersionKnowledge, VersionRecord, continuation,
};
use tealsaddle_core::fleet::rendezvous::sort_nodes;
use tealsaddle_core::name::Name;
use tealsaddle_schema::fleet::{
    StreamVersion, StreamVersionQuestion, StreamVersionReply, StreamVersionsNotice,
    VersionRecord as StoredRecord,
};

use crate::clock;
use crate::external::Item;
use crate::metrics::Metrics;
use crate::peer_message::{self, Connection, NoAnswer};
use crate::snapshot::FleetSnapshot;
use crate::upstream::Upstreams;

/// Prefix of the keys of the recorded versions; the rest is the service.
pub const VERSIONS_PREFIX: &str = "tealsaddle/versions/";
/// Path of a [`StreamVersionsNotice`].
const NOTICE_PATH: &str = "/stream-versions";
/// Path of a [`StreamVersionQuestion`].
const QUESTION_PATH: &str = "/stream-version";
/// Time that a caller's deadline may exceed the longest timeout of a route.
const LIFE_MARGIN_US: u64 = 2_000_000;
/// Life of a stream while no configuration is known.
const DEFAULT_LIFE_US: u64 = 10_000_000;
/// Time for which streams are gathered before a node is told of them.
const GATHER_TIME: Duration = Duration::from_millis(25);
/// Longest time for which the first event of a stream waits until other nodes know of it.
const TOLD_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for a node to answer a question.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);

#[derive(Debug)]
struct State {
    started_us: u64,
    life_us: u64,
    /// Addresses of the other nodes.
    peers: Arc<[SocketAddr]>,
    /// Versions by service.
    histories: HashMap<Name, VersionHistory>,
    memory: StreamMemory,
    /// Whether the records of earlier nodes have been read.
    has_records: bool,
    /// Records as they are in the store, by service.
    stored: HashMap<Name, VersionRecord>,
    /// Streams that other nodes are to be told of.
    untold: HashMap<SocketAddr, Vec<StreamVersion>>,
}

impl State {
    fn times(&self) -> Times {
        Times {
            now_us: clock::now_us(),
            life_us: self.life_us,
        }
    }

    /// Whether this node knows of all versions that have served within the life of a stream.
    fn is_complete(&self) -> bool {
        self.has_records || clock::now_us() >= self.started_us + self.life_us
    }

    fn reply_for(&self, id: &str) -> StreamVersionReply {
        StreamVersionReply {
            version: self.memory.get(id).map(ToString::to_string),
            uptime_us: clock::now_us().saturating_sub(self.started_us),
        }
    }

    /// Addresses of the nodes that are told of a stream, which may include the own one.
    fn holders(&self, id: &str, own_address: Option<SocketAddr>) -> Vec<SocketAddr> {
        let mut nodes = self.peers.to_vec();
        nodes.extend(own_address);
        sort_nodes(&mut nodes, id);
        nodes.truncate(HOLDERS);
        nodes
    }
}

/// The versions of streams and services, as this node knows them.
#[derive(Debug)]
pub struct StreamVersions {
    own_address: Option<SocketAddr>,
    metrics: Arc<Metrics>,
    upstreams: Arc<Upstreams>,
    state: Mutex<State>,
}

impl StreamVersions {
    /// Creates the memory of a node that has just started.
    pub fn open(own_address: Option<SocketAddr>, metrics: Arc<Metrics>) -> Arc<Self> {
        Arc::new(Self {
            own_address,
            metrics,
            upstreams: Upstreams::open(),
            state: Mutex::new(State {
                started_us: clock::now_us(),
                life_us: DEFAULT_LIFE_US,
                peers: Arc::from([]),
                histories: HashMap::default(),
                memory: StreamMemory::default(),
                has_records: false,
                stored: HashMap::default(),
                untold: HashMap::default(),
            }),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Takes over the nodes, the registered versions and the longest timeout of a new snapshot.
    pub fn on_snapshot(&self, snapshot: &FleetSnapshot) {
        let mut state = self.state();
        state.peers = Arc::clone(&snapshot.peers);
        let timeouts = snapshot.config.iter().flat_map(|config| config.routes());
        if let Some(longest_ms) = timeouts.map(|route| route.timeout_ms).max() {
            state.life_us = longest_ms * 1_000 + LIFE_MARGIN_US;
        }
        for service in snapshot.runners.keys() {
            state.histories.entry(Name::clone(service)).or_default();
        }
        let (times, is_complete) = (state.times(), state.is_complete());
        for (service, history) in &mut state.histories {
            let runners = snapshot.runners_of(service).iter();
            let versions = runners.map(|runner| Name::clone(&runner.version));
            history.on_registered(versions.collect(), times);
            history.expire(is_complete, times);
        }
    }

    /// Takes over a listing of the nodes' keys, which has the records of all services.
    pub fn on_listed(&self, items: &[Item]) {
        let mut state = self.state();
        let times = state.times();
        state.stored.clear();
        for item in items {
            let Some(service) = item.key.strip_prefix(VERSIONS_PREFIX) else {
                continue;
            };
            let record: StoredRecord = match serde_json::from_slice(&item.value) {
                Ok(record) => record,
                Err(error) => {
                    log::warn!(key:% = item.key, error:%; "record of versions cannot be parsed");
                    continue;
                }
            };
            let record = VersionRecord {
                base: record.base.map(|base| Name::from(base.as_str())),
                versions: record
                    .versions
                    .iter()
                    .map(|v| Name::from(v.as_str()))
                    .collect(),
            };
            let service = Name::from(service);
            if !state.has_records {
                log::info!(service:%, base:? = record.base, versions:? = record.versions;
                    "software versions taken from the record");
                let history = state.histories.entry(Name::clone(&service)).or_default();
                history.on_record(&record, times);
            }
            state.stored.insert(service, record);
        }
        state.has_records = true;
    }

    /// Records that are not in the store as they should be, as keys with values.
    pub fn due_records(&self) -> Vec<(String, Vec<u8>)> {
        let mut state = self.state();
        let (times, is_complete) = (state.times(), state.is_complete());
        if !state.has_records {
            return Vec::new();
        }
        for history in state.histories.values_mut() {
            history.expire(is_complete, times);
        }
        let records = state.histories.iter();
        let records = records.map(|(service, history)| (service, history.record()));
        let due = records.filter(|(service, record)| {
            !record.versions.is_empty() && state.stored.get(*service) != Some(record)
        });
        due.map(|(service, record)| {
            let stored = StoredRecord {
                base: record.base.map(|base| base.to_string()),
                versions: record.versions.iter().map(ToString::to_string).collect(),
            };
            let value = serde_json::to_vec(&stored).expect("a record has a JSON form");
            (format!("{VERSIONS_PREFIX}{service}"), value)
        })
        .collect()
    }

    /// Records which version began a stream, before its first event is passed on, and tells others if that is not
    /// plain from the versions that serve.
    pub async fn on_begun(self: &Arc<Self>, id: &str, service: &Name, version: &Name) {
        let (holders, is_base) = {
            let mut state = self.state();
            let times = state.times();
            state.memory.insert(id, version, times);
            let history = state.histories.get(service);
            let live = history.map(VersionHistory::live).unwrap_or_default();
            if live.len() < 2 {
                return;
            }
            let is_base = history.and_then(VersionHistory::base) == Some(version);
            (state.holders(id, self.own_address), is_base)
        };
        self.metrics.increment("stream_version.told");
        let stream = StreamVersion {
            id: id.to_owned(),
            version: version.to_string(),
        };
        if is_base {
            self.tell_later(&holders, &stream);
        } else {
            let told = self.tell_now(&holders, stream);
            if tokio::time::timeout(TOLD_TIMEOUT, told).await.is_err() {
                self.metrics.increment("stream_version.untold");
            }
        }
    }

    /// Tells nodes of a stream, and waits until a quorum knows of it.
    async fn tell_now(&self, holders: &[SocketAddr], stream: StreamVersion) {
        let mut knowing = 0;
        let notice = StreamVersionsNotice {
            streams: vec![stream],
        };
        let others = holders
            .iter()
            .filter(|node| Some(**node) != self.own_address);
        let mut told: FuturesUnordered<_> = others
            .map(|node| tell(Arc::clone(&self.upstreams), *node, notice.clone()))
            .map(tokio::spawn)
            .collect();
        knowing += holders.len() - told.len();
        while knowing < QUORUM
            && let Some(is_told) = told.next().await
        {
            knowing += usize::from(is_told.unwrap_or(false));
        }
    }

    /// Tells nodes of a stream together with others that begin now.
    fn tell_later(self: &Arc<Self>, holders: &[SocketAddr], stream: &StreamVersion) {
        let mut state = self.state();
        for node in holders
            .iter()
            .filter(|node| Some(**node) != self.own_address)
        {
            let untold = state.untold.entry(*node).or_default();
            untold.push(stream.clone());
            if untold.len() == 1 {
                tokio::spawn(Arc::clone(self).tell_gathered(*node));
            }
        }
    }

    async fn tell_gathered(self: Arc<Self>, node: SocketAddr) {
        tokio::time::sleep(GATHER_TIME).await;
        let streams = self.state().untold.remove(&node).unwrap_or_default();
        let notice = StreamVersionsNotice { streams };
        tell(Arc::clone(&self.upstreams), node, notice).await;
    }

    /// Decides at which version a stream may go on whose first event the request `id` has brought; `None` if the caller
    /// does not say which.
    pub async fn continuation(
        &self,
        id: Option<&str>,
        service: &Name,
        currency: Currency,
    ) -> Continuation {
        let decided = self.decide(id, service, currency, None);
        if decided != Continuation::AskOthers {
            return decided;
        }
        let answers = match id {
            Some(id) => self.ask_holders(id).await,
            None => Answers::default(),
        };
        let decided = self.decide(id, service, currency, Some(&answers));
        log::info!(id:% = id.unwrap_or("-"), service:%, told:? = answers.told, denials = answers.denials,
            is_quorum = answers.is_quorum, currency:?, decided:?; "version of a stream asked of other nodes");
        decided
    }

    fn decide(
        &self,
        id: Option<&str>,
        service: &Name,
        currency: Currency,
        answers: Option<&Answers>,
    ) -> Continuation {
        let state = self.state();
        let remembered = id.and_then(|id| state.memory.get(id));
        let unknown = VersionHistory::default();
        let knowledge = VersionKnowledge {
            history: state.histories.get(service).unwrap_or(&unknown),
            is_complete: state.is_complete(),
            currency,
        };
        continuation(remembered, knowledge, answers)
    }

    /// Asks the nodes that would have been told of a stream.
    async fn ask_holders(&self, id: &str) -> Answers {
        self.metrics.increment("stream_version.asked");
        let (holders, own, life_us) = {
            let state = self.state();
            let own = state.reply_for(id);
            (state.holders(id, self.own_address), own, state.life_us)
        };
        let question = StreamVersionQuestion { id: id.to_owned() };
        let mut answers = Answers::default();
        let others = holders
            .iter()
            .filter(|node| Some(**node) != self.own_address);
        let quorum = QUORUM.min(others.count());
        let mut answered = 0;
        let mut asked: FuturesUnordered<_> = holders
            .iter()
            .map(|node| {
                let (question, own) = (&question, &own);
                async move {
                    if Some(*node) == self.own_address {
                        return (false, Some(own.clone()));
                    }
                    let (upstreams, path) = (&self.upstreams, QUESTION_PATH);
                    let sent = peer_message::send(
                        upstreams,
                        *node,
                        path,
                        question,
                        ASK_TIMEOUT,
                        Connection::Keep,
                    );
                    (true, sent.await.ok())
                }
            })
            .collect();
        while let Some((is_other, reply)) = asked.next().await {
            let Some(StreamVersionReply { version, uptime_us }) = reply else {
                continue;
            };
            answered += usize::from(is_other);
            if let Some(version) = version {
                answers.told = Some(Name::from(version.as_str()));
                return answers;
            }
            answers.denials += usize::from(uptime_us >= life_us);
        }
        answers.is_quorum = answered >= quorum;
        answers
    }

    /// Answers a message of a peer; `None` if the path is not one of this module.
    pub fn answer(&self, path: &str, body: &[u8]) -> Option<(StatusCode, String)> {
        let answered = match path {
            NOTICE_PATH => peer_message::parse(body).map(|notice: StreamVersionsNotice| {
                self.on_notice(&notice);
                "{}".to_owned()
            }),
            QUESTION_PATH => peer_message::parse(body).map(|question: StreamVersionQuestion| {
                peer_message::text_of(&self.state().reply_for(&question.id))
            }),
            _ => return None,
        };
        Some(peer_message::respond(path, answered))
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
