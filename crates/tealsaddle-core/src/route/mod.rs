//! Choice of the engines for a request.
//!
//! Candidates are engines that accept new requests for the model. A request can run on one mixed engine,
//! on a prefill engine whose KV cache is moved to a decode engine, or entirely on a decode engine, which
//! reads the prompt in chunks beside its batch. For each option the router estimates the time to the first
//! token and the time between tokens from corrected loads. Options that meet both targets are preferred;
//! among equals the earlier first token wins. Cached prompt tokens shorten the estimate and queues lengthen
//! it, so the estimate alone balances prefix affinity against load.
//!
//! The router draws two of the best options at random and takes the better one. Otherwise many nodes would
//! send to the same engine that appears idle in an old report.

mod option;

use std::sync::Arc;

use rand::Rng;
use rand::RngExt;

use crate::admission::{CLASS_MARGIN, Targets, reserved_share};
use crate::decision::Alternative;
use crate::inventory::{Engine, Role};
use crate::load::CorrectedLoad;
use crate::name::Name;
use option::{RouteOption, route_option};

/// Properties of a request that determine its route.
#[derive(Debug, Clone)]
pub struct RequestFacts {
    /// Model that the caller requested.
    pub model: Name,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Largest number of output tokens that the caller accepts.
    pub max_output_tokens: u32,
    /// Priority class; 0 is the highest.
    pub priority: u32,
    /// Hash of the start of the prompt, for prefix affinity.
    pub prefix_hash: u64,
    /// Time at which the first token is due, on the clock of `now_us`.
    pub first_token_due_us: u64,
}

/// An engine that accepts new requests for the model.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Engine from the inventory.
    pub engine: Arc<Engine>,
    /// Current role, which may differ from the engine's initial role.
    pub role: Role,
    /// Reported load, corrected for what this node has sent since the report.
    pub load: CorrectedLoad,
    /// Number of the prompt's tokens that are estimated to be in the engine's prefix cache.
    pub cached_tokens: u64,
}

/// Share of a full decode step that does not depend on the batch: reading the model weights.
const STEP_BASE_SHARE: f64 = 0.45;

impl Candidate {
    /// Returns the estimated time to read the queued prompts and the prompt of this request, in
    /// microseconds.
    pub fn first_token_us(&self, request: &RequestFacts) -> u64 {
        let own = request.prompt_tokens.saturating_sub(self.cached_tokens);
        let tokens = self.load.queued_prefill_tokens + own;
        tokens * 1_000_000 / u64::from(self.engine.prefill_tokens_per_s)
    }

    /// Returns the number of requests that are decoded or wait for decoding.
    pub const fn batch(&self) -> u32 {
        self.load.running + self.load.waiting
    }

    /// Returns the estimated duration of a step that decodes `batch` requests, in microseconds.
    pub fn step_us(&self, batch: u32) -> f64 {
        step_us(&self.engine, batch)
    }

    /// Returns whether the KV cache has room for a request with its output at full length.
    pub fn has_kv_room(&self, request: &RequestFacts) -> bool {
        let own = request.prompt_tokens + u64::from(request.max_output_tokens);
        self.load.kv_used_tokens + own <= self.engine.kv_capacity_tokens
    }

    /// Returns the estimated time until the batch has a free slot for one more request, assuming that the
    /// requests in the batch are like this one.
    fn slot_wait_us(&self, request: &RequestFacts) -> f64 {
        let most = self.engine.batch_requests;
        let excess = (self.batch() + 1).saturating_sub(most);
        let answer_us = self.step_us(most) * f64::from(request.max_output_tokens);
        f64::from(excess) * answer_us / f64::from(most)
    }
}

/// Returns the estimated duration of an engine's step that decodes `batch` requests, in microseconds.
pub fn step_us(engine: &Engine, batch: u32) -> f64 {
    let full = f64::from(engine.batch_requests);
    let full_step_us = full * 1e6 / f64::from(engine.decode_tokens_per_s);
    full_step_us * (STEP_BASE_SHARE + (1.0 - STEP_BASE_SHARE) * f64::from(batch) / full)
}

