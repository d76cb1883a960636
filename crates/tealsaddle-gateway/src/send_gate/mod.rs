//! The gate to the runners: each request needs a permit, which is given if the runner has asked for nothing else.
//!
//! The decisions are made by [`tealsaddle_core::fleet::send_gate`] and, for runners that limit the requests of
//! all nodes together, by [`tealsaddle_core::fleet::permit_counter`] at the node that counts for the runner. This
//! module asks that node and answers others. It needs nothing of a call or of the control thread.

mod counting;
mod messages;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use arc_swap::ArcSwap;
use hyper::StatusCode;
use tealsaddle_core::collections::{HashMap, HashSet};
use tealsaddle_core::fleet::Runner;
use tealsaddle_core::fleet::permit_counter::{PermitCounter, Reply, RunnerTerms};
use tealsaddle_core::fleet::send_gate::{
    AnswerObservation, Hold, HoldReason, SendGate as Terms, Standing,
};
use tealsaddle_core::name::Name;
use tealsaddle_schema::fleet::TermsNotice;

use crate::clock;
use crate::metrics::Metrics;
use crate::peer_message;
use crate::snapshot::FleetSnapshot;
use crate::upstream::Upstreams;

/// Time within which a counted permit is to be used.
const PERMIT_US: u64 = 1_000_000;

/// Permission to send one request to a runner. It is confirmed when it is used.
#[derive(Debug)]
pub struct SendPermit {
    runner: Name,
    started_unix_ms: u64,
    /// End of the permission to send to a limited runner.
    counted_until_us: u64,
}

/// A runner that gets no request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Withheld {
    /// What the runner asked for.
    pub reason: HoldReason,
    /// Time until it may get one; `None` for never.
    pub wait: Option<Duration>,
    /// Time after which a refused caller is to return.
    pub return_after: Duration,
}

impl Withheld {
    fn by(hold: Hold, now_us: u64) -> Self {
        let wait = hold.until_us.map(|until_us| until(until_us, now_us));
        Self {
            reason: hold.reason,
            wait,
            return_after: wait.unwrap_or_default(),
        }
    }
}

fn until(until_us: u64, now_us: u64) -> Duration {
    Duration::from_micros(until_us.saturating_sub(now_us))
}

#[derive(Debug, Default)]
struct State {
    terms: Terms,
    counter: PermitCounter,
    /// Addresses of the other nodes.
    peers: Arc<[SocketAddr]>,
    /// When nodes that are new in the list were first seen there.
    first_seen_us: HashMap<SocketAddr, u64>,
    /// Number of registered nodes; 0 while unknown.
    nodes: u32,
    /// Nodes that did not answer or refused, with the time until which they are not asked again.
    unreachable: HashMap<SocketAddr, u64>,
    /// Terms that the other nodes are to be told.
    untold: Vec<RunnerTerms>,
    /// Whether other nodes have been asked for their terms after the start.
    has_caught_up: bool,
    /// When this node registered; `None` before.
    registered_us: Option<u64>,
    /// Whether this node counts for no runner any more, since it is told to stop.
    has_retired: bool,
    /// Share of the other nodes that this one reaches, when it was last asked in place of another one.
    reach: f64,
    reach_estimated_us: u64,
}

/// What runners ask of this node and, for the runners for which it counts, of all nodes.
#[derive(Debug)]
pub struct SendGate {
    /// Address on which peers reach this node; `None` if it serves no peers.
    own_address: Option<SocketAddr>,
    metrics: Arc<Metrics>,
    /// Connections to peers.
    upstreams: Arc<Upstreams>,
    /// The fleet, as last published.
    snapshot: Arc<ArcSwap<FleetSnapshot>>,
    state: Mutex<State>,
}

