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

use std::cmp::Ordering;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, RwLock};

use hyper::StatusCode;
use tealsaddle_core::collections::HashMap;
use tealsaddle_core::fleet::customers::Customer;
use tealsaddle_core::fleet::usage::Requests;
use tealsaddle_core::fleet::usage::clock_difference::ClockDifference;
use tealsaddle_core::fleet::usage::log::{UsageLog, bucket_at, first_bucket_from};
use tealsaddle_core::fleet::usage::window_starts::WindowStarts;

use crate::clock;
use crate::metrics::Metrics;
use crate::peer_message::{parse, respond, text_of};
use crate::snapshot::FleetSnapshot;
use crate::upstream::Upstreams;
use messages::{
    COPY_PATH, CopiedRequests, CopyReply, CountAnswer, CountCopy, CountQuestion, QUESTION_PATH,
    SendTime, ToldReturn,
};
use wall_clock::{SystemWallClock, WallClock};

/// Time for which counts are kept: longer than an outage of the store or the platform that reports should survive.
pub const KEEP_US: u64 = 120_000_000;
/// A process that has told no counts for this long may have ended, so its copy is told to the holder without being asked for.
/// Two and a half times the interval of the copies.
const SILENT_US: u64 = 2_500_000;
/// Number of latest windows whose starts are told with a copy. Only the end of the latest answer matters; the ones before are
/// for answers that are asked for again.
const TOLD_STARTS: usize = 4;

/// Counts of one process and their division into windows.
#[derive(Debug, Default)]
struct ProcessCounts {
    log: UsageLog,
    starts: WindowStarts,
}

impl ProcessCounts {
    /// Counts of a process that starts now.
    fn open() -> Self {
        Self {
            log: UsageLog::default(),
            starts: WindowStarts::since(bucket_at(clock::now_us())),
        }
    }

    /// Requests of a window, or of a range that stands for none, between two times of the process's clock.
    fn requests(&mut self, window: Option<u64>, from_us: u64, to_us: u64) -> Requests {
        let asked = first_bucket_from(from_us)..first_bucket_from(to_us);
        let buckets = match window {
            Some(window) => self.starts.buckets_of(window, asked),
            None => asked,
        };
        self.log.sum(buckets)
    }

    fn forget_before(&mut self, time_us: u64) {
        self.log.forget_before(time_us);
        self.starts.forget_before(bucket_at(time_us));
    }
}

/// Counts that another process has told.
#[derive(Debug)]
struct Kept {
    node: SocketAddr,
    counts: ProcessCounts,
    clock: ClockDifference,
    heard_us: u64,
    has_ended: bool,
}

/// The process that asks for counts, and its clock.
#[derive(Debug, Default)]
struct Asker {
    process: u64,
    clock: ClockDifference,
}

#[derive(Debug, Default)]
struct State {
    own: ProcessCounts,
    /// The process that has asked last.
    asker: Asker,
    /// Counts of other processes by their id.
    kept: HashMap<u64, Kept>,
    /// Highest window known to be recorded.
    recorded: u64,
    /// The last return of the store from an older copy.
    store_return: Option<StoreReturn>,
    /// Number of the first bucket that no other node has been told.
    untold_from: u64,
    /// Highest window whose start another node has been told; 0 if there is none.
    told_window: u64,
    /// Addresses of the other registered nodes.
    peers: Arc<[SocketAddr]>,
}

impl State {
    /// The own clock when a question was sent that has arrived now.
    fn sent_us(&mut self, sent: Option<SendTime>, now_us: u64) -> u64 {
        let Some(SendTime {
            process,
            now_us: sent_us,
        }) = sent
        else {
            return now_us;
        };
        if self.asker.process != process {
            self.asker = Asker {
                process,
                clock: ClockDifference::default(),
            };
        }
        self.asker.clock.on_message(sent_us, now_us);
        self.asker.clock.to_own(sent_us)
    }
}

/// A return of the store from an older copy. The records that were written since the copy are lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreReturn {
    /// Era since then.
    pub era: u64,
    /// Own clock when the first process saw it.
    pub seen_us: u64,
    /// Highest window that was recorded before; `None` if no process is known to have had the duties until then.
    pub settled: Option<u64>,
}

