//! The data plane of a node in the test process, with scripted engines.
//!
//! Caller server, engine client and proxy are those of the node, over loopback sockets. There is no
//! control thread: the tests write the snapshot of the control state themselves, so that each state
//! can be produced directly.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::{Method, Response, StatusCode};
use serde_json::{Value, json};
use tealsaddle_core::inventory::{Inventory, Role};
use tealsaddle_core::load::LoadReport;
use tealsaddle_node::caller::server::{self, CallerServer};
use tealsaddle_node::engine::http::HttpEngineClient;
use tealsaddle_node::metrics::Counters;
use tealsaddle_node::platform::http::HttpPlatform;
use tealsaddle_node::settings::Settings;
use tealsaddle_node::traffic::{PeerEndpoint, Snapshot, Traffic};
use tealsaddle_testkit::client::{Answer, Client};
use tealsaddle_testkit::engine::text;
use tealsaddle_testkit::engine::wire::{GenerateEvent, GenerateRequest};
use tealsaddle_testkit::http::{self, Server};
use tealsaddle_testkit::process::{NodeConfig, free_address};
use tokio_util::sync::CancellationToken;

/// Loopback address with a port that the system chooses.
pub const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Data plane of a node under test.
pub struct TestNode {
    pub traffic: Arc<Traffic>,
    pub server: Option<CallerServer>,
    pub address: SocketAddr,
    pub client: Client,
}

impl TestNode {
    /// Starts a node in zone `a` with a configuration in force. `limits` is the YAML of the settings
    /// section of that name.
    pub async fn start_with(yaml: &str, platform: SocketAddr, limits: &str) -> Self {
        let mut config = NodeConfig::new("vm-1", "a", platform);
        limits.clone_into(&mut config.limits);
        let settings = Settings::from_yaml(&config.to_yaml()).expect("valid settings");
        let counters = Counters::open(&settings.metrics).expect("counters without a collector");
        let key_value = HttpPlatform::open(platform, settings.platform_timeout);
        let engines = Arc::new(HttpEngineClient::open());
        let traffic = Traffic::new(settings, engines, Arc::new(key_value), counters);
        let traffic = Arc::new(traffic);
        let inventory = Inventory::from_yaml(yaml, 1).expect("a valid configuration");
        let own = inventory.engines.values().filter(|e| &*e.zone == "a");
        let snapshot = Snapshot {
            open_engines: own.map(|e| (Arc::clone(&e.name), e.initial_role)).collect(),
            inventory: Some(Arc::new(inventory)),
            is_registered: true,
            ..Snapshot::default()
        };
        traffic.snapshot.store(Arc::new(snapshot));
        let server = server::bind(ANY_PORT, Arc::clone(&traffic)).await;
        let server = server.expect("the server starts");
        Self {
            traffic,
            address: server.address(),
            server: Some(server),
            client: Client::open(),
        }
    }

    /// Starts a node without a platform and with default limits.
    pub async fn start(yaml: &str) -> Self {
        Self::start_with(yaml, free_address(), "").await
    }

    /// Applies a change to the current snapshot.
    pub fn publish<F>(&self, change: F)
    where
        F: FnOnce(&mut Snapshot),
    {
        let mut snapshot = Snapshot::clone(&self.traffic.snapshot.load());
        change(&mut snapshot);
        self.traffic.snapshot.store(Arc::new(snapshot));
    }

    pub fn count(&self, counter: &str) -> u64 {
        let counters = self.traffic.counters.snapshot();
        counters.get(counter).copied().unwrap_or(0)
    }

    pub async fn get(&self, path: &str) -> Answer {
        let call = self.client.call(Method::GET, self.address, path, &[], "");
        call.await.expect("an answer")
    }

    pub async fn post(&self, path: &str, headers: &[(&str, &str)], body: &str) -> Answer {
        let body = body.to_owned();
        let call = self
            .client
            .call(Method::POST, self.address, path, headers, body);
        call.await.expect("an answer")
    }

    /// Requests a completion of the prompt `p q` from model `m`.
    pub async fn complete(&self, max_tokens: u64, is_streamed: bool) -> Answer {
        self.post("/v1/completions", &[], &body(max_tokens, is_streamed))
            .await
    }

    /// Sets the load reported by an engine.
    pub fn report_load(&self, engine: &str, role: Role, running: u32, queued_prefill_tokens: u64) {
        let report = LoadReport {
            sampled_at_us: tealsaddle_node::clock::now_us(),
            role,
            is_changing: false,
            running,
            waiting: 0,
            queued_prefill_tokens,
            kv_used_tokens: 0,
        };
        self.traffic.on_load_report(&engine.into(), report);
    }

    /// Returns this node as a peer in another node's snapshot.
    pub fn as_peer(&self, zone: &str) -> PeerEndpoint {
        PeerEndpoint {
            vm: "vm-peer".into(),
            zone: zone.into(),
            caller_address: self.address,
            is_registered: true,
        }
    }
}

pub fn body(max_tokens: u64, is_streamed: bool) -> String {
    json!({
        "model": "m", "prompt": "p q", "max_tokens": max_tokens, "seed": 7,
        "stream": is_streamed, "stream_options": { "include_usage": true },
    })
    .to_string()
}

/// Returns the text that every engine generates for [`body`].
pub fn answer_text(max_tokens: u64) -> String {
    text::answer("p q", 7, max_tokens)
}

