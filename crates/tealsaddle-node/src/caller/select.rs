//! Choice of the engines for an attempt, on the snapshot in force.

use std::sync::Arc;

use tealsaddle_core::decision::{Alternative, Decision, DecisionKind};
use tealsaddle_core::inventory::{Engine, Role};
use tealsaddle_core::load::Send;
use tealsaddle_core::name::Name;
use tealsaddle_core::route::{self, Candidate, RequestFacts, RouteChoice};

use super::completion::Completion;
use super::forward;
use super::response::Refusal;
use crate::clock;
use crate::traffic::{InFlightGuard, PeerEndpoint, Traffic};

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
    /// On engines of this zone.
    Here(Plan),
    /// In another zone, through one of these nodes.
    Elsewhere(Vec<PeerEndpoint>),
    /// Nowhere now.
    None,
}

/// Choices that are repeated when a table changes between the choice and the check.
const MAX_CHOICES: usize = 4;

/// Chooses engines; `failed` are left out as long as others remain.
pub fn choose(
    traffic: &Traffic,
    completion: &Completion,
    failed: &[Name],
    may_split: bool,
) -> Selection {
    let facts = facts(completion);
    for _ in 0..MAX_CHOICES {
        let snapshot = traffic.snapshot.load_full();
        let all = traffic.candidates(&snapshot, &completion.model.name);
        let candidates = usable(all, failed, may_split);
        let choice = route::choose(&candidates, &facts, &mut rand::rng());
        let plan = match choice {
            RouteChoice::Single(engine) => traffic.enter(&engine.name).map(|guard| {
                traffic.on_send(&engine.name, send(&facts, true));
                Plan::Single(Counted { engine, guard })
            }),
            RouteChoice::Split { prefill, decode } => traffic.enter(&prefill.name).map(|guard| {
                traffic.on_send(&prefill.name, send(&facts, false));
                let prefill = Counted {
                    engine: prefill,
                    guard,
                };
                Plan::Split { prefill, decode }
            }),
            RouteChoice::None => {
                let peers = forward::spill_peers(traffic, &snapshot, &completion.model.name);
                let choice = if peers.is_empty() {
                    "none"
                } else {
                    "another zone"
                };
                record(traffic, completion, &facts, &candidates, choice.to_owned());
                return if peers.is_empty() {
                    Selection::None
                } else {
                    Selection::Elsewhere(peers)
                };
            }
        };
        if let Some(plan) = plan {
            record(traffic, completion, &facts, &candidates, describe(&plan));
            return Selection::Here(plan);
        }
        traffic.counters.increment("route.closed_meanwhile");
    }
    Selection::None
}

/// The refusal of a request for which there is no engine.
pub fn no_engine() -> Refusal {
    Refusal::busy("no_engine", "no engine takes work for the model now")
}

fn facts(completion: &Completion) -> RequestFacts {
    RequestFacts {
        model: Name::clone(&completion.model.name),
        prompt_tokens: completion.prompt.split_whitespace().count() as u64,
        max_output_tokens: completion.max_tokens as u32,
        priority: completion.priority,
        prefix_hash: 0,
        first_token_due_us: clock::now_us() + completion.model.first_token_ms * 1_000,
    }
}

fn usable(all: Vec<Candidate>, failed: &[Name], may_split: bool) -> Vec<Candidate> {
    let has_failed = |candidate: &Candidate| failed.contains(&candidate.engine.name);
    let generates = |candidate: &Candidate| candidate.role != Role::Prefill;
    // After a failed split one engine does everything, and an engine for prefill alone cannot.
    let all: Vec<Candidate> = all
        .into_iter()
        .filter(|candidate| may_split || generates(candidate))
        .collect();
    let fresh: Vec<Candidate> = all.iter().filter(|c| !has_failed(c)).cloned().collect();
    // With no other engine left the same one is tried again, since its connection may be at fault.
    if fresh.iter().any(generates) {
        fresh
    } else {
        all
    }
}

fn send(facts: &RequestFacts, decodes: bool) -> Send {
    Send {
        at_us: clock::now_us(),
        prefill_tokens: facts.prompt_tokens,
        decodes,
        kv_tokens: facts.prompt_tokens + u64::from(facts.max_output_tokens),
    }
}

fn describe(plan: &Plan) -> String {
    match plan {
        Plan::Single(counted) => counted.engine.name.to_string(),
        Plan::Split { prefill, decode } => format!("{} then {}", prefill.engine.name, decode.name),
    }
}

fn record(
    traffic: &Traffic,
    completion: &Completion,
    facts: &RequestFacts,
    candidates: &[Candidate],
    choice: String,
) {
    let alternatives = candidates
        .iter()
        .map(|candidate| Alternative {
            name: candidate.engine.name.to_string(),
            score: candidate.first_token_us(facts) as f64 / 1_000.0,
            reason: format!("{}, first token in ms", candidate.role),
        })
        .collect();
    traffic.record(Decision {
        at_us: clock::now_us(),
        kind: DecisionKind::Route,
        subject: completion.request_id.clone(),
        choice,
        reason: "lowest estimated time to the first token of two samples".to_owned(),
        inputs: vec![
            ("model".to_owned(), facts.model.to_string()),
            ("prompt_tokens".to_owned(), facts.prompt_tokens.to_string()),
        ],
        alternatives,
    });
}
