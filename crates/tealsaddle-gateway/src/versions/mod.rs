//! Which software version began a stream: what this node remembers, tells others and asks them.
//!
//! The decisions are made by [`tealsaddle_core::fleet::continuation`]. Unless the version of all streams is plain from the
//! registered runners, three nodes are told of each stream, by rendezvous over its id; those that began before a second
//! version came are told as soon as it does. This module needs nothing of a call or of the control thread.

mod messages;
mod records;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use hyper::StatusCode;
use tealsaddle_core::collections::HashMap;
use tealsaddle_core::fleet::continuation::{
    Answers, Continuation, Coverage, StreamLife, StreamMemory, Times, VersionHistory,
    VersionKnowledge, VersionRecord, continuation,
};
use tealsaddle_core::name::Name;
use tealsaddle_schema::fleet::StreamVersion;

pub use self::records::VERSIONS_PREFIX;
use crate::clock;
use crate::knowledge::KnowledgeClock;
use crate::metrics::Metrics;
use crate::snapshot::FleetSnapshot;
use crate::upstream::Upstreams;

/// Time that a caller's deadline may exceed the longest timeout of a route.
const LIFE_MARGIN_US: u64 = 2_000_000;
/// Shortest life of a stream that a node assumes which has just started: it has not seen the timeouts of before.
const UNSEEN_LIFE_US: u64 = 10_000_000;
/// Time for which streams are gathered before a node is told of them.
const GATHER_TIME: Duration = Duration::from_millis(25);
/// Longest time for one attempt to let other nodes know of a stream before its first event is passed on.
const TOLD_TIMEOUT: Duration = Duration::from_millis(150);
/// Time from the registration of a runner within which no caller has got the first event of a stream from it, and has lost
/// its connection and come back.
const CURRENT_AGE_US: u64 = 100_000;
/// Time from the registration of a second version until other nodes have been told of the streams of before.
const RELEASE_NOTICE_US: u64 = 500_000;
/// Pause before other nodes are asked again for a stream.
const ASK_PAUSE: Duration = Duration::from_millis(75);

#[derive(Debug)]
struct State {
    started_us: u64,
    life: StreamLife,
    /// Addresses of the other nodes.
    peers: Arc<[SocketAddr]>,
    /// Whether the nodes have been listed, so that there are no others than those known.
    has_listed_nodes: bool,
    /// Versions by service.
    histories: HashMap<Name, VersionHistory>,
    memory: StreamMemory,
    /// When the node last asked for records that reach up to then; `None` if it has got none.
    recorded_us: Option<u64>,
    /// Records as they are in the store, by service.
    stored: HashMap<Name, VersionRecord>,
    /// Era in which the store listed them, if it tells.
    stored_era: Option<u64>,
    /// Era of the store in which the fleet first had a holder of the authority to order, if it is recorded.
    first_era: Option<u64>,
    /// Streams that other nodes are to be told of.
    untold: HashMap<SocketAddr, Vec<StreamVersion>>,
}

impl State {
    fn times(&self) -> Times {
        let now_us = clock::now_us();
        Times {
            now_us,
            life_us: self.life.longest_us(now_us),
        }
    }
}

/// How other nodes learn of a stream that begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Notice {
    /// Not at all, since its version is plain.
    None,
    /// Together with others, while its first event is passed on.
    Gathered,
    /// Before its first event is passed on, as nodes may not know of its version.
    Awaited {
        /// Time from which all nodes that are in step know of the version; the first event waits no longer.
        spread_us: u64,
    },
}

/// The versions of streams and services, as this node knows them.
#[derive(Debug)]
pub struct StreamVersions {
    metrics: Arc<Metrics>,
    knowledge: Arc<KnowledgeClock>,
    upstreams: Arc<Upstreams>,
    /// Connections of the control thread, which end with it.
    control_upstreams: Arc<Upstreams>,
    state: Mutex<State>,
}

