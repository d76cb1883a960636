//! Selection of the engines for an attempt, based on the current snapshot.

use std::sync::Arc;

use tealsaddle_core::admission::{Estimate, Targets};
use tealsaddle_core::decision::{Decision, DecisionKind};
use tealsaddle_core::inventory::{Engine, Role};
use tealsaddle_core::name::Name;
use tealsaddle_core::route::{
    Candidate, RequestFacts, RouteChoice, RouteDecision, RouteTable, ZoneCapacity,
};

use super::completion::Completion;
use super::forward;
use super::response::Refusal;
use crate::clock;
use crate::traffic::{InFlightGuard, PeerEndpoint, Snapshot, Traffic};

/// An engine selected for an attempt, with the request in its in-flight count.
#[derive(Debug)]
pub struct CountedEngine {
    /// The selected engine.
    pub engine: Arc<Engine>,
    /// Guard of the engine's in-flight count. It is taken before the check that the engine accepts work,
    /// so that a drain that starts between the two waits for the request.
    pub in_flight: InFlightGuard,
}

/// Engines and stages of an attempt.
#[derive(Debug)]
pub enum AttemptPlan {
    /// One engine runs prefill and decode.
    Single(CountedEngine),
    /// One engine runs the prefill; the other imports its KV cache and runs the decode.
    Split {
        /// Engine that processes the prompt.
        prefill: CountedEngine,
        /// Engine that generates the output; the request is counted on it after the prefill.
        decode: Arc<Engine>,
    },
}

/// Where a request is to run.
#[derive(Debug)]
pub enum Selection {
    /// On engines of this zone, with the input of admission control.
    Local(AttemptPlan, Estimate, Targets),
    /// In another zone, forwarded to one of these nodes.
    OtherZone(Vec<PeerEndpoint>),
    /// No engine can take the request now.
    None,
}

/// Maximum number of choices for one attempt. A choice is repeated if a new routing table has closed
/// the chosen engine in the meantime.
const MAX_CHOICES: usize = 4;

/// Selects engines for the first attempt, or nodes of another zone if `may_spill` allows them.
pub fn for_first_attempt(traffic: &Traffic, completion: &Completion, may_spill: bool) -> Selection {
    choose(traffic, completion, &[], true, may_spill)
}

/// Selects engines for a further attempt. Engines in `failed` are used only if no other is left, and
/// `may_split` says whether prefill and decode may run on different engines.
pub fn for_retry(
    traffic: &Traffic,
    completion: &Completion,
    failed: &[Name],
    may_split: bool,
) -> Option<AttemptPlan> {
    // The rest of a response is not forwarded, since another node would start from the first token.
    match choose(traffic, completion, failed, may_split, false) {
        Selection::Local(plan, ..) => Some(plan),
        Selection::OtherZone(_) | Selection::None => None,
    }
}

/// Returns the refusal of a request for which no engine is available.
pub fn no_engine() -> Refusal {
    Refusal::unavailable("no_engine", "no engine takes work for the model now")
}

/// Returns the latency targets of a request. The prefill time of the prompt on an idle engine is
/// added, so that a long prompt does not miss its target because of its length alone.
fn targets(completion: &Completion, candidates: &[Candidate]) -> Targets {
    let rates = candidates.iter().map(|c| c.engine.prefill_tokens_per_s);
    let fastest = u64::from(rates.max().unwrap_or(1).max(1));
    let prefill_us = completion.prompt_tokens.saturating_mul(1_000_000) / fastest;
    Targets {
        first_token_us: completion.model.first_token_ms * 1_000 + prefill_us,
        between_tokens_us: completion.model.between_tokens_ms * 1_000,
    }
}