impl SendGate {
    /// Creates the gate of a node that has heard nothing of the runners.
    pub fn open(
        own_address: Option<SocketAddr>,
        metrics: Arc<Metrics>,
        snapshot: Arc<ArcSwap<FleetSnapshot>>,
    ) -> Arc<Self> {
        Arc::new(Self {
            own_address,
            metrics,
            upstreams: Upstreams::open(),
            snapshot,
            state: Mutex::default(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Asks for the permission to send a request to a runner. If the runner is limited, the request waits for up
    /// to `max_wait` until its turn.
    pub async fn acquire(
        self: &Arc<Self>,
        runner: &Runner,
        max_wait: Duration,
    ) -> Result<SendPermit, Withheld> {
        let now_us = clock::now_us();
        let standing = self.state().terms.standing(runner, now_us);
        let reply = match standing {
            Standing::Open => Reply::Granted { wait_us: 0 },
            Standing::Held(Hold {
                reason: HoldReason::Limited,
                until_us: Some(until_us),
            }) if until(until_us, now_us) <= max_wait => Box::pin(self.ask(runner, max_wait)).await,
            Standing::Held(hold) => return Err(Withheld::by(hold, now_us)),
            Standing::Counted => Box::pin(self.ask(runner, max_wait)).await,
        };
        match reply {
            Reply::Granted { wait_us } => {
                if wait_us > 0 {
                    tokio::time::sleep(Duration::from_micros(wait_us)).await;
                }
                Ok(SendPermit {
                    runner: Name::clone(&runner.id),
                    started_unix_ms: runner.started_unix_ms,
                    counted_until_us: match standing {
                        Standing::Open => 0,
                        Standing::Counted | Standing::Held(_) => clock::now_us() + PERMIT_US,
                    },
                })
            }
            Reply::Denied { wait_us, return_us } => Err(Withheld {
                reason: HoldReason::Limited,
                wait: Some(Duration::from_micros(wait_us)),
                return_after: Duration::from_micros(return_us),
            }),
        }
    }

    /// Whether a permit still holds: the runner may have asked for something since, also in its registration.
    pub fn is_valid(&self, permit: &SendPermit, runner: &Runner) -> bool {
        self.snapshot.load().accepts_requests(runner)
            && Self::may_use(&self.state(), permit, runner, clock::now_us())
    }

    /// Uses a permit; returns `false` if it no longer holds.
    pub fn confirm(&self, permit: SendPermit, runner: &Runner) -> bool {
        let now_us = clock::now_us();
        let mut state = self.state();
        let is_registered = self.snapshot.load().accepts_requests(runner);
        let may_use = is_registered && Self::may_use(&state, &permit, runner, now_us);
        drop(permit);
        if may_use {
            state.terms.on_send(runner, now_us);
        }
        may_use
    }

    fn may_use(state: &State, permit: &SendPermit, runner: &Runner, now_us: u64) -> bool {
        let is_same =
            permit.runner == runner.id && permit.started_unix_ms == runner.started_unix_ms;
        let has_place = match state.terms.standing(runner, now_us) {
            Standing::Open => true,
            Standing::Counted
            | Standing::Held(Hold {
                reason: HoldReason::Limited,
                ..
            }) => now_us < permit.counted_until_us,
            Standing::Held(_) => false,
        };
        is_same && has_place
    }

    /// Whether a runner gets no request at this moment, and why.
    pub fn hold(&self, runner: &Runner) -> Option<Withheld> {
        let state = self.state();
        if state.terms.is_empty() {
            return None;
        }
        let now_us = clock::now_us();
        match state.terms.standing(runner, now_us) {
            Standing::Held(hold) => Some(Withheld::by(hold, now_us)),
            Standing::Open | Standing::Counted => None,
        }
    }

    /// Whether the node's own calls, which take no place, may be sent to a runner.
    pub fn allows_own_calls(&self, runner: &Runner) -> bool {
        let hold = self.hold(runner);
        hold.is_none_or(|withheld| withheld.reason == HoldReason::Limited)
    }

    /// Whether any runner asks for anything.
    pub fn is_idle(&self) -> bool {
        self.state().terms.is_empty()
    }

    /// Records what an answer asks for, and tells it to the node that counts if it is new.
    pub fn on_answer(self: &Arc<Self>, runner: &Runner, answer: &AnswerObservation) {
        let told = self.state().terms.on_answer(runner, answer);
        let asked = &answer.backpressure;
        if asked.is_some() {
            self.metrics.increment("backpressure.seen");
        }
        let Some(terms) = told else {
            return;
        };
        log::info!(runner:% = terms.runner, started_unix_ms = terms.started_unix_ms,
            is_leaving = terms.is_leaving, limit_per_s:? = terms.rate.limit_per_s;
            "runner asks for something else than before");
        tokio::spawn(Arc::clone(self).tell(runner.clone()));
    }

    /// Records that this node has registered, at the start or after its registration had ended.
    pub fn on_registered(&self) {
        self.state().registered_us = Some(clock::now_us());
    }

    /// Ends the counting for other nodes. A node that stops is in the lists of some of them for some seconds more, while
    /// others have the next node in its place: if both counted, runners would get up to twice their limits.
    pub fn retire(&self) {
        self.state().has_retired = true;
    }

    /// Takes over the runners and nodes of a new snapshot.
    pub fn on_snapshot(self: &Arc<Self>, snapshot: &FleetSnapshot) {
        let now_us = clock::now_us();
        let mut state = self.state();
        state.on_peers(&snapshot.peers, now_us);
        state.nodes = snapshot.nodes;
        let runners = snapshot.runners.values().flatten();
        let registered: HashSet<&Name> = runners.map(|runner| &runner.id).collect();
        let is_registered = |runner: &Name| registered.contains(runner);
        state.terms.forget(is_registered, now_us);
        state.counter.forget(is_registered, now_us);
        if !state.has_caught_up && !state.peers.is_empty() {
            state.has_caught_up = true;
            tokio::spawn(Arc::clone(self).catch_up(Arc::clone(&state.peers)));
        }
    }

    /// Answers a message of a peer; `None` if the path is not one of this module.
    pub fn answer(self: &Arc<Self>, path: &str, body: &[u8]) -> Option<(StatusCode, String)> {
        let answered = match path {
            // A peer asks the next node then, as it does if this one does not answer.
            messages::PERMIT_PATH if self.state().has_retired => {
                return Some((StatusCode::SERVICE_UNAVAILABLE, String::new()));
            }
            messages::PERMIT_PATH => peer_message::parse(body)
                .map(|request| peer_message::text_of(&self.on_permit_request(&request))),
            messages::TERMS_PATH => peer_message::parse(body).map(|notice: TermsNotice| {
                self.on_notice(&notice);
                "{}".to_owned()
            }),
            messages::KNOWN_PATH => Ok(peer_message::text_of(&self.known_terms())),
            messages::REACH_PATH => Ok("{}".to_owned()),
            _ => return None,
        };
        Some(peer_message::respond(path, answered))
    }

    fn known_terms(&self) -> TermsNotice {
        messages::notice(&self.state().terms.all_known(), clock::now_us())
    }

    fn on_notice(&self, notice: &TermsNotice) {
        let now_us = clock::now_us();
        let mut state = self.state();
        for sent in &notice.terms {
            if let Some(terms) = messages::decode_terms(sent, now_us) {
                log::info!(runner:% = terms.runner, started_unix_ms = terms.started_unix_ms,
                    is_leaving = terms.is_leaving, limit_per_s:? = terms.rate.limit_per_s;
                    "told what a runner asks for");
                state.terms.on_told(&terms, now_us);
            }
        }
    }
}
