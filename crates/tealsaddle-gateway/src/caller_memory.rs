//! Bound on what a node holds for its callers, and on their connections.
//!
//! Each connection has a [`ConnectionShare`], which reports what the connection holds to the budget of the node
//! ([`CallerBudget`]). A connection that the budget drops is told so through a token: a request whose body is still
//! arriving is refused, as it has not been run; any other connection is closed, which states nothing about its request.
//! Without limits in the settings nothing is counted and no connection is dropped.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};

use tealsaddle_core::collections::HashMap;
use tealsaddle_core::fleet::caller_budget::{CallerBudget, CallerBudgetLimits, CallerPhase};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::clock;
use crate::metrics::Metrics;

/// Memory that a node needs without callers, with a margin: the process, its log queue, and the connections to runners,
/// peers and the store.
const RESERVED_MEMORY_BYTES: usize = 40 << 20;
/// Smallest budget: one body of the largest size while it grows, and room for small ones.
const MIN_BUDGET_BYTES: usize = 10 << 20;
/// The budget is this part of the memory that is left: the kernel's buffers, the copies that growing buffers make for a
/// moment, and what the allocator keeps are not counted.
const BUDGET_DIVISOR: usize = 2;
/// Descriptors that are reserved for files.
const RESERVED_DESCRIPTORS: usize = 200;
/// Share of the other descriptors for callers, in percent. Half of all are left to connections to runners, of which a
/// request may need two, to peers and to the store.
const CALLER_DESCRIPTORS_PERCENT: usize = 30;
/// Share for connections of peers.
const PEER_DESCRIPTORS_PERCENT: usize = 15;
/// Share for connections to the probe, and for those to the metrics.
const TEXT_DESCRIPTORS_PERCENT: usize = 2;
/// Fewest connections of each listener.
const MIN_CONNECTIONS: usize = 8;
/// What a connection holds beside its buffers: its task, timer and socket.
const CONNECTION_BYTES: usize = 8 << 10;
/// Each buffer of a caller's socket in the kernel, which doubles it for its own overhead. It lets a caller 1 ms away send, or
/// receive, 256 Mbit/s, more than the links of the nodes carry.
const SOCKET_BUFFER_BYTES: usize = 64 << 10;
/// Time between two log lines about dropped connections.
const LOG_INTERVAL_US: u64 = 1_000_000;

/// Limits of the machine, from the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeLimits {
    /// Memory of the machine.
    pub memory_bytes: usize,
    /// Largest number of open descriptors.
    pub descriptors: usize,
}

impl NodeLimits {
    /// Limits on callers that keep the node within its machine.
    pub fn caller_budget(&self) -> CallerBudgetLimits {
        let left_bytes = self.memory_bytes.saturating_sub(RESERVED_MEMORY_BYTES);
        CallerBudgetLimits {
            held_bytes: (left_bytes / BUDGET_DIVISOR).max(MIN_BUDGET_BYTES),
            connections: self.connections(CALLER_DESCRIPTORS_PERCENT),
        }
    }

    /// Number of connections of the listener for peers.
    pub fn peer_connections(&self) -> usize {
        self.connections(PEER_DESCRIPTORS_PERCENT)
    }

    /// Number of connections of the listener for the probe, and of that for the metrics.
    pub fn text_connections(&self) -> usize {
        self.connections(TEXT_DESCRIPTORS_PERCENT)
    }

    fn connections(&self, percent: usize) -> usize {
        let free = self.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        (free / 100 * percent + free % 100 * percent / 100).max(MIN_CONNECTIONS)
    }
}

/// The budget of a node, and its connections.
#[derive(Debug)]
pub struct CallerMemory {
    /// `None` if the settings have no limits.
    state: Option<Mutex<State>>,
    next_id: AtomicU64,
    metrics: Arc<Metrics>,
}

#[derive(Debug)]
struct State {
    budget: CallerBudget,
    open: HashMap<u64, OpenConnection>,
    /// When connections that were dropped were last logged, and how many were since.
    logged_us: u64,
    unlogged: u64,
}

