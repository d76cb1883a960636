//! Choice of the engines for an attempt, on the snapshot in force.

use std::sync::Arc;

use tealsaddle_core::admission::{Estimate, Targets};
use tealsaddle_core::decision::{Decision, DecisionKind};
use tealsaddle_core::inventory::{Engine, Role};
use tealsaddle_core::name::Name;
use tealsaddle_core::route::{Candidate, RequestFacts, RouteChoice, RouteTable, Routed, ZoneOffer};

use super::completion::Completion;
use super::forward;
use super::response::Refusal;
use crate::clock;
use crate::traffic::{InFlightGuard, PeerEndpoint, Snapshot, Traffic};

/// An engine on which the request is counted.
#[derive(Debug)]
pub struct Counted {
    /// The engine.
    pub engine: Arc<Engine>,
    /// The count, from before the check that the engine takes work.
    pub guard: InFlightGuard,
}

/// How an attempt is to be run.
#[derive(Debug)]
pub enum Plan {
    /// One engine does everything.
    Single(Counted),
    /// One engine reads the prompt, the other imports its KV cache and generates.
    Split {
        /// Reads the prompt.
        prefill: Counted,
        /// Generates the output; it is counted when the attempt gets there.
        decode: Arc<Engine>,
    },
}

/// Where a request is to be run.
#[derive(Debug)]
pub enum Selection {
    /// On engines of this zone, with what admission needs to know.
    Here(Plan, Estimate, Targets),
    /// In another zone, through one of these nodes.
    Elsewhere(Vec<PeerEndpoint>),
    /// Nowhere now.
    None,
}

/// Choices that are repeated when a table changes between the choice and the check.
const MAX_CHOICES: usize = 4;

/// Chooses engines for the first attempt, or nodes of another zone.
pub fn first(traffic: &Traffic, completion: &Completion, may_spill: bool) -> Selection {
    choose(traffic, completion, &[], true, may_spill)
}

/// Chooses engines for another attempt; `failed` are left out as long as others remain.
pub fn again(
    traffic: &Traffic,
    completion: &Completion,
    failed: &[Name],
    may_split: bool,
) -> Option<Plan> {
    // What is left of an answer is not passed on; another node would start it anew.
    match choose(traffic, completion, failed, may_split, false) {
        Selection::Here(plan, ..) => Some(plan),
        Selection::Elsewhere(_) | Selection::None => None,
    }
}

/// The refusal of a request for which there is no engine.
pub fn no_engine() -> Refusal {
    Refusal::busy("no_engine", "no engine takes work for the model now")
}

/// Targets of a request: the prompt's own reading time on an idle engine is added, so that a long
/// prompt is not late by its length alone.
fn targets(completion: &Completion, candidates: &[Candidate]) -> Targets {
    let rates = candidates.iter().map(|c| c.engine.prefill_tokens_per_s);
    let fastest = u64::from(rates.max().unwrap_or(1).max(1));
    let own_us = completion.prompt_tokens.saturating_mul(1_000_000) / fastest;
    Targets {
        first_token_us: completion.model.first_token_ms * 1_000 + own_us,
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
        let candidates = usable(traffic, all, failed, may_split);
        let targets = targets(completion, &candidates);
        let facts = facts(completion, targets);
        let neighbours = if may_spill {
            offers(traffic, &snapshot, completion)
        } else {
            Vec::new()
        };
        let table = RouteTable {
            candidates: &candidates,
            neighbours: &neighbours,
            targets,
            typical: traffic.typical_request(&completion.model.name),
        };
        let now_us = clock::now_us();
        let routed = traffic
            .router
            .choose(&table, &facts, now_us, &mut rand::rng());
        if may_spill && (routed.spill_to.is_some() || matches!(routed.choice, RouteChoice::None)) {
            let model = &completion.model.name;
            let zone = routed.spill_to.as_ref();
            let peers = forward::spill_peers(traffic, &snapshot, model, zone);
            if !peers.is_empty() {
                record(traffic, completion, routed, "another zone");
                return Selection::Elsewhere(peers);
            }
        }
        let plan = match &routed.choice {
            RouteChoice::Single(engine) => traffic.begin_request(&engine.name).map(|guard| {
                Plan::Single(Counted {
                    engine: Arc::clone(engine),
                    guard,
                })
            }),
            RouteChoice::Split { prefill, decode } => {
                traffic.begin_request(&prefill.name).map(|guard| {
                    let prefill = Counted {
                        engine: Arc::clone(prefill),
                        guard,
                    };
                    Plan::Split {
                        prefill,
                        decode: Arc::clone(decode),
                    }
                })
            }
            RouteChoice::None => {
                record(traffic, completion, routed, "none");
                return Selection::None;
            }
        };
        if let Some(plan) = plan {
            let estimate = Estimate {
                engine_us: routed.engine_us,
                first_token_us: routed.first_token_us,
                between_tokens_us: routed.between_tokens_us,
                waiting: candidates.iter().map(|c| c.load.waiting).sum(),
                is_draining: false,
            };
            record(traffic, completion, routed, &describe(&plan));
            return Selection::Here(plan, estimate, targets);
        }
        traffic.counters.increment("route.closed_meanwhile");
    }
    Selection::None
}

