//! State of a running gateway, shared by all requests.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use arc_swap::ArcSwap;
use tealsaddle_core::fleet::change_sources::Member;
use tealsaddle_core::fleet::config::CallerLimits;
use tealsaddle_core::name::Name;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::borrowed_paths::RunnerPaths;
use crate::borrowed_paths::lender::LentPaths;
use crate::caller_memory::{CallerMemory, NodeLimits};
use crate::connector::{Connect, TcpConnector};
use crate::duties::DutyConfig;
use crate::external::Dialect;
use crate::held_bytes::HeldBytes;
use crate::knowledge::KnowledgeClock;
use crate::metrics::Metrics;
use crate::quarantine::Quarantine;
use crate::resumption::ResumptionClock;
use crate::scheduler::{RetryShare, Scheduler};
use crate::send_gate::SendGate;
use crate::shares::Shares;
use crate::snapshot::FleetSnapshot;
use crate::stop::Stop;
use crate::upstream::Upstreams;
use crate::usage::Usage;
use crate::versions::StreamVersions;

/// Settings of a gateway.
#[derive(Debug, Clone)]
pub struct GatewayConfig {
    /// Name of the node, unique in the fleet.
    pub node: Name,
    /// Availability zone of the node.
    pub zone: Name,
    /// Address on which callers are served.
    pub caller_listen: SocketAddr,
    /// Address of the readiness probe of the load balancer.
    pub ready_listen: SocketAddr,
    /// Address on which peers fetch this node's state; `None` to serve no peers.
    pub peer_listen: Option<SocketAddr>,
    /// Address on which metrics are served; `None` to serve none.
    pub metrics_listen: Option<SocketAddr>,
    /// Peers from which to fetch the fleet if the store does not answer at the start; some of the
    /// addresses may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Retry budget of a service and how the nodes divide it.
    pub retry: RetryShare,
    /// Time within which what the store has acknowledged binds, such as that a runner is about to stop.
    pub leaving_bound: Duration,
    /// Time between two renewals of a runner's registration.
    pub registration_renewal: Duration,
    /// Longest time for which an order of a former holder may still be in transit to a runner.
    pub max_order_delay: Duration,
    /// Time from the signal to stop until the platform kills the process.
    pub grace: Duration,
    /// Settings of the duties toward the platform; `None` if there are none.
    pub duties: Option<DutyConfig>,
    /// Limits of the machine; `None` to set none on what is held for callers.
    pub limits: Option<NodeLimits>,
}

impl GatewayConfig {
    /// This node as its peers know it; `None` if it serves none.
    pub fn own_member(&self) -> Option<Member> {
        self.peer_listen.map(|address| Member {
            address,
            zone: Arc::clone(&self.zone),
        })
    }
}

/// State that all requests of a node share.
#[derive(Debug)]
pub struct Gateway {
    /// Settings from the start of the process; the retry budget may have changed since.
    pub config: GatewayConfig,
    /// Formats of callers and runners.
    pub dialect: Arc<dyn Dialect>,
    /// The fleet, as last published by the control thread.
    pub snapshot: Arc<ArcSwap<FleetSnapshot>>,
    /// How old the knowledge is that the fleet was published with.
    pub knowledge: Arc<KnowledgeClock>,
    /// Whether the process was paused and has received no update since.
    pub resumption: ResumptionClock,
    /// Ways to the runners, some of them through other nodes.
    pub runner_paths: Arc<RunnerPaths>,
    /// Paths to runners that are lent to other nodes.
    pub lent_paths: LentPaths,
    /// Bytes of incomplete events that streams hold.
    pub held_bytes: Arc<HeldBytes>,
    /// Budget for what is held for callers.
    pub caller_memory: Arc<CallerMemory>,
    /// Connection pool for requests to runners.
    pub upstreams: Arc<Upstreams>,
    /// Connection pool for the node's own calls to runners, whose answers name no request.
    pub own_calls: Arc<Upstreams>,
    /// Runner selection, and the load and retry budgets behind it.
    pub scheduler: Arc<Scheduler>,
    /// What runners ask of those who send to them.
    pub send_gate: Arc<SendGate>,
    /// Shares of the customers.
    pub shares: Arc<Shares>,
    /// Which software versions began streams.
    pub versions: Arc<StreamVersions>,
    /// Requests of each customer that began to run here.
    pub usage: Arc<Usage>,
    /// What this node knows of crashes of runners.
    pub quarantine: Quarantine,
    /// Counters and latencies of this node.
    pub metrics: Arc<Metrics>,
    /// Cancelled when a stop leaves no more time to wait for runners; requests without an answer then get
    /// one from the gateway.
    pub answer_cutoff: CancellationToken,
    in_flight: AtomicUsize,
    stop: OnceLock<Stop>,
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Arc<Gateway>);