fn choose(
    traffic: &Traffic,
    completion: &Completion,
    failed: &[Name],
    may_split: bool,
    may_spill: bool,
) -> Selection {
    for _ in 0..MAX_CHOICES {
        let snapshot = traffic.snapshot.load_full();
        let all = traffic.candidates(&snapshot, &completion.model.name, &completion.prefix_blocks);
        let candidates = filter_candidates(traffic, all, failed, may_split);
        let targets = targets(completion, &candidates);
        let facts = request_facts(completion, targets);
        let other_zones = if may_spill {
            zone_capacities(traffic, &snapshot, completion)
        } else {
            Vec::new()
        };
        let table = RouteTable {
            candidates: &candidates,
            other_zones: &other_zones,
            targets,
            mean_request: traffic.mean_request(&completion.model.name),
        };
        let now_us = clock::now_us();
        let decision = traffic
            .router
            .choose(&table, &facts, now_us, &mut rand::rng());
        if may_spill
            && (decision.spill_to.is_some() || matches!(decision.choice, RouteChoice::None))
        {
            let model = &completion.model.name;
            let zone = decision.spill_to.as_ref();
            let peers = forward::spill_peers(traffic, &snapshot, model, zone);
            if !peers.is_empty() {
                record(traffic, completion, decision, "another zone");
                return Selection::OtherZone(peers);
            }
        }
        let plan = match &decision.choice {
            RouteChoice::Single(engine) => traffic.begin_request(&engine.name).map(|in_flight| {
                AttemptPlan::Single(CountedEngine {
                    engine: Arc::clone(engine),
                    in_flight,
                })
            }),
            RouteChoice::Split { prefill, decode } => {
                traffic.begin_request(&prefill.name).map(|in_flight| {
                    let prefill = CountedEngine {
                        engine: Arc::clone(prefill),
                        in_flight,
                    };
                    AttemptPlan::Split {
                        prefill,
                        decode: Arc::clone(decode),
                    }
                })
            }
            RouteChoice::None => {
                record(traffic, completion, decision, "none");
                return Selection::None;
            }
        };
        if let Some(plan) = plan {
            let estimate = Estimate {
                engine_us: decision.engine_us,
                first_token_us: decision.first_token_us,
                between_tokens_us: decision.between_tokens_us,
                waiting: candidates.iter().map(|c| c.load.waiting).sum(),
                is_draining: false,
            };
            record(traffic, completion, decision, &describe(&plan));
            return Selection::Local(plan, estimate, targets);
        }
        traffic.counters.increment("route.closed_meanwhile");
    }
    Selection::None
}

fn zone_capacities(
    traffic: &Traffic,
    snapshot: &Snapshot,
    completion: &Completion,
) -> Vec<ZoneCapacity> {
    let model = &completion.model.name;
    let zones = forward::spill_zones(traffic, snapshot);
    let zone_capacities = zones.into_iter().filter_map(|zone| {
        let load = snapshot
            .zone_spare_capacity
            .get(&(Name::clone(&zone), Name::clone(model)))?;
        Some(ZoneCapacity {
            zone,
            spare_prefill_tokens: load.spare_prefill_tokens,
            spare_decode_requests: load.spare_decode_requests,
        })
    });
    zone_capacities.collect()
}

fn request_facts(completion: &Completion, targets: Targets) -> RequestFacts {
    RequestFacts {
        model: Name::clone(&completion.model.name),
        prompt_tokens: completion.prompt_tokens,
        max_output_tokens: completion.max_tokens as u32,
        priority: completion.priority,
        prefix_hash: completion.prefix_blocks.first().copied().unwrap_or(0),
        first_token_due_us: completion.arrived_us + targets.first_token_us,
    }
}

fn filter_candidates(
    traffic: &Traffic,
    all: Vec<Candidate>,
    failed: &[Name],
    may_split: bool,
) -> Vec<Candidate> {
    let generates = |candidate: &Candidate| candidate.role != Role::Prefill;
    // After a failed split one engine runs both stages, which prefill-only engines cannot.
    let all = all
        .into_iter()
        .filter(|candidate| may_split || generates(candidate));
    let all: Vec<Candidate> = all.collect();
    let untried = |c: &&Candidate| !failed.contains(&c.engine.name);
    let healthy = |c: &&Candidate| !traffic.recent_failures.contains(&c.engine.name);
    // If no other engine is left, a failed one is tried again, since only its connection may be broken.
    let untried: Vec<Candidate> = all.iter().filter(untried).cloned().collect();
    let healthy: Vec<Candidate> = untried.iter().filter(healthy).cloned().collect();
    let mut tiers = [healthy, untried].into_iter();
    tiers.find(|tier| tier.iter().any(generates)).unwrap_or(all)
}

fn describe(plan: &AttemptPlan) -> String {
    match plan {
        AttemptPlan::Single(counted) => counted.engine.name.to_string(),
        AttemptPlan::Split { prefill, decode } => {
            format!("{} -> {}", prefill.engine.name, decode.name)
        }
    }
}

fn record(traffic: &Traffic, completion: &Completion, decision: RouteDecision, choice: &str) {
    traffic.record(Decision {
        at_us: clock::now_us(),
        kind: DecisionKind::Route,
        subject: completion.request_id.clone(),
        choice: choice.to_owned(),
        reason: decision.reason.to_owned(),
        inputs: vec![
            ("model".to_owned(), completion.model.name.to_string()),
            (
                "prompt_tokens".to_owned(),
                completion.prompt_tokens.to_string(),
            ),
        ],
        alternatives: decision.alternatives,
    });
}
