//! Load generator that sends requests at the rates and mixes of a plan, limited in number and
//! duration.
//!
//! The generator is open-loop: start times of requests are independent of the responses, so that a
//! slow system does not reduce its own load.

mod report;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::StreamExt;
use http_body_util::BodyExt;
use hyper::Method;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::Instant;

pub use report::{Outcome, Percentiles, PhaseReport, Report};

use crate::client::Client;
use crate::engine::text;

/// Plan of a load test.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Seed of arrival times, request classes and prompts.
    #[serde(default)]
    pub seed: u64,
    /// Name of the model to request.
    pub model: String,
    /// Maximum time to the first token for an answer to count as on time.
    pub first_token_ms: u64,
    /// Maximum mean time between tokens for an answer to count as on time.
    pub between_tokens_ms: u64,
    /// Maximum number of requests over all phases.
    pub max_requests: usize,
    /// Time after which an incomplete answer counts as broken.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Prompts to use in rotation; if empty, prompts are generated.
    #[serde(default)]
    pub prompts: Vec<String>,
    /// Whether answers are compared with the expected output of the engine stand-ins.
    #[serde(default)]
    pub verify: bool,
    /// Consecutive phases of the load.
    pub phases: Vec<Phase>,
}

const fn default_timeout_ms() -> u64 {
    60_000
}

/// A phase with a constant rate and mix.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Name of the phase in the report.
    pub name: String,
    /// Duration of the phase.
    pub seconds: f64,
    /// Mean arrival rate; arrivals are a Poisson process.
    pub requests_per_s: f64,
    /// Request classes of the phase; at least one.
    pub mix: Vec<RequestClass>,
}

/// A class of requests with equal lengths.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// Weight of the class relative to the other classes of the mix.
    pub share: f64,
    /// Length of generated prompts.
    pub prompt_tokens: u64,
    /// Maximum length of the answer.
    pub output_tokens: u64,
}

#[derive(Debug)]
struct Request {
    /// Index of the phase in the plan.
    phase: usize,
    /// Time of sending since the start of the load.
    at: Duration,
    prompt: String,
    output_tokens: u64,
    seed: u64,
}

impl Plan {
    /// Draws all requests of the plan.
    fn requests(&self) -> Vec<Request> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut requests = Vec::new();
        let mut phase_start = 0.0;
        for (phase, part) in self.phases.iter().enumerate() {
            let mut at = 0.0;
            loop {
                let uniform = rng.random::<f64>();
                at -= (1.0 - uniform).ln() / part.requests_per_s;
                if at >= part.seconds || requests.len() >= self.max_requests {
                    break;
                }
                let class = pick_class(&part.mix, rng.random::<f64>());
                let seed = rng.random::<u32>().into();
                requests.push(Request {
                    phase,
                    at: Duration::from_secs_f64(phase_start + at),
                    prompt: self.prompt(requests.len(), class, seed),
                    output_tokens: class.output_tokens,
                    seed,
                });
            }
            phase_start += part.seconds;
        }
        requests
    }

    fn prompt(&self, number: usize, class: &RequestClass, seed: u64) -> String {
        if self.prompts.is_empty() {
            let words = (0..class.prompt_tokens).map(|i| format!("w{}", (seed + i) % 100_003));
            words.collect::<Vec<_>>().join(" ")
        } else {
            self.prompts[number % self.prompts.len()].clone()
        }
    }
}

fn pick_class(mix: &[RequestClass], uniform: f64) -> &RequestClass {
    let total: f64 = mix.iter().map(|class| class.share).sum();
    let mut left = uniform * total;
    for class in mix {
        left -= class.share;
        if left < 0.0 {
            return class;
        }
    }
    mix.last().expect("a mix has at least one request class")
}

/// Sends the load to the targets in rotation and returns the results.
pub async fn run(plan: &Plan, targets: &[SocketAddr]) -> Report {
    let plan = Arc::new(plan.clone());
    let report = Arc::new(Mutex::new(Report::new(&plan)));
    let client = Client::open();
    let start = Instant::now();
    let mut running = JoinSet::new();
    for (i, request) in plan.requests().into_iter().enumerate() {
        tokio::time::sleep_until(start + request.at).await;
        let target = targets[i % targets.len()];
        let (plan, client, report) = (Arc::clone(&plan), client.clone(), Arc::clone(&report));
        running.spawn(async move {
            let timeout = Duration::from_millis(plan.timeout_ms);
            let sent_request = send_request(&plan, &client, target, &request);
            let outcome = tokio::time::timeout(timeout, sent_request).await;
            let outcome = outcome.unwrap_or_else(|_late| Outcome::Broken("timeout".to_owned()));
            let mut report = report.lock().expect("the lock is not poisoned");
            report.add(request.phase, &outcome);
        });
    }
    while running.join_next().await.is_some() {}
    let mut report = report.lock().expect("the lock is not poisoned").clone();
    report.duration_s = start.elapsed().as_secs_f64();
    report
}

async fn send_request(
    plan: &Plan,
    client: &Client,
    target: SocketAddr,
    request: &Request,
) -> Outcome {
    let body = json!({
        "model": plan.model,
        "prompt": request.prompt,
        "max_tokens": request.output_tokens,
        "seed": request.seed,
        "stream": true,
    });
    let sent = Instant::now();
    let path = "/v1/completions";
    let started = client
        .start(Method::POST, target, path, &[], body.to_string())
        .await;
    let response = match started {
        Ok(response) => response,
        Err(error) => return Outcome::Broken(error.to_string()),
    };
    if response.status() != hyper::StatusCode::OK {
        let status = response.status();
        let reason = response
            .headers()
            .get("x-reason")
            .and_then(|value| value.to_str().ok());
        return Outcome::Refused(reason.unwrap_or(status.as_str()).to_owned());
    }
    let mut stream = Box::pin(response.into_body().into_data_stream());
    let mut buffer = Vec::new();
    let mut answer = String::new();
    let mut tokens = 0_u32;
    let (mut first, mut last) = (sent, sent);
    while let Some(chunk) = stream.next().await {
        let Ok(chunk) = chunk else {
            return Outcome::Broken("connection broke".to_owned());
        };
        buffer.extend_from_slice(&chunk);
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = buffer.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line);
            let Some(data) = line.trim_end().strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                return completed(plan, request, &answer, tokens, [sent, first, last]);
            }
            let event: Value = serde_json::from_str(data).unwrap_or_default();
            if let Some(reason) = event["error"]["reason"].as_str() {
                return Outcome::Broken(reason.to_owned());
            }
            let text = event["choices"][0]["text"].as_str().unwrap_or_default();
            if text.is_empty() {
                continue;
            }
            answer.push_str(text);
            last = Instant::now();
            if tokens == 0 {
                first = last;
            }
            tokens += 1;
        }
    }
    Outcome::Broken("no end".to_owned())
}

fn completed(
    plan: &Plan,
    request: &Request,
    answer: &str,
    tokens: u32,
    [sent, first, last]: [Instant; 3],
) -> Outcome {
    let expected = || text::answer(&request.prompt, request.seed, request.output_tokens);
    if plan.verify && answer != expected() {
        return Outcome::Wrong;
    }
    let gaps = tokens.saturating_sub(1).max(1);
    Outcome::Completed {
        first_token: first - sent,
        between_tokens: (last - first) / gaps,
    }
}