impl Gateway {
    /// Creates the shared state of a gateway.
    pub fn new(
        config: GatewayConfig,
        dialect: Arc<dyn Dialect>,
        snapshot: Arc<ArcSwap<FleetSnapshot>>,
    ) -> Arc<Self> {
        Self::with_connector(config, dialect, snapshot, Arc::new(TcpConnector))
    }

    /// Creates the shared state of a gateway that connects to runners by `connector`.
    pub fn with_connector(
        config: GatewayConfig,
        dialect: Arc<dyn Dialect>,
        snapshot: Arc<ArcSwap<FleetSnapshot>>,
        connector: Arc<dyn Connect>,
    ) -> Arc<Self> {
        let metrics = Metrics::open();
        let knowledge = Arc::new(KnowledgeClock::open(config.leaving_bound));
        let runner_paths = RunnerPaths::open(
            connector,
            Arc::clone(&snapshot),
            Arc::clone(&metrics),
            Name::clone(&config.zone),
            config.peer_listen,
        );
        let scheduler = Scheduler::open(config.retry);
        Arc::new(Self {
            shares: Shares::open(
                Name::clone(&config.node),
                config.peer_listen,
                Arc::clone(&metrics),
                Arc::clone(&scheduler),
                Arc::clone(&snapshot),
            ),
            scheduler,
            send_gate: SendGate::open(
                config.peer_listen,
                Arc::clone(&metrics),
                Arc::clone(&snapshot),
            ),
            upstreams: Upstreams::open_by(Arc::clone(&runner_paths)),
            own_calls: Upstreams::open_by(Arc::clone(&runner_paths)),
            runner_paths,
            held_bytes: Arc::default(),
            caller_memory: CallerMemory::open(config.limits, Arc::clone(&metrics)),
            lent_paths: LentPaths::default(),
            quarantine: Quarantine::open(config.peer_listen),
            versions: StreamVersions::open(Arc::clone(&metrics), Arc::clone(&knowledge)),
            usage: Usage::open(
                config.duties.as_ref().is_some_and(|d| d.usage.is_some()),
                config.peer_listen,
                Arc::clone(&metrics),
            ),
            knowledge,
            resumption: ResumptionClock::open(),
            metrics,
            answer_cutoff: CancellationToken::new(),
            config,
            dialect,
            snapshot,
            in_flight: AtomicUsize::new(0),
            stop: OnceLock::new(),
        })
    }

    /// Whether the load balancer may send requests: the fleet is known and the node is not stopping.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.snapshot.load().is_ready()
    }

    /// Whether the process has been told to stop.
    pub fn is_stopping(&self) -> bool {
        self.stop.get().is_some()
    }

    /// Schedule of the stop in progress, if any.
    pub fn current_stop(&self) -> Option<Stop> {
        self.stop.get().copied()
    }

    /// Begins a stop, unless one is in progress, and returns its schedule.
    pub fn begin_stop(&self) -> Stop {
        *self.stop.get_or_init(|| {
            self.send_gate.retire();
            self.shares.retire();
            Stop::plan(Instant::now(), self.config.grace)
        })
    }

    /// Limits on callers of the configuration in force; the defaults before the first configuration.
    pub fn caller_limits(&self) -> CallerLimits {
        let snapshot = self.snapshot.load();
        let config = snapshot.config.as_ref();
        config.map_or_else(CallerLimits::default, |config| config.limits)
    }

    /// Number of requests in flight.
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
