//! Early refusal of requests that would be late or that exceed their customer's fair share.
//!
//! A request that cannot be answered on time uses engine time that other requests need. Such a request is
//! refused at once, with a time after which a retry is useful. Fair shares are measured in estimated engine
//! time rather than in requests, because one long request can use as much engine time as fifty short ones.
//!
//! While the total demand is below the capacity, no customer is limited. Above the capacity, the capacity is
//! distributed by priority class. Within a class, each customer gets up to a common level of engine time per
//! unit of weight (max-min fairness): customers below the level are not limited, and each of the others is
//! limited to the level by a token bucket.
//!
//! The state is a few numbers per customer. Customers without recent requests are removed.

use crate::collections::HashMap;
use crate::decaying_rate::DecayingRate;
use crate::max_min::{self, Demand};
use crate::name::Name;

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// No engine can answer on time.
    DeadlineInfeasible,
    /// The customer exceeds its agreed rate of requests.
    CustomerRate,
    /// The customer has used its fair share while the demand exceeds the capacity.
    FairShare,
    /// Too many requests are waiting.
    QueueFull,
    /// No engine accepts requests for the model.
    NoEngine,
    /// The node is stopping.
    Draining,
}

impl RefusalReason {
    /// All reasons, in the order of their declaration.
    pub const ALL: [Self; 6] = [
        Self::DeadlineInfeasible,
        Self::CustomerRate,
        Self::FairShare,
        Self::QueueFull,
        Self::NoEngine,
        Self::Draining,
    ];

    /// Returns the name used in headers and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::DeadlineInfeasible => "deadline_infeasible",
            Self::CustomerRate => "customer_rate",
            Self::FairShare => "fair_share",
            Self::QueueFull => "queue_full",
            Self::NoEngine => "no_engine",
            Self::Draining => "draining",
        }
    }
}

/// Properties of a request that come from its customer and model.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionRequest {
    /// Name of the customer.
    pub customer: Name,
    /// Priority class; 0 is the highest.
    pub priority: u32,
    /// Weight of the customer in fair sharing.
    pub share: f64,
    /// Requests per second that this node admits for the customer; `None` without a limit.
    pub requests_per_s: Option<f64>,
    /// Latency targets of the model, scaled for the length of the prompt.
    pub targets: Targets,
}

/// Latency targets of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Targets {
    /// Target for the time to the first token.
    pub first_token_us: u64,
    /// Target for the mean time between tokens.
    pub between_tokens_us: u64,
}

/// Estimate for a request if it were started now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Estimate {
    /// Engine time that the request takes.
    pub engine_us: u64,
    /// Time to the first token on the best engine, in this zone or in a zone to spill to; `None` if no
    /// engine accepts requests.
    pub first_token_us: Option<u64>,
    /// Time between tokens on that engine.
    pub between_tokens_us: u64,
    /// Number of requests that wait in the pool.
    pub waiting: u32,
    /// Whether the node is stopping.
    pub is_draining: bool,
}

/// A refused request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Time after which a retry may succeed.
    pub retry_after_ms: u64,
}

/// Settings of the admission of one pool.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionConfig {
    /// Capacity of the pool: engine time per second, in microseconds.
    pub capacity_us_per_s: f64,
    /// Largest number of requests that may wait in the pool.
    pub max_waiting: u32,
    /// Time constant of the averages of demand and admitted work.
    pub window_us: u64,
    /// Share of the first-token target that each priority class reserves for the higher classes, per class
    /// above it.
    pub class_margin: f64,
}

/// Default share of the first-token target that a class reserves, per class above it.
pub const CLASS_MARGIN: f64 = 0.15;

/// Lowest priority class with a share of its own; lower classes reserve as much as this one.
const LAST_CLASS: u32 = 4;

/// Returns the share of the first-token target that a priority class reserves for the higher classes.
pub fn reserved_share(priority: u32, class_margin: f64) -> f64 {
    class_margin * f64::from(priority.min(LAST_CLASS))
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            capacity_us_per_s: 1e6,
            max_waiting: 256,
            window_us: 10_000_000,
            class_margin: CLASS_MARGIN,
        }
    }
}

