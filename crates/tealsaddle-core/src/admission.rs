//! Early refusal of requests that would be late, or that take more than their customer's share.
//!
//! A request that cannot be on time costs engine time that others need, so it is refused at once with
//! a time after which a retry makes sense. Fair shares count estimated engine time, not requests,
//! since one long request can cost as much as fifty short ones. As long as the customers together ask
//! for less than the capacity nobody is limited. Above it, capacity is filled class by class, and
//! within a class up to one level of engine time per unit of weight (max-min fairness): customers
//! below the level are not limited, the others are held at it by a token bucket each.
//!
//! The state is a few numbers per customer. Customers that have been silent for long are dropped.

use crate::collections::HashMap;
use crate::name::Name;

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// No engine could answer on time.
    DeadlineInfeasible,
    /// The customer sends more requests than agreed.
    CustomerRate,
    /// The customer has used its share while others wait.
    FairShare,
    /// Too many requests wait already.
    QueueFull,
    /// No engine takes work for the model.
    NoEngine,
    /// The node is stopping.
    Draining,
}

impl RefusalReason {
    /// All reasons, in the order of the checks from the end.
    pub const ALL: [Self; 6] = [
        Self::DeadlineInfeasible,
        Self::CustomerRate,
        Self::FairShare,
        Self::QueueFull,
        Self::NoEngine,
        Self::Draining,
    ];

    /// The name used in headers and counters.
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

/// The customer's side of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionRequest {
    /// The customer.
    pub customer: Name,
    /// Priority class, 0 first.
    pub priority: u32,
    /// Weight in fair sharing.
    pub share: f64,
    /// Requests a second that this node admits for the customer, where limited.
    pub requests_per_s: Option<f64>,
    /// Targets of the model, scaled for the prompt.
    pub targets: Targets,
}

/// Latency targets of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Targets {
    /// Time to the first token.
    pub first_token_us: u64,
    /// Mean time between tokens.
    pub between_tokens_us: u64,
}

/// What running the request now would mean.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Estimate {
    /// Engine time that it takes.
    pub engine_us: u64,
    /// Time to the first token on the best engine, here or in a zone to spill to; `None` when no
    /// engine takes work.
    pub first_token_us: Option<u64>,
    /// Time between tokens on that engine.
    pub between_tokens_us: u64,
    /// Requests that wait in the pool.
    pub waiting: u32,
    /// Whether the node is stopping.
    pub is_draining: bool,
}

/// A refused request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// Why.
    pub reason: RefusalReason,
    /// Time after which a retry makes sense.
    pub retry_after_ms: u64,
}

/// Limits of admission.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionConfig {
    /// Engine time per second that the pool can give, in microseconds.
    pub capacity_us_per_s: f64,
    /// Requests that may wait in the pool.
    pub max_waiting: u32,
    /// Time over which demand is averaged.
    pub window_us: u64,
    /// Share of the first-token target that each priority class keeps free for the classes before it.
    pub class_margin: f64,
}

/// Default share of the first-token target that a class keeps free.
pub const CLASS_MARGIN: f64 = 0.15;

/// Classes after this one keep free no more than it does.
const LAST_CLASS: u32 = 4;

/// Share of the first-token target that a priority class keeps free for the classes before it.
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

/// Time between two computations of the level.
const LEVEL_INTERVAL_US: u64 = 250_000;
/// Time after an infeasible deadline during which the pool counts as full.
const PRESSED_US: u64 = 2_000_000;
/// Engine time, in seconds of its level, that a customer may use at once. Requests are lumpy: one
/// can take seconds of a small customer's share.
const BURST_S: f64 = 4.0;
/// Requests, in seconds of the agreed rate, that a customer may send at once.
const RATE_BURST_S: f64 = 2.0;
/// Windows of silence after which a customer is dropped.
const SILENT_WINDOWS: u64 = 6;

/// Average of a rate that decays with time.
#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    per_s: f64,
    at_us: u64,
}

impl Rate {
    fn at(&self, now_us: u64, window_us: u64) -> f64 {
        let age = now_us.saturating_sub(self.at_us) as f64 / window_us as f64;
        self.per_s * (-age).exp()
    }

    fn add(&mut self, amount: f64, now_us: u64, window_us: u64) {
        self.per_s = self.at(now_us, window_us) + amount * 1e6 / window_us as f64;
        self.at_us = self.at_us.max(now_us);
    }
}