impl StoreReturn {
    /// Takes over what another process has seen of this return or a later one.
    fn merge(self, other: Self) -> Self {
        match self.era.cmp(&other.era) {
            Ordering::Less => other,
            Ordering::Greater => self,
            Ordering::Equal => Self {
                era: self.era,
                seen_us: self.seen_us.min(other.seen_us),
                settled: self.settled.max(other.settled),
            },
        }
    }
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
            state: Mutex::new(State {
                own: ProcessCounts::open(),
                ..State::default()
            }),
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

    /// Records that the store has come back from an older copy. `settled` is the highest window that was recorded before, if
    /// this node had the duties until then.
    pub fn on_store_return(&self, era: u64, settled: Option<u64>) {
        log::info!(era, settled; "store came back from an older copy; usage reports that were recorded since are lost");
        self.state().store_return = Some(StoreReturn {
            era,
            seen_us: clock::now_us(),
            settled,
        });
    }

    /// Counts a request of a customer that begins to run now.
    pub fn count(&self, customer: Option<&Customer>) {
        if let Some(customer) = customer.filter(|_customer| self.is_counting) {
            self.state().own.log.count(&customer.name, clock::now_us());
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
        let unix_us = self.unix_us();
        let mut state = self.state();
        let state = &mut *state;
        let sent_us = state.sent_us(question.sent, now_us);
        let from_us = sent_us.saturating_sub(question.from_age_us);
        let to_us = sent_us.saturating_sub(question.to_age_us);
        state.recorded = state.recorded.max(question.recorded);
        let peers = &state.peers;
        let kept = state.kept.iter_mut().filter(|(_process, kept)| {
            let is_silent = kept.heard_us + SILENT_US <= now_us;
            // A node that stops is no longer registered, so a new holder does not ask it.
            let is_asked = peers.contains(&kept.node);
            kept.has_ended || is_silent || !is_asked || question.missing.contains(&kept.node)
        });
        let copies = kept.map(|(process, kept)| CopiedRequests {
            process: *process,
            requests: kept.counts.requests(
                question.window,
                kept.clock.to_other(from_us),
                kept.clock.to_other(to_us),
            ),
        });
        let copies = copies.filter(|copy| !copy.requests.is_empty()).collect();
        CountAnswer {
            process: self.process,
            uptime_us: now_us.saturating_sub(self.started_us),
            unix_us,
            recorded: state.recorded,
            store_return: state.store_return.map(|seen| ToldReturn {
                era: seen.era,
                age_us: now_us.saturating_sub(seen.seen_us),
                settled: seen.settled,
            }),
            requests: state.own.requests(question.window, from_us, to_us),
            copies,
        }
    }

    /// Keeps what another process has told.
    fn keep(&self, copy: CountCopy) {
        let now_us = clock::now_us();
        let mut state = self.state();
        let kept = state.kept.entry(copy.process).or_insert_with(|| Kept {
            node: copy.node,
            counts: ProcessCounts::default(),
            clock: ClockDifference::default(),
            heard_us: now_us,
            has_ended: false,
        });
        kept.clock.on_message(copy.now_us, now_us);
        kept.heard_us = now_us;
        kept.has_ended |= copy.is_last;
        for (bucket, requests) in copy.buckets {
            kept.counts.log.replace(bucket, requests);
        }
        kept.counts.starts.on_told(copy.window_starts);
    }

    /// Drops counts that are older than [`KEEP_US`].
    fn forget_old(&self) {
        let before_us = clock::now_us().saturating_sub(KEEP_US);
        let mut state = self.state();
        state.own.forget_before(before_us);
        for kept in state.kept.values_mut() {
            let before_us = kept.clock.to_other(before_us);
            kept.counts.forget_before(before_us);
        }
        state
            .kept
            .retain(|_process, kept| !kept.counts.log.is_empty());
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
            buckets: state.own.log.buckets(state.untold_from, end),
            window_starts: state.own.starts.latest(TOLD_STARTS),
            is_last,
        }
    }
}
