//! Configuration of a fleet: routes, services and limits on callers.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::collections::HashMap;
use crate::name::Name;

use super::customers::Customers;

/// Whether a request may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// The request may be executed any number of times.
    Idempotent,
    /// The request is executed at most once.
    AtMostOnce,
    /// A stream of events that is executed at most once.
    Stream,
    /// A stream that another runner may resume after the last event delivered.
    ResumableStream,
}

impl RepeatPolicy {
    /// Returns whether a request may be sent again after an attempt whose outcome is unknown.
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: Name,
    /// Weight of the service's share, relative to the other services of the route; 0 sends it nothing
    /// while another weight is positive.
    pub weight: u32,
}

/// Rule that assigns the requests of a host and path prefix to services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route, for logs.
    pub name: Name,
    /// Host whose requests the route matches, in lower case and without a port.
    pub host: String,
    /// Prefix of the paths that the route matches.
    pub prefix: String,
    /// Whether requests of the route may be executed more than once.
    pub repeat: RepeatPolicy,
    /// Time in milliseconds within which the whole answer has to be complete.
    pub timeout_ms: u64,
    /// Objective, in milliseconds, for the time to the answer or to the first event of a stream.
    pub objective_ms: u64,
    /// Priority class; 0 is the highest.
    pub priority: u32,
    /// Services that share the route's requests; at least one.
    pub targets: Vec<RouteTarget>,
    /// Largest number of runners on which one request may be executed.
    pub max_attempts: u32,
    /// Time in milliseconds without an event after which callers abandon a stream. The time also counts
    /// before the first event. `None` when the configuration sets no target for pauses.
    pub event_timeout_ms: Option<u64>,
    /// Whether requests of the route need no API key.
    pub is_public: bool,
}

impl Route {
    /// Returns the service for a request, chosen by weight from the hash of the request's id. If all weights
    /// are 0, the first service gets every request.
    pub fn service(&self, request_hash: u64) -> &Name {
        let sum: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut drawn = request_hash.checked_rem(sum).unwrap_or(0);
        for target in &self.targets {
            if drawn < u64::from(target.weight) {
                return &target.service;
            }
            drawn -= u64::from(target.weight);
        }
        &self.targets[0].service
    }
}

/// Capacities of the runners of a model service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineLimits {
    /// Number of requests that a runner decodes in one batch.
    pub slots: u32,
    /// Size of a runner's KV cache, in tokens.
    pub kv_tokens: u64,
    /// Size of the KV cache entry of one token, in bytes.
    pub kv_bytes_per_token: u64,
    /// Bandwidth between two runners, in megabits per second.
    pub link_mbps: f64,
    /// Time in milliseconds that a change of stage takes after the runner's requests have ended.
    pub switch_ms: u64,
}

/// Bounds, times and prices by which the number of a service's runners is chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct Scaling {
    /// Smallest number of runners of both kinds in a zone.
    pub min: u32,
    /// Largest number of runners of both kinds in a zone.
    pub max: u32,
    /// Time from an order to the registration of a runner, in milliseconds.
    pub boot_ms: u64,
    /// Price of a spot runner, as a share of that of a regular one in its zone; `None` if there are no spot runners.
    pub spot_price: Option<f64>,
    /// Price of a regular runner, by zone.
    pub zone_prices: BTreeMap<Name, f64>,
}

/// A service of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetService {
    /// Name of the service.
    pub name: Name,
    /// Capacities of the runners; `None` for a plain service.
    pub engine: Option<EngineLimits>,
    /// How the number of runners is chosen; `None` if it is not chosen here.
    pub scaling: Option<Scaling>,
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Largest size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Longest time in milliseconds from the first bytes of a request's head to its end.
    /// [`idle_timeout_ms`](Self::idle_timeout_ms) applies instead if it ends later.
    pub header_timeout_ms: u64,
    /// Longest time in milliseconds for the next request on a connection, and between the parts of a body.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetConfig {
    /// Version number; newer versions have larger numbers.
    pub version: u64,
    /// Services, by name.
    pub services: HashMap<Name, FleetService>,
    /// Limits that apply to all callers.
    pub limits: CallerLimits,
    /// Customers, whose keys are required on routes that are not public; `None` if no key is checked.
    pub customers: Option<Customers>,
    routes: HashMap<String, Vec<Arc<Route>>>,
}

impl FleetConfig {
    /// Builds a version and indexes its routes by host.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<FleetService>,
        limits: CallerLimits,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::default();
        for route in routes {
            let of_host = by_host.entry(route.host.clone()).or_default();
            of_host.push(Arc::new(route));
        }
        for of_host in by_host.values_mut() {
            // The longest matching prefix wins, so longer prefixes come first.
            of_host.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter().map(|s| (Name::clone(&s.name), s));
        Self {
            version,
            services: services.collect(),
            limits,
            customers: None,
            routes: by_host,
        }
    }

    /// Sets the customers; `None` if no key is checked.
    #[must_use]
    pub fn with_customers(mut self, customers: Option<Customers>) -> Self {
        self.customers = customers;
        self
    }

    /// Returns all routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }

    /// Returns the route for a request. `host` may contain a port and upper-case letters.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let of_host = match self.routes.get(host) {
            Some(of_host) => of_host,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        of_host.iter().find(|route| path.starts_with(&route.prefix))
    }
}