#[derive(Debug, Clone, Copy)]
struct CustomerState {
    share: f64,
    priority: u32,
    /// Engine time asked for, refused requests included.
    demand: Rate,
    /// Engine time left in the bucket; `None` while the customer is not held at the level.
    bucket_us: Option<f64>,
    requests: f64,
    refilled_us: u64,
}

/// Admission of one pool.
#[derive(Debug)]
pub struct Admission {
    config: AdmissionConfig,
    customers: HashMap<Name, CustomerState>,
    admitted: Rate,
    pressed_until_us: u64,
    /// Engine time per second and unit of weight, by priority class.
    levels: Vec<(u32, f64)>,
    leveled_us: Option<u64>,
}

impl Admission {
    /// Makes an admission without history.
    pub fn new(config: AdmissionConfig) -> Self {
        Self {
            config,
            customers: HashMap::default(),
            admitted: Rate::default(),
            pressed_until_us: 0,
            levels: Vec::new(),
            leveled_us: None,
        }
    }

    /// Sets the engine time per second that the pool can give, as engines come and go.
    pub fn set_capacity(&mut self, capacity_us_per_s: f64) {
        self.config.capacity_us_per_s = capacity_us_per_s;
    }

    /// Customers with state.
    pub fn customers(&self) -> usize {
        self.customers.len()
    }

    /// Admits or refuses a request; a refusal means that no part of it is to be run.
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
        self.update_level(now_us);
        let cost_us = estimate.engine_us as f64;
        let window_us = self.config.window_us;
        let levels = &self.levels;
        let customer = self
            .customers
            .entry(Name::clone(&request.customer))
            .or_insert_with(|| CustomerState {
                share: request.share,
                priority: request.priority,
                demand: Rate::default(),
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
        // A request is admitted while the bucket is above zero and may overdraw it, so that a request
        // that is larger than the bucket is not refused for ever.
        if let Some(bucket_us) = customer.bucket_us
            && bucket_us <= 0.0
        {
            let level = level_of(levels, customer.priority) * customer.share;
            let wait_ms = (1.0 - bucket_us) / level.max(1.0) * 1e3;
            let wait_ms = (wait_ms.ceil() as u64).clamp(100, 60_000);
            return Err(refused(RefusalReason::FairShare, wait_ms));
        }
        if estimate.waiting >= self.config.max_waiting {
            self.pressed_until_us = now_us + PRESSED_US;
            return Err(refused(RefusalReason::QueueFull, 1_000));
        }
        let targets = request.targets;
        let reserved_share = reserved_share(request.priority, self.config.class_margin);
        let allowed_us = (targets.first_token_us as f64 * (1.0 - reserved_share)) as u64;
        let late_us = first_token_us.saturating_sub(allowed_us);
        if late_us > 0 || estimate.between_tokens_us > targets.between_tokens_us {
            self.pressed_until_us = now_us + PRESSED_US;
            // The queue in front has to shrink by the lateness before the same request fits.
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

    /// Fills the capacity class by class, each up to one level of engine time per unit of weight.
    fn update_level(&mut self, now_us: u64) {
        let due = self
            .leveled_us
            .is_none_or(|at| now_us >= at + LEVEL_INTERVAL_US);
        if !due {
            return;
        }
        self.leveled_us = Some(now_us);
        let window_us = self.config.window_us;
        let silent_us = window_us * SILENT_WINDOWS;
        self.customers
            .retain(|_, customer| now_us.saturating_sub(customer.demand.at_us) < silent_us);
        let mut left = self.config.capacity_us_per_s;
        // Deadlines show that the pool gives less than its nominal capacity, for instance with a
        // split of roles that does not fit the mix. What it admits is then what there is to share.
        if now_us < self.pressed_until_us {
            left = left.min(self.admitted.at(now_us, window_us));
        }
        let mut demands: Vec<(u32, f64, f64)> = self
            .customers
            .values()
            .map(|c| (c.priority, c.demand.at(now_us, window_us), c.share))
            .collect();
        // By class, then by demand per weight, so that one pass finds each level.
        demands.sort_by(|a, b| {
            let by_weight = (a.1 / a.2).total_cmp(&(b.1 / b.2));
            a.0.cmp(&b.0).then(by_weight)
        });
        self.levels.clear();
        for class in demands.chunk_by(|a, b| a.0 == b.0) {
            let mut weight: f64 = class.iter().map(|(_, _, share)| share).sum();
            let mut level = f64::INFINITY;
            for (_, demand, share) in class {
                let fair = left.max(0.0) / weight;
                if demand / share > fair {
                    level = fair;
                    left = 0.0;
                    break;
                }
                left -= demand;
                weight -= share;
            }
            self.levels.push((class[0].0, level));
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
