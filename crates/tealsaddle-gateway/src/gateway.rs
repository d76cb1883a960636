//! The running gateway and what all requests share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use arc_swap::ArcSwap;
use tealsaddle_core::name::Name;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::external::Dialect;
use crate::metrics::Metrics;
use crate::scheduler::{RetryShare, Scheduler};
use crate::snapshot::FleetSnapshot;
use crate::stop::Stop;
use crate::upstream::Upstreams;

/// Settings of a gateway.
#[derive(Debug, Clone)]
pub struct GatewayConfig {
    /// Name of the node.
    pub node: Name,
    /// Availability zone of the node.
    pub zone: Name,
    /// Where callers connect.
    pub caller_listen: SocketAddr,
    /// Where the load balancer asks whether the node is ready.
    pub ready_listen: SocketAddr,
    /// Where peers ask for what this node knows.
    pub peer_listen: Option<SocketAddr>,
    /// Where counters are served.
    pub metrics_listen: Option<SocketAddr>,
    /// Peers to ask when the store does not answer at the start; some may be gone.
    pub seeds: Vec<SocketAddr>,
    /// How the nodes share the retry budget of a service.
    pub retry: RetryShare,
    /// Time that orders of a former holder may take to arrive.
    pub order_transit: Duration,
    /// Time from the signal to stop until the process is killed.
    pub grace: Duration,
}

/// What all requests of a node share.
#[derive(Debug)]
pub struct Gateway {
    /// Settings.
    pub config: GatewayConfig,
    /// What callers and runners speak.
    pub dialect: Arc<dyn Dialect>,
    /// The fleet as published by the control thread.
    pub snapshot: Arc<ArcSwap<FleetSnapshot>>,
    /// Connections to runners.
    pub upstreams: Arc<Upstreams>,
    /// Load, pace and budgets.
    pub scheduler: Arc<Scheduler>,
    /// Counters and latencies.
    pub metrics: Arc<Metrics>,
    /// Cancelled when a stop leaves no more time to wait for answers.
    pub answer_cutoff: CancellationToken,
    in_flight: AtomicUsize,
    stop: OnceLock<Stop>,
}

/// A request in flight, counted until this is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Arc<Gateway>);

impl Gateway {
    /// Makes the shared state of a gateway.
    pub fn new(
        config: GatewayConfig,
        dialect: Arc<dyn Dialect>,
        snapshot: Arc<ArcSwap<FleetSnapshot>>,
    ) -> Arc<Self> {
        Arc::new(Self {
            scheduler: Scheduler::open(config.retry),
            upstreams: Upstreams::open(),
            metrics: Metrics::open(),
            answer_cutoff: CancellationToken::new(),
            config,
            dialect,
            snapshot,
            in_flight: AtomicUsize::new(0),
            stop: OnceLock::new(),
        })
    }

    /// Whether the node takes new connections.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.snapshot.load().is_ready()
    }

    /// Whether the process was told to stop.
    pub fn is_stopping(&self) -> bool {
        self.stop.get().is_some()
    }

    /// The stop that is going on.
    pub fn stopping(&self) -> Option<Stop> {
        self.stop.get().copied()
    }

    /// Begins a stop, unless one is going on.
    pub fn stop(&self) -> Stop {
        let plan = || Stop::plan(Instant::now(), self.config.grace);
        *self.stop.get_or_init(plan)
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request in flight.
    pub fn begin_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(Arc::clone(self))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