/// Engines on which a request is to run.
#[derive(Debug, Clone)]
pub enum RouteChoice {
    /// One engine reads the prompt and generates the output.
    Single(Arc<Engine>),
    /// One engine reads the prompt; another imports the KV cache and generates the output.
    Split {
        /// Engine that reads the prompt.
        prefill: Arc<Engine>,
        /// Engine that generates the output.
        decode: Arc<Engine>,
    },
    /// No engine can take the request.
    None,
}

/// Spare capacity of another zone for the model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneCapacity {
    /// Name of the zone.
    pub zone: Name,
    /// Number of prompt tokens that the zone's engines can take now and still answer on time.
    pub spare_prefill_tokens: u64,
    /// Number of further requests that the zone's engines can decode on time.
    pub spare_decode_requests: u32,
}

/// Input of the router other than the request itself.
#[derive(Debug, Clone)]
pub struct RouteTable<'a> {
    /// Engines of the node's own zone that accept new requests for the model.
    pub candidates: &'a [Candidate],
    /// Capacities of other zones, nearest zone first.
    pub other_zones: &'a [ZoneCapacity],
    /// Latency targets of the request.
    pub targets: Targets,
    /// Mean of the recent requests for the model.
    pub mean_request: MeanRequest,
}

/// Running mean of the recent requests for a model.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct MeanRequest {
    /// Mean number of prompt tokens that are in no prefix cache.
    pub read_tokens: f64,
    /// Mean number of output tokens.
    pub output_tokens: f64,
}

/// Settings of the router.
#[derive(Debug, Clone, PartialEq)]
pub struct RouterConfig {
    /// Time that reading a prompt chunk may add to a step of a decode engine.
    pub decode_chunk_us: u64,
    /// Time that reading a prompt chunk adds to a step of a mixed engine.
    pub mixed_chunk_us: u64,
    /// Fixed part of the time of a KV cache transfer.
    pub transfer_us: u64,
    /// Rate of a KV cache transfer, in tokens per second.
    pub transfer_tokens_per_s: u64,
    /// Difference to the best estimate of the first token up to which options count as equally good.
    pub near_best_us: u64,
    /// Time to forward a request to a node of another zone.
    pub hop_us: u64,
    /// Share of the first-token target that each priority class reserves, as in admission.
    pub class_margin: f64,
}

impl Default for RouterConfig {
    fn default() -> Self {
        Self {
            decode_chunk_us: 7_000,
            mixed_chunk_us: 27_000,
            transfer_us: 2_000,
            transfer_tokens_per_s: 200_000,
            near_best_us: 20_000,
            hop_us: 2_000,
            class_margin: CLASS_MARGIN,
        }
    }
}

/// Chosen option with its estimates and explanation.
#[derive(Debug, Clone)]
pub struct RouteDecision {
    /// Engines of the node's own zone on which to run the request.
    pub choice: RouteChoice,
    /// Zone that should run the request instead; `None` if the own zone is on time or no other zone has room.
    pub spill_to: Option<Name>,
    /// Estimated time to the first token; `None` if no engine can take the request.
    pub first_token_us: Option<u64>,
    /// Estimated time between tokens; 0 if no engine can take the request.
    pub between_tokens_us: u64,
    /// Estimated engine time of the request; 0 if no engine can take the request.
    pub engine_us: u64,
    /// Whether the chosen option is expected to meet both targets.
    pub is_on_time: bool,
    /// Reason for the choice, as shown to operators.
    pub reason: &'static str,
    /// Options that were compared, best first; the score is the time to the first token in milliseconds.
    /// Zones that were considered for spilling follow; their score is the forwarding time in milliseconds.
    pub alternatives: Vec<Alternative>,
}

/// Chooses the engines for requests.
#[derive(Debug, Clone, Default)]
pub struct Router {
    config: RouterConfig,
}

