//! Usage of each customer: what this node counts, tells others and answers.
//!
//! The decisions are made by [`tealsaddle_core::fleet::usage`]. Each node counts the requests that begin to run by its own
//! monotonic clock, and tells one other node its counts each second ([`copies`]), so that few of them are lost with a killed
//! node. The node with the duties asks all nodes for the counts of a window ([`collector`]) and reports them ([`reporter`]).
//! Without usage reports among the duties, nothing is counted, told or answered.

pub mod collector;
pub mod copies;
pub mod messages;
pub mod reporter;
pub mod wall_clock;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, RwLock};

use hyper::StatusCode;
use tealsaddle_core::collections::HashMap;
use tealsaddle_core::fleet::customers::Customer;
use tealsaddle_core::fleet::usage::log::{UsageLog, bucket_at};

use crate::clock;
use crate::metrics::Metrics;
use crate::peer_message::{parse, respond, text_of};
use crate::snapshot::FleetSnapshot;
use crate::upstream::Upstreams;
use messages::{
    COPY_PATH, CopiedRequests, CopyReply, CountAnswer, CountCopy, CountQuestion, QUESTION_PATH,
};
use wall_clock::{SystemWallClock, WallClock};

/// Time for which counts are kept: longer than an outage of the store or the platform that reports should survive.
pub const KEEP_US: u64 = 120_000_000;
/// A process that has told no counts for this long may have ended, so its copy is told to the holder without being asked for.
/// Two and a half times the interval of the copies.
const SILENT_US: u64 = 2_500_000;

/// Counts that another process has told.
#[derive(Debug)]
struct Kept {
    node: SocketAddr,
    log: UsageLog,
    /// Monotonic clock of this node minus that of the process.
    ahead_us: i64,
    heard_us: u64,
    has_ended: bool,
}

impl Kept {
    fn to_its_clock(&self, time_us: u64) -> u64 {
        (time_us as i64).saturating_sub(self.ahead_us).max(0) as u64
    }
}

#[derive(Debug, Default)]
struct State {
    own: UsageLog,
    /// Counts of other processes by their id.
    kept: HashMap<u64, Kept>,
    /// Highest window known to be recorded.
    recorded: u64,
    /// Number of the first bucket that no other node has been told.
    untold_from: u64,
    /// Addresses of the other registered nodes.
    peers: Arc<[SocketAddr]>,
}

/// Counts of this node and copies of those of others.
#[derive(Debug)]
pub struct Usage {
    is_counting: bool,
    own_address: Option<SocketAddr>,
    process: u64,
    started_us: u64,
    wall_clock: RwLock<Arc<dyn WallClock>>,
    upstreams: Arc<Upstreams>,
    metrics: Arc<Metrics>,
    state: Mutex<State>,
}

impl Usage {
    /// Creates the counts of a node that has just started; it counts nothing if `is_counting` is false.
    pub fn open(
        is_counting: bool,
        own_address: Option<SocketAddr>,
        metrics: Arc<Metrics>,
    ) -> Arc<Self> {
        Arc::new(Self {
            is_counting,
            own_address,
            process: rand::random(),
            started_us: clock::now_us(),
            wall_clock: RwLock::new(Arc::new(SystemWallClock)),
            upstreams: Upstreams::open(),
            metrics,
            state: Mutex::default(),
        })
    }

    /// Replaces the wall clock, such as by one that jumps.
    pub fn set_wall_clock(&self, wall_clock: Arc<dyn WallClock>) {
        let mut current = self.wall_clock.write().expect("no holder panics");
        *current = wall_clock;
    }

    fn unix_us(&self) -> u64 {
        let wall_clock = self.wall_clock.read().expect("no holder panics");
        wall_clock.unix_us()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Takes over the nodes of a new snapshot.
    pub fn on_snapshot(&self, snapshot: &FleetSnapshot) {
        self.state().peers = Arc::clone(&snapshot.peers);
    }

    /// Counts a request of a customer that begins to run now.
    pub fn count(&self, customer: Option<&Customer>) {
        if let Some(customer) = customer.filter(|_customer| self.is_counting) {
            self.state().own.count(&customer.name, clock::now_us());
        }
    }

    /// Answers a message of a peer; `None` if it is of another kind.
    pub fn answer(&self, path: &str, body: &[u8]) -> Option<(StatusCode, String)> {
        if !self.is_counting {
            return None;
        }
        let answered = match path {
            QUESTION_PATH => parse(body).map(|question| text_of(&self.answer_question(&question))),
            COPY_PATH => parse(body).map(|copy| {
                self.keep(copy);
                text_of(&CopyReply)
            }),
            _ => return None,
        };
        Some(respond(path, answered))
    }

    fn answer_question(&self, question: &CountQuestion) -> CountAnswer {
        let now_us = clock::now_us();
        let from_us = now_us.saturating_sub(question.from_age_us);
        let to_us = now_us.saturating_sub(question.to_age_us);
        let unix_us = self.unix_us();
        let mut state = self.state();
        state.recorded = state.recorded.max(question.recorded);
        let kept = state.kept.iter().filter(|(_process, kept)| {
            let is_silent = kept.heard_us + SILENT_US <= now_us;
            // A node that stops is no longer registered, so a new holder does not ask it.
            let is_asked = state.peers.contains(&kept.node);
            kept.has_ended || is_silent || !is_asked || question.missing.contains(&kept.node)
        });
        let copies = kept.map(|(process, kept)| CopiedRequests {
            process: *process,
            requests: kept
                .log
                .between(kept.to_its_clock(from_us), kept.to_its_clock(to_us)),
        });
        CountAnswer {
            process: self.process,
            uptime_us: now_us.saturating_sub(self.started_us),
            unix_us,
            recorded: state.recorded,
            requests: state.own.between(from_us, to_us),
            copies: copies.filter(|copy| !copy.requests.is_empty()).collect(),
        }
    }

    /// Keeps what another process has told.
    fn keep(&self, copy: CountCopy) {
        let now_us = clock::now_us();
        let mut state = self.state();
        let kept = state.kept.entry(copy.process).or_insert_with(|| Kept {
            node: copy.node,
            log: UsageLog::default(),
            ahead_us: 0,
            heard_us: now_us,
            has_ended: false,
        });
        kept.ahead_us = (now_us as i64).saturating_sub(copy.now_us as i64);
        kept.heard_us = now_us;
        kept.has_ended |= copy.is_last;
        for (bucket, requests) in copy.buckets {
            kept.log.replace(bucket, requests);
        }
    }

    /// Drops counts that are older than [`KEEP_US`].
    fn forget_old(&self) {
        let before_us = clock::now_us().saturating_sub(KEEP_US);
        let mut state = self.state();
        state.own.forget_before(before_us);
        for kept in state.kept.values_mut() {
            let before_us = kept.to_its_clock(before_us);
            kept.log.forget_before(before_us);
        }
        state.kept.retain(|_process, kept| !kept.log.is_empty());
    }

    /// What is to be told to another node. The current bucket is left out unless this is the last message, as more may be
    /// counted in it.
    fn untold(&self, node: SocketAddr, is_last: bool) -> CountCopy {
        let now_us = clock::now_us();
        let state = self.state();
        let end = bucket_at(now_us) + u64::from(is_last);
        CountCopy {
            node,
            process: self.process,
            now_us,
            buckets: state.own.buckets(state.untold_from, end),
            is_last,
        }
    }
}