impl StreamVersions {
    /// Creates the memory of a node that has just started.
    pub fn open(metrics: Arc<Metrics>, knowledge: Arc<KnowledgeClock>) -> Arc<Self> {
        Arc::new(Self {
            metrics,
            knowledge,
            upstreams: Upstreams::open(),
            control_upstreams: Upstreams::open(),
            state: Mutex::new(State {
                started_us: clock::now_us(),
                life: StreamLife::open(UNSEEN_LIFE_US),
                peers: Arc::from([]),
                has_listed_nodes: false,
                histories: HashMap::default(),
                memory: StreamMemory::default(),
                recorded_us: None,
                stored: HashMap::default(),
                stored_era: None,
                first_era: None,
                untold: HashMap::default(),
            }),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// How far this node's knowledge of the versions reaches back.
    fn coverage(&self, state: &State) -> Coverage {
        let mut times = state.times();
        times.life_us = times.life_us.max(UNSEEN_LIFE_US);
        let observation = self.knowledge.observation(state.recorded_us);
        observation.coverage(times)
    }

    /// Takes over the nodes, the registered versions and the longest timeout of a new snapshot. Streams of a service that
    /// gets a second version are told to other nodes.
    pub fn on_snapshot(self: &Arc<Self>, snapshot: &FleetSnapshot) {
        let mut state = self.state();
        state.peers = Arc::clone(&snapshot.peers);
        state.has_listed_nodes = snapshot.nodes > 0;
        let timeouts = snapshot.config.iter().flat_map(|config| config.routes());
        if let Some(longest_ms) = timeouts.map(|route| route.timeout_ms).max() {
            let life_us = longest_ms * 1_000 + LIFE_MARGIN_US;
            state.life.on_configured(life_us, clock::now_us());
        }
        for service in snapshot.runners.keys() {
            state.histories.entry(Name::clone(service)).or_default();
        }
        let times = state.times();
        let mut mixed = Vec::new();
        for (service, history) in &mut state.histories {
            let runners = snapshot.runners_of(service).iter();
            let versions: Vec<Name> = runners.map(|runner| Name::clone(&runner.version)).collect();
            history.expire(times.now_us);
            if history.on_registered(&versions, times) {
                mixed.push(Name::clone(service));
            }
        }
        for service in mixed {
            self.tell_begun(&mut state, &service);
        }
    }

    /// Tells other nodes of the streams of a service that began while their version was plain.
    fn tell_begun(self: &Arc<Self>, state: &mut State, service: &Name) {
        let begun = state.memory.begun_at(service);
        let streams: Vec<StreamVersion> = begun.map(|(id, version)| message(id, version)).collect();
        log::info!(service:%, streams = streams.len(); "streams of several software versions may live from now on");
        for stream in streams {
            self.tell_later(state, &self.control_upstreams, &stream);
        }
    }

    /// Records which version began a stream, before its first event is passed on, and tells others if that is not
    /// plain from the versions that serve.
    pub async fn on_begun(self: &Arc<Self>, id: &str, service: &Name, version: &Name) {
        let stream = message(id, version);
        let notice = {
            let mut state = self.state();
            let times = state.times();
            state.memory.insert_begun(id, service, version, times);
            let notice = self.notice(&state, service, version);
            if notice == Notice::Gathered {
                self.tell_later(&mut state, &self.upstreams, &stream);
            }
            notice
        };
        if notice == Notice::None {
            return;
        }
        self.metrics.increment("stream_version.told");
        if let Notice::Awaited { spread_us } = notice {
            self.tell_first(stream, spread_us).await;
        }
    }

    fn notice(&self, state: &State, service: &Name, version: &Name) -> Notice {
        let history = state.histories.get(service);
        let live = history.map(VersionHistory::live).unwrap_or_default();
        let is_plain = live.as_slice() == std::slice::from_ref(version)
            && self.coverage(state) == Coverage::Complete
            && !self.knowledge.is_doubtful();
        if is_plain {
            return Notice::None;
        }
        let now_us = clock::now_us();
        let known_since_us = history.and_then(|history| history.known_since_us(version));
        let spread_us = known_since_us.unwrap_or(now_us) + self.knowledge.terms().doubt_us;
        if now_us >= spread_us {
            Notice::Gathered
        } else {
            Notice::Awaited { spread_us }
        }
    }

    /// Decides at which version a stream may go on whose first event the request `id` has brought; `None` if the caller
    /// does not say which.
    ///
    /// Other nodes are asked again for a moment after a second version has come, as they are told of the streams of before
    /// then; and if this node's knowledge is all that is missing, it is awaited.
    pub async fn continuation(&self, id: Option<&str>, service: &Name) -> Continuation {
        let taken_up_us = clock::now_us();
        let decided = self.decide(id, service, taken_up_us, None);
        if decided != Continuation::Undecided {
            return decided;
        }
        loop {
            let answers = self.ask(id, service, taken_up_us).await;
            let decided = self.decide(id, service, taken_up_us, Some(&answers));
            let may_change_until_us = match decided {
                Continuation::At(_) => 0,
                Continuation::Unknown => self.told_until_us(service),
                Continuation::Undecided => taken_up_us + self.knowledge.terms().doubt_us,
            };
            if clock::now_us() < may_change_until_us {
                tokio::time::sleep(ASK_PAUSE).await;
                continue;
            }
            log::info!(id:% = id.unwrap_or("-"), service:%, answers:?, decided:?; "version of a stream asked of other nodes");
            return match decided {
                Continuation::At(version) => Continuation::At(version),
                Continuation::Unknown | Continuation::Undecided => Continuation::Unknown,
            };
        }
    }

    /// Time until which other nodes may still be told of the streams that began before the newest version came.
    fn told_until_us(&self, service: &Name) -> u64 {
        let state = self.state();
        let history = state.histories.get(service);
        history.map_or(0, VersionHistory::newest_since_us) + RELEASE_NOTICE_US
    }

    fn decide(
        &self,
        id: Option<&str>,
        service: &Name,
        taken_up_us: u64,
        answers: Option<&Answers>,
    ) -> Continuation {
        let state = self.state();
        let remembered = id.and_then(|id| state.memory.get(id));
        let unknown = VersionHistory::default();
        let knowledge = VersionKnowledge {
            history: state.histories.get(service).unwrap_or(&unknown),
            coverage: self.coverage(&state),
            is_current: self.knowledge.as_of_us() + CURRENT_AGE_US >= taken_up_us,
        };
        continuation(remembered, knowledge, answers)
    }

    /// Answers a message of a peer; `None` if the path is not one of this module.
    pub fn answer(&self, path: &str, body: &[u8]) -> Option<(StatusCode, String)> {
        messages::answer(self, path, body)
    }
}

fn message(id: &str, version: &Name) -> StreamVersion {
    StreamVersion {
        id: id.to_owned(),
        version: version.to_string(),
    }
}
