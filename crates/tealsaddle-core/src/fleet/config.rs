//! Configuration of a fleet: routes, services and the limits on callers.

use std::sync::Arc;

use crate::collections::HashMap;
use crate::name::Name;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// It may run any number of times.
    Idempotent,
    /// It runs at most once.
    AtMostOnce,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream that another runner may resume after the last event delivered.
    ResumableStream,
}

impl RepeatPolicy {
    /// Whether a run whose outcome is unknown may be followed by another one.
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service that gets a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// The service.
    pub service: Name,
    /// Its share, relative to the other targets of the route.
    pub weight: u32,
}

/// A route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Host that it belongs to, in lower case.
    pub host: String,
    /// Start of the paths that it takes.
    pub prefix: String,
    /// What may be repeated.
    pub repeat: RepeatPolicy,
    /// Longest time until the answer is complete.
    pub timeout_ms: u64,
    /// Time to the answer, or to the first event of a stream, that callers expect.
    pub objective_ms: u64,
    /// Priority class, 0 first.
    pub priority: u32,
    /// Services, at least one.
    pub targets: Vec<RouteTarget>,
    /// Runners on which one request may run.
    pub max_attempts: u32,
    /// Time without an event after which callers abandon a stream, also before its first event.
    pub event_timeout_ms: Option<u64>,
}

impl Route {
    /// The service of a request, drawn by the hash of its id.
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

/// What a model service's runners can do.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineLimits {
    /// Requests in a batch.
    pub slots: u32,
    /// KV cache of a runner.
    pub kv_tokens: u64,
    /// KV cache per token.
    pub kv_bytes_per_token: u64,
    /// Link between runners.
    pub link_mbps: f64,
    /// Time that a change of stage takes after the running work has ended.
    pub switch_ms: u64,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetService {
    /// Name of the service.
    pub name: Name,
    /// Limits of its engines, for a model service.
    pub engine: Option<EngineLimits>,
}

/// What a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of the head of a request.
    pub header_bytes: usize,
    /// Bytes of the body of a request.
    pub body_bytes: usize,
    /// Time to send a request.
    pub header_timeout_ms: u64,
    /// Time that a connection may stay idle.
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
    /// Version, which only grows.
    pub version: u64,
    /// Services by name.
    pub services: HashMap<Name, FleetService>,
    /// Limits on callers.
    pub limits: CallerLimits,
    routes: HashMap<String, Vec<Arc<Route>>>,
}

impl FleetConfig {
    /// Builds a version.
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
            // The longest prefix that matches decides.
            of_host.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter().map(|s| (Name::clone(&s.name), s));
        Self {
            version,
            services: services.collect(),
            limits,
            routes: by_host,
        }
    }

    /// The route of a request; `host` may carry a port and any case.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let of_host = match self.routes.get(host) {
            Some(of_host) => of_host,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        of_host.iter().find(|route| path.starts_with(&route.prefix))
    }
}
