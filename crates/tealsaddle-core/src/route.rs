//! Choice of the engine for a request.
//!
//! Candidates take new work, serve the model and have a usable role. Each is given an estimate of the
//! time to the first token from its corrected load. Among the two best of a random sample the lower
//! estimate wins; the sample keeps many nodes from all sending to the engine that looks idle in the
//! same late report.

use std::sync::Arc;

use rand::Rng;
use rand::RngExt;

use crate::inventory::{Engine, Role};
use crate::load::CorrectedLoad;
use crate::name::Name;

/// What the router knows of a request.
#[derive(Debug, Clone)]
pub struct RequestFacts {
    /// Model that the caller named.
    pub model: Name,
    /// Length of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens that the caller accepts.
    pub max_output_tokens: u32,
    /// Priority class, 0 first.
    pub priority: u32,
    /// Hash of the start of the prompt, for prefix affinity.
    pub prefix_hash: u64,
    /// Time by which the first token is due.
    pub first_token_due_us: u64,
}

/// An engine that takes new work.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The engine.
    pub engine: Arc<Engine>,
    /// Its role in force.
    pub role: Role,
    /// Its load, with own sends.
    pub load: CorrectedLoad,
    /// Prompt tokens that its prefix cache is thought to hold.
    pub cached_tokens: u64,
}

impl Candidate {
    /// Estimated time until the first token of a request, in microseconds.
    pub fn first_token_us(&self, request: &RequestFacts) -> u64 {
        let own = request.prompt_tokens.saturating_sub(self.cached_tokens);
        let tokens = self.load.queued_prefill_tokens + own;
        tokens * 1_000_000 / u64::from(self.engine.prefill_tokens_per_s)
    }
}

/// How a request is to be run.
#[derive(Debug, Clone)]
pub enum RouteChoice {
    /// One engine does everything.
    Single(Arc<Engine>),
    /// One engine reads the prompt, the other imports its KV cache and generates.
    Split {
        /// Reads the prompt.
        prefill: Arc<Engine>,
        /// Generates the output.
        decode: Arc<Engine>,
    },
    /// No engine takes the request.
    None,
}

/// Chooses engines for one request.
pub fn choose<R>(candidates: &[Candidate], request: &RequestFacts, rng: &mut R) -> RouteChoice
where
    R: Rng + ?Sized,
{
    let mixed = pick(candidates, Role::Mixed, rng, |c| c.first_token_us(request));
    if let Some(engine) = mixed {
        return RouteChoice::Single(Arc::clone(&engine.engine));
    }
    let prefill = pick(candidates, Role::Prefill, rng, |c| {
        c.first_token_us(request)
    });
    let decode = pick(candidates, Role::Decode, rng, |c| u64::from(c.load.running));
    match (prefill, decode) {
        (Some(prefill), Some(decode)) => RouteChoice::Split {
            prefill: Arc::clone(&prefill.engine),
            decode: Arc::clone(&decode.engine),
        },
        (None, Some(decode)) => RouteChoice::Single(Arc::clone(&decode.engine)),
        _ => RouteChoice::None,
    }
}

fn pick<'a, R, F>(
    candidates: &'a [Candidate],
    role: Role,
    rng: &mut R,
    cost: F,
) -> Option<&'a Candidate>
where
    R: Rng + ?Sized,
    F: Fn(&Candidate) -> u64,
{
    let usable: Vec<&Candidate> = candidates.iter().filter(|c| c.role == role).collect();
    if usable.is_empty() {
        return None;
    }
    let first = usable[rng.random_range(0..usable.len())];
    let second = usable[rng.random_range(0..usable.len())];
    Some(if cost(second) < cost(first) {
        second
    } else {
        first
    })
}