fn offers(traffic: &Traffic, snapshot: &Snapshot, completion: &Completion) -> Vec<ZoneOffer> {
    let model = &completion.model.name;
    let zones = forward::spill_zones(traffic, snapshot);
    let offers = zones.into_iter().filter_map(|zone| {
        let load = snapshot
            .zone_spare_capacity
            .get(&(Name::clone(&zone), Name::clone(model)))?;
        Some(ZoneOffer {
            zone,
            spare_prefill_tokens: load.spare_prefill_tokens,
            spare_decode_requests: load.spare_decode_requests,
        })
    });
    offers.collect()
}

fn facts(completion: &Completion, targets: Targets) -> RequestFacts {
    RequestFacts {
        model: Name::clone(&completion.model.name),
        prompt_tokens: completion.prompt_tokens,
        max_output_tokens: completion.max_tokens as u32,
        priority: completion.priority,
        prefix_hash: completion.prefix_blocks.first().copied().unwrap_or(0),
        first_token_due_us: completion.arrived_us + targets.first_token_us,
    }
}

fn usable(
    traffic: &Traffic,
    all: Vec<Candidate>,
    failed: &[Name],
    may_split: bool,
) -> Vec<Candidate> {
    let generates = |candidate: &Candidate| candidate.role != Role::Prefill;
    // After a failed split one engine does everything, and an engine for prefill alone cannot.
    let all = all
        .into_iter()
        .filter(|candidate| may_split || generates(candidate));
    let all: Vec<Candidate> = all.collect();
    let untried = |c: &&Candidate| !failed.contains(&c.engine.name);
    let sound = |c: &&Candidate| !traffic.recent_failures.contains(&c.engine.name);
    // With no other engine left the same one is tried again, since its connection may be at fault.
    let untried: Vec<Candidate> = all.iter().filter(untried).cloned().collect();
    let sound: Vec<Candidate> = untried.iter().filter(sound).cloned().collect();
    let mut tiers = [sound, untried].into_iter();
    tiers.find(|tier| tier.iter().any(generates)).unwrap_or(all)
}

fn describe(plan: &Plan) -> String {
    match plan {
        Plan::Single(counted) => counted.engine.name.to_string(),
        Plan::Split { prefill, decode } => format!("{} -> {}", prefill.engine.name, decode.name),
    }
}

fn record(traffic: &Traffic, completion: &Completion, routed: Routed, choice: &str) {
    traffic.record(Decision {
        at_us: clock::now_us(),
        kind: DecisionKind::Route,
        subject: completion.request_id.clone(),
        choice: choice.to_owned(),
        reason: routed.reason.to_owned(),
        inputs: vec![
            ("model".to_owned(), completion.model.name.to_string()),
            (
                "prompt_tokens".to_owned(),
                completion.prompt_tokens.to_string(),
            ),
        ],
        alternatives: routed.alternatives,
    });
}