impl Router {
    /// Creates a router with the given settings.
    pub const fn new(config: RouterConfig) -> Self {
        Self { config }
    }

    /// Chooses engines, or a zone to spill to, for one request.
    pub fn choose<R>(
        &self,
        table: &RouteTable<'_>,
        request: &RequestFacts,
        now_us: u64,
        rng: &mut R,
    ) -> RouteDecision
    where
        R: Rng + ?Sized,
    {
        // The time that the request has already spent reduces the time left for its first token.
        let left_us = request.first_token_due_us.saturating_sub(now_us);
        // A lower class leaves part of the target to higher classes and therefore spills earlier.
        let reserved_share = reserved_share(request.priority, self.config.class_margin);
        let allowed_us = (table.targets.first_token_us as f64 * (1.0 - reserved_share)) as u64;
        let targets = Targets {
            first_token_us: allowed_us.min(left_us),
            ..table.targets
        };
        let mut options = self.options(table, request, targets);
        options.sort_by_key(RouteOption::rank);
        let mut decision = RouteDecision {
            choice: RouteChoice::None,
            spill_to: None,
            first_token_us: None,
            between_tokens_us: 0,
            engine_us: 0,
            is_on_time: false,
            reason: "no engine takes work for the model",
            alternatives: options
                .iter()
                .take(5)
                .map(|option| Alternative {
                    name: option.name(),
                    score: option.first_token_us as f64 / 1e3,
                    reason: option.describe(targets),
                })
                .collect(),
        };
        if let Some(option) = self.draw(&options, rng) {
            decision.choice = option.choice();
            decision.first_token_us = Some(option.first_token_us);
            decision.between_tokens_us = option.between_tokens_us;
            decision.engine_us = engine_us(request, option.prefill, option.decode);
            decision.is_on_time = option.is_on_time;
            decision.reason = match (option.is_on_time, option.is_single(), option.decode.role) {
                (false, ..) => "no way is on time; the first token is the earliest of two drawn",
                (true, false, _) => "KV cache moves: earliest first token of two drawn",
                (true, true, Role::Decode) => {
                    "decode steps have room for the prompt: earliest first token of two drawn"
                }
                (true, true, _) => "one engine: earliest first token of two drawn",
            };
        }
        if !decision.is_on_time {
            self.spill(table, request, targets, &mut decision);
        }
        decision
    }

    fn spill(
        &self,
        table: &RouteTable<'_>,
        request: &RequestFacts,
        targets: Targets,
        decision: &mut RouteDecision,
    ) {
        for other in table.other_zones {
            let has_room = other.spare_prefill_tokens >= request.prompt_tokens
                && other.spare_decode_requests > 0
                && targets.first_token_us > self.config.hop_us;
            decision.alternatives.push(Alternative {
                name: format!("zone {}", other.zone),
                score: self.config.hop_us as f64 / 1e3,
                reason: format!(
                    "spare for {} prompt tokens and {} requests",
                    other.spare_prefill_tokens, other.spare_decode_requests
                ),
            });
            if has_room {
                decision.spill_to = Some(Name::clone(&other.zone));
                decision.reason = "the own zone would be late and a near zone has room";
                return;
            }
        }
    }