/// Interval between two computations of the levels.
const LEVEL_INTERVAL_US: u64 = 250_000;
/// Time after a full queue or an infeasible deadline during which the pool counts as overloaded.
const OVERLOAD_US: u64 = 2_000_000;
/// Burst of a customer, as engine time in seconds of its level. The burst is this large because a single
/// request can take seconds of a small customer's share.
const BURST_S: f64 = 4.0;
/// Burst of a customer, as requests in seconds of its agreed rate.
const RATE_BURST_S: f64 = 2.0;
/// Number of windows without a request after which a customer is removed.
const IDLE_WINDOWS: u64 = 6;

#[derive(Debug, Clone, Copy)]
struct CustomerState {
    share: f64,
    priority: u32,
    /// Engine time requested per second, including refused requests.
    demand: DecayingRate,
    /// Engine time left in the token bucket; `None` while the customer is not limited.
    bucket_us: Option<f64>,
    /// Requests left in the token bucket of the agreed rate.
    requests: f64,
    refilled_us: u64,
}

/// Admission of one pool.
#[derive(Debug)]
pub struct Admission {
    config: AdmissionConfig,
    customers: HashMap<Name, CustomerState>,
    admitted: DecayingRate,
    overloaded_until_us: u64,
    /// Engine time per second and unit of weight, by priority class.
    levels: Vec<(u32, f64)>,
    levels_updated_us: Option<u64>,
}

impl Admission {
    /// Creates an admission without history.
    pub fn new(config: AdmissionConfig) -> Self {
        Self {
            config,
            customers: HashMap::default(),
            admitted: DecayingRate::default(),
            overloaded_until_us: 0,
            levels: Vec::new(),
            levels_updated_us: None,
        }
    }

    /// Sets the capacity of the pool, in microseconds of engine time per second, when its engines change.
    pub fn set_capacity(&mut self, capacity_us_per_s: f64) {
        self.config.capacity_us_per_s = capacity_us_per_s;
    }

    /// Returns the number of customers with state.
    pub fn customers(&self) -> usize {
        self.customers.len()
    }

    /// Admits or refuses a request. No part of a refused request may be run.
    pub fn admit(
        &mut self,
        request: &AdmissionRequest,
        estimate: &Estimate,
        now_us: u64,
    ) -> Result<(), Refused> {
        if estimate.is_draining {
            return Err(refused(RefusalReason::Draining, 1_000));
        }
        let Some(first_token_us) = estimate.first_token_us else {
            return Err(refused(RefusalReason::NoEngine, 1_000));
        };
        self.update_levels(now_us);
        let cost_us = estimate.engine_us as f64;
        let window_us = self.config.window_us;
        let levels = &self.levels;
        let customer = self
            .customers
            .entry(Name::clone(&request.customer))
            .or_insert_with(|| CustomerState {
                share: request.share,
                priority: request.priority,
                demand: DecayingRate::default(),
                bucket_us: None,
                requests: request.requests_per_s.map_or(0.0, request_burst),
                refilled_us: now_us,
            });
        customer.share = request.share;
        customer.priority = request.priority;
        customer.refill(request, levels, now_us);
        customer.demand.add(cost_us, now_us, window_us);

        if let Some(rate) = request.requests_per_s
            && customer.requests < 1.0
        {
            let wait_ms = (1.0 - customer.requests) / rate * 1e3;
            return Err(refused(RefusalReason::CustomerRate, wait_ms.ceil() as u64));
        }
        // A request is admitted while the bucket is above zero and may overdraw the bucket. Otherwise a
        // request that is larger than the bucket would always be refused.
        if let Some(bucket_us) = customer.bucket_us
            && bucket_us <= 0.0
        {
            let level = level_of(levels, customer.priority) * customer.share;
            let wait_ms = (1.0 - bucket_us) / level.max(1.0) * 1e3;
            let wait_ms = (wait_ms.ceil() as u64).clamp(100, 60_000);
            return Err(refused(RefusalReason::FairShare, wait_ms));
        }
        if estimate.waiting >= self.config.max_waiting {
            self.overloaded_until_us = now_us + OVERLOAD_US;
            return Err(refused(RefusalReason::QueueFull, 1_000));
        }
        let targets = request.targets;
        let reserved_share = reserved_share(request.priority, self.config.class_margin);
        let allowed_us = (targets.first_token_us as f64 * (1.0 - reserved_share)) as u64;
        let late_us = first_token_us.saturating_sub(allowed_us);
        if late_us > 0 || estimate.between_tokens_us > targets.between_tokens_us {
            self.overloaded_until_us = now_us + OVERLOAD_US;
            // The queue has to shrink by the lateness before the same request can be on time.
            let wait_ms = (late_us / 1_000).clamp(200, 30_000);
            return Err(refused(RefusalReason::DeadlineInfeasible, wait_ms));
        }
        customer.requests -= 1.0;
        if let Some(bucket_us) = &mut customer.bucket_us {
            *bucket_us -= cost_us;
        }
        self.admitted.add(cost_us, now_us, window_us);
        Ok(())
    }