/// Returns a configuration with model `m` and engines of zone `a`, given by address and role.
pub fn config(engines: &[(SocketAddr, &str)]) -> String {
    let mut yaml = "zones: [{name: a, spill_to: [b]}, {name: b}]\n\
                    models: [{name: m, first_token_ms: 100, between_tokens_ms: 37}]\nengines:\n"
        .to_owned();
    for (i, (address, role)) in engines.iter().enumerate() {
        writeln!(
            yaml,
            "  - {{name: e{i}, zone: a, vm: vm-e{i}, address: \"{address}\", models: [m], role: {role}, \
             prefill_tokens_per_s: 100000, decode_tokens_per_s: 10000, batch_requests: 64, \
             kv_capacity_tokens: 10000000}}"
        )
        .expect("writing to a string cannot fail");
    }
    yaml
}

/// Step of a scripted engine response.
#[derive(Debug, Clone)]
pub enum Step {
    /// Sends a line.
    Line(String),
    /// Waits before the next step.
    Wait(Duration),
    /// Is silent until the token is cancelled.
    WaitFor(CancellationToken),
    /// Breaks the connection.
    Break,
}

/// Scripted engine that records the requests it receives.
pub struct ScriptedEngine {
    server: Server,
    received: Arc<Mutex<Vec<(String, Value)>>>,
}

impl ScriptedEngine {
    /// Starts an engine whose response to `/generate` request number `n`, from 0, is
    /// `script(n, request)`.
    pub async fn start<F>(script: F) -> Self
    where
        F: Fn(usize, &GenerateRequest) -> Result<Vec<Step>, StatusCode> + Send + Sync + 'static,
    {
        let received = Arc::<Mutex<Vec<(String, Value)>>>::default();
        let script = Arc::new(script);
        let server = http::bind(ANY_PORT, {
            let received = Arc::clone(&received);
            move |request| {
                let (received, script) = (Arc::clone(&received), Arc::clone(&script));
                async move {
                    let path = request.uri().path().to_owned();
                    let body = request.into_body().collect().await.expect("a whole body");
                    let value: Value = serde_json::from_slice(&body.to_bytes()).expect("JSON");
                    let number = {
                        let mut received = received.lock().expect("no panic");
                        received.push((path.clone(), value.clone()));
                        received
                            .iter()
                            .filter(|(path, _)| path == "/generate")
                            .count()
                    };
                    if path != "/generate" {
                        return http::json(StatusCode::OK, &"cancelled");
                    }
                    let request = serde_json::from_value(value).expect("a request");
                    match script(number - 1, &request) {
                        Ok(steps) => run_script(steps),
                        Err(status) => http::json(status, &"refused"),
                    }
                }
            }
        });
        let server = server.await.expect("the engine starts");
        Self { server, received }
    }

    /// Starts an engine that completes every request, with a pause before each token.
    pub async fn healthy(pause_ms: u64) -> Self {
        Self::start(move |_, request| Ok(full_answer(request, pause_ms))).await
    }

    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the bodies of the requests to a path.
    pub fn received(&self, path: &str) -> Vec<Value> {
        let received = self.received.lock().expect("no panic");
        let of_path = received.iter().filter(|(called, _)| called == path);
        of_path.map(|(_, body)| body.clone()).collect()
    }

    pub fn generate_calls(&self) -> usize {
        self.received("/generate").len()
    }
}

fn run_script(steps: Vec<Step>) -> Response<http::Body> {
    let frames = stream::iter(steps).filter_map(|step| async move {
        match step {
            Step::Line(line) => Some(Ok(Frame::data(format!("{line}\n").into()))),
            Step::Wait(time) => {
                tokio::time::sleep(time).await;
                None
            }
            Step::WaitFor(token) => {
                token.cancelled().await;
                None
            }
            // The pause lets the server send buffered frames, which the error would discard.
            Step::Break => {
                tokio::time::sleep(Duration::from_millis(30)).await;
                Some(Err(std::io::Error::other("scripted")))
            }
        }
    });
    Response::new(StreamBody::new(frames).boxed_unsync())
}

pub fn event_line(event: &GenerateEvent) -> Step {
    Step::Line(serde_json::to_string(event).expect("an event is JSON"))
}

/// Returns the event of one token.
pub fn token(request: &GenerateRequest, index: u64) -> Step {
    event_line(&GenerateEvent {
        attempt_id: request.attempt_id.clone(),
        index: Some(index),
        text: Some(text::token(&request.prompt, request.seed, index)),
        ..GenerateEvent::default()
    })
}

/// Returns the last event, with the number of output tokens counted by the engine.
pub fn end_event(request: &GenerateRequest, output_tokens: u64) -> Step {
    event_line(&GenerateEvent {
        attempt_id: request.attempt_id.clone(),
        done: true,
        finish_reason: Some("length".to_owned()),
        prompt_tokens: Some(2),
        output_tokens: Some(output_tokens),
        ..GenerateEvent::default()
    })
}

/// Returns the event of a prefill engine with the handle of the exported KV cache.
pub fn kv_export_event(request: &GenerateRequest) -> Step {
    event_line(&GenerateEvent {
        attempt_id: request.attempt_id.clone(),
        kv_handle: Some("kv-1".to_owned()),
        ..GenerateEvent::default()
    })
}

/// Returns the steps of a complete response for any stage.
pub fn full_answer(request: &GenerateRequest, pause_ms: u64) -> Vec<Step> {
    let pause = Step::Wait(Duration::from_millis(pause_ms));
    if request.stage == "prefill" {
        return vec![pause, kv_export_event(request)];
    }
    let tokens = (request.resume_at..request.max_tokens)
        .flat_map(|index| [pause.clone(), token(request, index)]);
    let mut steps: Vec<Step> = tokens.collect();
    steps.push(end_event(request, request.max_tokens - request.resume_at));
    steps
}

/// Returns the events of the tokens from the resume position up to `to`, excluded.
pub fn tokens(request: &GenerateRequest, to: u64) -> Vec<Step> {
    (request.resume_at..to)
        .map(|index| token(request, index))
        .collect()
}