    fn options<'a>(
        &self,
        table: &RouteTable<'a>,
        request: &RequestFacts,
        targets: Targets,
    ) -> Vec<RouteOption<'a>> {
        let candidates = table.candidates;
        let mut options = Vec::new();
        let usable = candidates.iter().filter(|c| c.has_kv_room(request));
        for candidate in usable.filter(|c| c.role != Role::Prefill) {
            options.push(self.single(candidate, request, targets, table.mean_request));
        }
        // The decode engine affects the estimate only through its batch, so the two with the shortest steps
        // are enough.
        let mut decode: Vec<&Candidate> = candidates
            .iter()
            .filter(|c| c.role == Role::Decode && c.has_kv_room(request))
            .collect();
        decode.sort_by(|a, b| a.step_us(a.batch()).total_cmp(&b.step_us(b.batch())));
        for prefill in candidates.iter().filter(|c| c.role == Role::Prefill) {
            for decode in decode.iter().take(2) {
                options.push(self.split(prefill, decode, request, targets));
            }
        }
        options
    }

    /// Estimates a request on one engine, which reads the prompt in chunks beside the running batch.
    fn single<'a>(
        &self,
        candidate: &'a Candidate,
        request: &RequestFacts,
        targets: Targets,
        mean_request: MeanRequest,
    ) -> RouteOption<'a> {
        let chunk_us = match candidate.role {
            Role::Decode => self.config.decode_chunk_us,
            Role::Prefill | Role::Mixed => self.config.mixed_chunk_us,
        } as f64;
        let own_us = candidate.first_token_us(request) as f64;
        let batch = candidate.batch();
        let step_us = candidate.step_us((batch + 1).min(candidate.engine.batch_requests));
        // Each step reads one chunk; without a running batch the prompt is read at full rate.
        let steps = (own_us / chunk_us).ceil();
        let first_us = if batch == 0 {
            own_us
        } else {
            own_us + steps * step_us
        };
        let first_us = first_us.max(candidate.slot_wait_us(request));
        // A step that reads a chunk is longer by the time of the chunk. Chunks are needed for the prompts
        // that wait now and for those of the requests that will replace the batch. On a decode engine,
        // every step counts as one that reads a chunk.
        let outputs = f64::from(request.max_output_tokens.max(1));
        let mean_read_us =
            mean_request.read_tokens * 1e6 / f64::from(candidate.engine.prefill_tokens_per_s);
        let replaced = f64::from(batch) / mean_request.output_tokens.max(1.0);
        let needed_share = (steps / outputs + replaced * mean_read_us / chunk_us).min(1.0);
        let chunk_share = match candidate.role {
            Role::Decode => 1.0,
            Role::Prefill | Role::Mixed => needed_share,
        };
        route_option(
            candidate,
            candidate,
            first_us,
            step_us + chunk_share * chunk_us,
            targets,
        )
    }

    fn split<'a>(
        &self,
        prefill: &'a Candidate,
        decode: &'a Candidate,
        request: &RequestFacts,
        targets: Targets,
    ) -> RouteOption<'a> {
        let moved_us = request.prompt_tokens * 1_000_000 / self.config.transfer_tokens_per_s;
        let step_us = decode.step_us((decode.batch() + 1).min(decode.engine.batch_requests));
        let read_us = prefill.first_token_us(request) as f64;
        // The request joins the batch at the end of the current step.
        let moved_us = (self.config.transfer_us + moved_us) as f64;
        let first_us = (read_us + moved_us).max(decode.slot_wait_us(request)) + 1.5 * step_us;
        route_option(prefill, decode, first_us, step_us, targets)
    }

    /// Draws two of the options near the best one and returns the better of the two.
    fn draw<'a, 'b, R>(
        &self,
        options: &'b [RouteOption<'a>],
        rng: &mut R,
    ) -> Option<&'b RouteOption<'a>>
    where
        R: Rng + ?Sized,
    {
        let best = options.first()?;
        let limit_us = best.first_token_us + self.config.near_best_us;
        let near = options.iter().take_while(|option| {
            option.is_on_time == best.is_on_time && option.first_token_us <= limit_us
        });
        let near = near.count();
        let first = rng.random_range(0..near);
        let second = rng.random_range(0..near);
        options.get(first.min(second))
    }
}

/// Returns the engine time that a request takes with its output at full length, in microseconds.
pub fn engine_us(request: &RequestFacts, prefill: &Candidate, decode: &Candidate) -> u64 {
    let read = request.prompt_tokens.saturating_sub(prefill.cached_tokens);
    let read_us = read * 1_000_000 / u64::from(prefill.engine.prefill_tokens_per_s);
    let output_us = u64::from(request.max_output_tokens) * 1_000_000
        / u64::from(decode.engine.decode_tokens_per_s);
    read_us + output_us
}