    /// Distributes the capacity by class and computes the level of each class: engine time per second and
    /// unit of weight.
    fn update_levels(&mut self, now_us: u64) {
        let due = self
            .levels_updated_us
            .is_none_or(|at| now_us >= at + LEVEL_INTERVAL_US);
        if !due {
            return;
        }
        self.levels_updated_us = Some(now_us);
        let window_us = self.config.window_us;
        let idle_us = window_us * IDLE_WINDOWS;
        self.customers
            .retain(|_, customer| now_us.saturating_sub(customer.demand.updated_us()) < idle_us);
        let mut left = self.config.capacity_us_per_s;
        // Late requests show that the pool achieves less than its nominal capacity, for example because the
        // split of roles does not fit the mix of requests. The admitted work is then the capacity to share.
        if now_us < self.overloaded_until_us {
            left = left.min(self.admitted.at(now_us, window_us));
        }
        let mut demands: Vec<(u32, Demand)> = self
            .customers
            .values()
            .map(|c| {
                let demand = Demand {
                    per_s: c.demand.at(now_us, window_us),
                    weight: c.share,
                };
                (c.priority, demand)
            })
            .collect();
        demands.sort_by_key(|(class, _demand)| *class);
        self.levels.clear();
        for class in demands.chunk_by(|a, b| a.0 == b.0) {
            let of_class = class.iter().map(|(_class, demand)| *demand).collect();
            let distribution = max_min::distribute(of_class, left);
            left = distribution.left_per_s;
            self.levels.push((class[0].0, distribution.level));
        }
    }
}

impl CustomerState {
    fn refill(&mut self, request: &AdmissionRequest, levels: &[(u32, f64)], now_us: u64) {
        let elapsed_s = now_us.saturating_sub(self.refilled_us) as f64 / 1e6;
        self.refilled_us = self.refilled_us.max(now_us);
        if let Some(rate) = request.requests_per_s {
            self.requests = (self.requests + elapsed_s * rate).min(request_burst(rate));
        }
        let level = level_of(levels, self.priority) * self.share;
        self.bucket_us = level.is_finite().then(|| {
            let bucket_us = self.bucket_us.unwrap_or(level * BURST_S / 2.0);
            (bucket_us + elapsed_s * level).min(level * BURST_S)
        });
    }
}

fn level_of(levels: &[(u32, f64)], priority: u32) -> f64 {
    let level = levels.iter().find(|(class, _)| *class == priority);
    level.map_or(f64::INFINITY, |(_, level)| *level)
}

fn request_burst(rate: f64) -> f64 {
    (rate * RATE_BURST_S).max(1.0)
}

const fn refused(reason: RefusalReason, retry_after_ms: u64) -> Refused {
    Refused {
        reason,
        retry_after_ms,
    }
}
