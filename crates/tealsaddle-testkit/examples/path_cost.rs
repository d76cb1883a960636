//! Measures the latency that a node adds to a call: `path_cost [--node PROGRAM] [--requests N]`.
//!
//! Direct calls to an engine stand-in and calls through one node alternate in the same run, so that
//! other load on the machine affects both equally. A second part saturates the node and relates its
//! throughput to the CPU time of its process.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use getopts::Options;
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use hyper::Method;
use serde_json::json;
use tealsaddle_schema::record::ConfigRecord;
use tealsaddle_testkit::client::{Client, ClientError, wait_until};
use tealsaddle_testkit::engine::server::{self, model_version};
use tealsaddle_testkit::engine::sim::SimConfig;
use tealsaddle_testkit::platform;
use tealsaddle_testkit::platform::faults::VmState;
use tealsaddle_testkit::process::{NodeConfig, NodeProcess};

/// Number of concurrent callers while latency is measured.
const LATENCY_CALLERS: usize = 8;
/// Number of concurrent callers while the node is saturated.
const SATURATION_CALLERS: usize = 64;
/// Number of tokens per answer while latency is measured.
const LATENCY_TOKENS: u64 = 32;
/// Number of tokens per answer while streams saturate the node.
const SATURATION_TOKENS: u64 = 512;
/// Duration of each saturation measurement.
const SATURATION_PERIOD: Duration = Duration::from_secs(8);
/// Clock ticks per second in which Linux reports CPU time to programs; fixed on all platforms.
const TICKS_PER_S: f64 = 100.0;

#[derive(Debug, Clone, Copy)]
enum Endpoint {
    Direct(SocketAddr),
    Node(SocketAddr),
}

/// Latencies at one endpoint, in microseconds.
#[derive(Debug)]
struct Latencies {
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
}

impl Latencies {
    fn new() -> Self {
        let empty = || Histogram::new_with_max(60_000_000, 3).expect("the bounds are valid");
        Self {
            first_token: empty(),
            between_tokens: empty(),
        }
    }

    fn add(&mut self, other: &Self) {
        for (into, from) in [
            (&mut self.first_token, &other.first_token),
            (&mut self.between_tokens, &other.between_tokens),
        ] {
            into.add(from).expect("the bounds are equal");
        }
    }
}

fn engine(model: &str, step_us: u64) -> SimConfig {
    SimConfig {
        models: vec![model_version(model, "1")],
        prefill_tokens_per_s: 200_000,
        step_us,
        step_per_request_us: 0,
        interference: 0.0,
        batch_requests: 512,
        ..SimConfig::default()
    }
}

fn config(slow: SocketAddr, fast: SocketAddr) -> String {
    // The targets are so wide that nothing is refused; the run measures the path and not admission.
    let model = |name: &str| {
        json!({ "name": name, "version": "1", "max_output_tokens": 100_000,
        "first_token_ms": 60_000, "between_tokens_ms": 1_000 })
    };
    let engine = |name: &str, model: &str, address: SocketAddr| {
        json!({ "name": name, "zone": "a", "address": address.to_string(), "models": [model],
            "role": "mixed", "prefill_tokens_per_s": 200_000, "decode_tokens_per_s": 512_000,
            "batch_requests": 512, "kv_capacity_tokens": 100_000_000 })
    };
    json!({
        "zones": [{ "name": "a" }],
        "models": [model("slow"), model("fast")],
        "engines": [engine("e1", "slow", slow), engine("e2", "fast", fast)],
    })
    .to_string()
}

/// Requests one streamed answer, records its latencies and returns its number of tokens.
async fn stream(
    client: &Client,
    endpoint: Endpoint,
    (model, tokens): (&str, u64),
    id: &str,
    latencies: &mut Latencies,
) -> Result<u64, ClientError> {
    let prompt = format!("{id} {}", "word ".repeat(50));
    let (address, path, body, marker) = match endpoint {
        Endpoint::Direct(address) => {
            let body = json!({ "attempt_id": id, "model": model, "prompt": prompt,
                "max_tokens": tokens, "stage": "full", "seed": 1 });
            (address, "/generate", body, &b"\"text\":"[..])
        }
        Endpoint::Node(address) => {
            let body = json!({ "model": model, "prompt": prompt, "max_tokens": tokens,
                "seed": 1, "stream": true });
            (
                address,
                "/v1/completions",
                body,
                &b"\"finish_reason\":null"[..],
            )
        }
    };
    let body = body.to_string();
    let mut last = Instant::now();
    let response = client.start(Method::POST, address, path, &[], body).await?;
    if response.status() != 200 {
        return Err(format!("status {}", response.status()).into());
    }
    let mut body = response.into_body();
    let mut seen = 0;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        let arrived = data
            .windows(marker.len())
            .filter(|part| *part == marker)
            .count() as u64;
        for _ in 0..arrived {
            let now = Instant::now();
            let elapsed_us = now.duration_since(last).as_micros() as u64;
            last = now;
            let histogram = if seen == 0 {
                &mut latencies.first_token
            } else {
                &mut latencies.between_tokens
            };
            histogram.saturating_record(elapsed_us);
            seen += 1;
        }
    }
    if seen == tokens {
        Ok(seen)
    } else {
        Err(format!("{seen} tokens instead of {tokens}").into())
    }
}