/// Tells a connection that the budget has dropped it.
#[derive(Debug, Default)]
pub struct DropSignal {
    token: CancellationToken,
    /// Tells the connection to close after the answer to its request.
    after_answer: CancellationToken,
    phase: OnceLock<CallerPhase>,
}

impl DropSignal {
    /// Waits until the connection is dropped.
    pub async fn received(&self) {
        self.token.cancelled().await;
    }

    /// Waits until the connection is to close after the answer to its request.
    pub async fn closes_after_answer(&self) {
        self.after_answer.cancelled().await;
    }

    /// Whether the connection was dropped while the body of a request arrived, which is then refused.
    pub fn refuses_request(&self) -> bool {
        self.phase.get() == Some(&CallerPhase::Receiving)
    }
}

/// A connection that has not been dropped.
#[derive(Debug)]
struct OpenConnection {
    dropped: Arc<DropSignal>,
    /// Bytes by [`Part`].
    parts: [usize; PARTS],
    /// What its request does.
    phase: CallerPhase,
}

impl OpenConnection {
    /// What the connection does: an answer that is not read counts more than the request.
    const fn phase(&self) -> CallerPhase {
        if self.parts[Part::Unread as usize] > 0 {
            CallerPhase::Unread
        } else {
            self.phase
        }
    }
}

/// What a connection holds memory for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// Buffers for what arrives, with a head that is not complete.
    Buffers,
    /// The body of the current request.
    Body,
    /// The part of an answer that the caller has not read.
    Unread,
}

/// Number of [`Part`]s.
const PARTS: usize = 3;

impl CallerMemory {
    /// Creates the budget of a node; without limits everything is allowed.
    pub fn open(limits: Option<NodeLimits>, metrics: Arc<Metrics>) -> Arc<Self> {
        let state = limits.map(|limits| {
            Mutex::new(State {
                budget: CallerBudget::new(limits.caller_budget()),
                open: HashMap::default(),
                logged_us: 0,
                unlogged: 0,
            })
        });
        Arc::new(Self {
            state,
            next_id: AtomicU64::new(0),
            metrics,
        })
    }

    /// Whether the settings limit callers.
    pub const fn is_limited(&self) -> bool {
        self.state.is_some()
    }

    /// Largest number of connections; endless without limits.
    pub fn max_connections(&self) -> usize {
        let state = self.state();
        state.map_or(usize::MAX, |state| state.budget.limits().connections)
    }

    /// Bytes that all connections hold; 0 without limits.
    pub fn held_bytes(&self) -> usize {
        self.state().map_or(0, |state| state.budget.held_bytes())
    }

    fn state(&self) -> Option<MutexGuard<'_, State>> {
        let state = self.state.as_ref()?;
        Some(state.lock().expect("no holder of the lock panics"))
    }

    /// Adds an accepted connection. Its share may have been dropped at once.
    pub fn connect(self: &Arc<Self>, stream: &TcpStream) -> Arc<ConnectionShare> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let dropped = Arc::<DropSignal>::default();
        if let Some(mut state) = self.state() {
            limit_socket_buffers(stream);
            let open = OpenConnection {
                dropped: Arc::clone(&dropped),
                parts: [0; PARTS],
                phase: CallerPhase::Waiting,
            };
            state.open.insert(id, open);
            let admission = state.budget.connect(id, CONNECTION_BYTES, clock::now_us());
            self.drop_connections(&mut state, &admission.dropped, "connections");
            let closes = admission.closes_after_answer;
            if let Some(open) = closes.and_then(|id| state.open.get(&id)) {
                self.metrics.increment("caller_memory.closed_after_answer");
                open.dropped.after_answer.cancel();
            }
        }
        Arc::new(ConnectionShare {
            memory: Arc::clone(self),
            id,
            dropped,
            requests: AtomicU64::new(0),
        })
    }

    fn drop_connections(&self, state: &mut State, victims: &[u64], reason: &str) {
        for victim in victims {
            self.metrics
                .increment(&format!("caller_memory.dropped_for_{reason}"));
            if let Some(open) = state.open.remove(victim) {
                open.dropped.phase.get_or_init(|| open.phase());
                open.dropped.token.cancel();
            }
        }
        state.unlogged += victims.len() as u64;
        let now_us = clock::now_us();
        let is_due = now_us.saturating_sub(state.logged_us) >= LOG_INTERVAL_US;
        if state.unlogged > 0 && (is_due || state.logged_us == 0) {
            log::warn!(dropped = state.unlogged, reason, held_bytes = state.budget.held_bytes(),
                connections = state.budget.connections(); "caller connections dropped");
            state.unlogged = 0;
            state.logged_us = now_us;
        }
    }
}