/// Alternates between both endpoints with several callers, and returns the latencies of each.
async fn compare(
    direct: SocketAddr,
    node: SocketAddr,
    requests: usize,
) -> Result<(Latencies, Latencies), ClientError> {
    let callers = (0..LATENCY_CALLERS).map(|caller| async move {
        let client = Client::open();
        let (mut by_direct, mut by_node) = (Latencies::new(), Latencies::new());
        for i in 0..requests / LATENCY_CALLERS {
            let model = ("slow", LATENCY_TOKENS);
            let id = format!("{caller}-{i}");
            stream(
                &client,
                Endpoint::Direct(direct),
                model,
                &format!("d{id}"),
                &mut by_direct,
            )
            .await?;
            stream(
                &client,
                Endpoint::Node(node),
                model,
                &format!("n{id}"),
                &mut by_node,
            )
            .await?;
        }
        Ok::<_, ClientError>((by_direct, by_node))
    });
    let (mut direct, mut node) = (Latencies::new(), Latencies::new());
    for result in futures::future::join_all(callers).await {
        let (by_direct, by_node) = result?;
        direct.add(&by_direct);
        node.add(&by_node);
    }
    Ok((direct, node))
}

/// CPU time of a process so far, in user and system mode.
fn cpu_time_s(process: u32) -> std::io::Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    // The program name, in parentheses, may contain spaces.
    let rest = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<f64> = rest
        .split_whitespace()
        .map(|f| f.parse().unwrap_or(0.0))
        .collect();
    Ok((fields[11] + fields[12]) / TICKS_PER_S)
}

/// Saturates the node with answers of `tokens` tokens; returns the number of answers, the number of
/// tokens and the elapsed seconds.
async fn saturate(node: SocketAddr, tokens: u64) -> Result<(u64, u64, f64), ClientError> {
    let started = Instant::now();
    let callers = (0..SATURATION_CALLERS).map(|caller| {
        tokio::spawn(async move {
            let client = Client::open();
            let (mut answers, mut served) = (0, 0);
            let mut latencies = Latencies::new();
            while started.elapsed() < SATURATION_PERIOD {
                let id = format!("s{caller}-{answers}");
                let model = ("fast", tokens);
                served += stream(&client, Endpoint::Node(node), model, &id, &mut latencies).await?;
                answers += 1;
            }
            Ok::<_, ClientError>((answers, served))
        })
    });
    let callers: Vec<_> = callers.collect();
    let (mut answers, mut served) = (0, 0);
    for caller in callers {
        let (some_answers, some_tokens) = caller.await??;
        answers += some_answers;
        served += some_tokens;
    }
    Ok((answers, served, started.elapsed().as_secs_f64()))
}

fn report(name: &str, direct: &Histogram<u64>, node: &Histogram<u64>, target_ms: f64) {
    let ms = |histogram: &Histogram<u64>, q| histogram.value_at_quantile(q) as f64 / 1_000.0;
    for q in [0.5, 0.95, 0.99] {
        let (direct, node) = (ms(direct, q), ms(node, q));
        let added = node - direct;
        print!(
            "{name}, p{:.0}: direct {direct:.3} ms, node {node:.3} ms, ",
            q * 100.0
        );
        println!("added {added:.3} ms");
    }
    let added = ms(node, 0.95) - ms(direct, 0.95);
    let verdict = if added <= target_ms { "met" } else { "missed" };
    println!(
        "{name}: {} samples, target at p95 {target_ms} ms: {verdict}",
        node.len()
    );
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let mut options = Options::new();
    options.optopt("", "node", "program of the node", "PROGRAM");
    options.optopt("", "requests", "requests to each endpoint", "N");
    let matches = options.parse(std::env::args().skip(1))?;
    let program = matches
        .opt_str("node")
        .unwrap_or_else(|| "target/release/tealsaddle".to_owned());
    let requests = matches.opt_get_default("requests", 2_000)?;

    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = platform::bind(any).await?;
    let slow = server::bind(any, engine("slow", 5_000)).await?;
    let fast = server::bind(any, engine("fast", 500)).await?;
    let config = ConfigRecord {
        version: 1,
        yaml: config(slow.address(), fast.address()),
        ..ConfigRecord::default()
    };
    platform.set("config/current", serde_json::to_value(config)?);
    let settings = NodeConfig::new("vm-1", "a", platform.address());
    platform.set_vm("vm-1", "a", settings.peer, VmState::Live);
    let directory = std::env::temp_dir().join("tealsaddle-path-cost");
    let process = NodeProcess::spawn(Path::new(&program), &directory, settings)?;
    let node = process.config.caller;
    let client = Arc::new(Client::open());
    wait_until(|| async {
        let mut unused = Latencies::new();
        let endpoint = Endpoint::Node(node);
        stream(&client, endpoint, ("slow", 1), "ready", &mut unused)
            .await
            .is_ok()
    })
    .await;

    compare(slow.address(), node, LATENCY_CALLERS * 8).await?;
    let (direct, through) = compare(slow.address(), node, requests).await?;
    report(
        "first token",
        &direct.first_token,
        &through.first_token,
        2.0,
    );
    report(
        "between tokens",
        &direct.between_tokens,
        &through.between_tokens,
        0.5,
    );

    for (name, tokens) in [
        ("answers of one token", 1),
        ("long answers", SATURATION_TOKENS),
    ] {
        let before = cpu_time_s(process.id())?;
        let (answers, served, seconds) = saturate(node, tokens).await?;
        let used = cpu_time_s(process.id())? - before;
        println!(
            "{name}: {:.0} requests/s and {:.0} tokens/s with {:.2} cores of the node; per core \
             {:.0} requests/s and {:.0} tokens/s",
            answers as f64 / seconds,
            served as f64 / seconds,
            used / seconds,
            answers as f64 / used,
            served as f64 / used,
        );
    }
    Ok(())
}