/// Limits what the kernel keeps for a caller until the program, or the caller, reads it.
fn limit_socket_buffers(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let results = [
        socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES),
        socket.set_send_buffer_size(SOCKET_BUFFER_BYTES),
    ];
    for error in results.into_iter().filter_map(Result::err) {
        log::debug!(error:%; "a socket option was refused");
    }
}

/// What one connection holds. Dropping it gives everything back.
#[derive(Debug)]
pub struct ConnectionShare {
    memory: Arc<CallerMemory>,
    id: u64,
    dropped: Arc<DropSignal>,
    /// Number of requests so far.
    requests: AtomicU64,
}

impl ConnectionShare {
    /// Tells when the budget has dropped the connection.
    pub const fn dropped(&self) -> &Arc<DropSignal> {
        &self.dropped
    }

    /// Sets how many bytes the connection holds for a part; returns whether it may hold them.
    pub fn set(&self, part: Part, bytes: usize) -> bool {
        let Some(mut state) = self.memory.state() else {
            return true;
        };
        let Some(open) = state.open.get_mut(&self.id) else {
            return false;
        };
        if open.parts[part as usize] == bytes {
            return true;
        }
        open.parts[part as usize] = bytes;
        let (phase, sum) = (open.phase(), open.parts.iter().sum::<usize>());
        state.budget.set_phase(self.id, phase);
        let held_bytes = CONNECTION_BYTES + sum;
        let victims = state.budget.hold(self.id, held_bytes, clock::now_us());
        self.memory.drop_connections(&mut state, &victims, "memory");
        state.open.contains_key(&self.id)
    }

    /// Records bytes that have arrived or left.
    pub fn on_moved(&self, bytes: usize) {
        if let Some(mut state) = self.memory.state() {
            state.budget.on_moved(self.id, bytes, clock::now_us());
        }
    }

    /// Begins to receive the body of a request.
    pub fn receive(self: &Arc<Self>) -> BodyShare {
        self.set_phase(CallerPhase::Receiving);
        BodyShare {
            request: self.requests.fetch_add(1, Ordering::Relaxed) + 1,
            connection: Arc::clone(self),
        }
    }

    /// Sets what the request does; returns whether the connection may go on.
    fn set_phase(&self, phase: CallerPhase) -> bool {
        let Some(mut state) = self.memory.state() else {
            return true;
        };
        let Some(open) = state.open.get_mut(&self.id) else {
            return false;
        };
        open.phase = phase;
        let phase = open.phase();
        state.budget.set_phase(self.id, phase)
    }
}

impl Drop for ConnectionShare {
    fn drop(&mut self) {
        if let Some(mut state) = self.memory.state() {
            state.open.remove(&self.id);
            state.budget.release(self.id);
        }
    }
}

/// The body of a request, which is held until its call ends. Dropping it gives its bytes back.
#[derive(Debug)]
pub struct BodyShare {
    /// Number of the request on its connection.
    request: u64,
    connection: Arc<ConnectionShare>,
}

impl BodyShare {
    /// Sets how many bytes are held; returns whether the request may go on.
    pub fn set(&self, bytes: usize) -> bool {
        self.connection.set(Part::Body, bytes)
    }

    /// Waits until the budget drops the connection.
    pub async fn dropped(&self) {
        self.connection.dropped.received().await;
    }

    /// Records that the request is sent to runners from now on; returns whether it may be.
    pub fn run(&self) -> bool {
        self.connection.set_phase(CallerPhase::Running)
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        // A call may still be referred to when the next request of the connection has begun.
        if self.connection.requests.load(Ordering::Relaxed) == self.request {
            self.connection.set(Part::Body, 0);
            self.connection.set_phase(CallerPhase::Waiting);
        }
    }
}
