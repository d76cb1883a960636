//! The data plane of a node with a snapshot that the test writes, and scripted engines.
//!
//! The caller server, the engine client and the proxying are the real ones over loopback sockets;
//! only the control thread is left out, since these tests bring about its states one by one.

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

pub const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// A node's data plane under test.
pub struct Rig {
    pub traffic: Arc<Traffic>,
    pub server: Option<CallerServer>,
    pub address: SocketAddr,
    pub client: Client,
}

impl Rig {
    /// Starts it in zone `a` with a configuration in force; `limits` is YAML.
    pub async fn with(yaml: &str, platform: SocketAddr, limits: &str) -> Self {
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
        let server = server::bind(ANY, Arc::clone(&traffic)).await;
        let server = server.expect("the server starts");
        Self {
            traffic,
            address: server.address(),
            server: Some(server),
            client: Client::open(),
        }
    }

    /// Starts it without a platform and with the usual limits.
    pub async fn start(yaml: &str) -> Self {
        Self::with(yaml, free_address(), "").await
    }

    /// Changes the snapshot in force.
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

    /// Asks for a completion of model `m` with the prompt `p q`.
    pub async fn complete(&self, max_tokens: u64, is_streamed: bool) -> Answer {
        self.post("/v1/completions", &[], &body(max_tokens, is_streamed))
            .await
    }

    /// Reports the load of an engine.
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

    /// As a peer of another node.
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

/// The answer that every engine would give to [`body`].
pub fn answer_text(max_tokens: u64) -> String {
    text::answer("p q", 7, max_tokens)
}

/// A configuration with model `m` and engines of zone `a` by address and role.
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

/// A step of a scripted answer of an engine.
#[derive(Debug, Clone)]
pub enum Step {
    Line(String),
    Wait(Duration),
    Break,
}

/// A scripted engine that keeps what it was asked.
pub struct Engine {
    server: Server,
    asked: Arc<Mutex<Vec<(String, Value)>>>,
}

impl Engine {
    /// Starts an engine that answers call number `n` by `script(n, request)`.
    pub async fn start<F>(script: F) -> Self
    where
        F: Fn(usize, &GenerateRequest) -> Result<Vec<Step>, StatusCode> + Send + Sync + 'static,
    {
        let asked = Arc::<Mutex<Vec<(String, Value)>>>::default();
        let script = Arc::new(script);
        let server = http::bind(ANY, {
            let asked = Arc::clone(&asked);
            move |request| {
                let (asked, script) = (Arc::clone(&asked), Arc::clone(&script));
                async move {
                    let path = request.uri().path().to_owned();
                    let body = request.into_body().collect().await.expect("a whole body");
                    let value: Value = serde_json::from_slice(&body.to_bytes()).expect("JSON");
                    let number = {
                        let mut asked = asked.lock().expect("no panic");
                        asked.push((path.clone(), value.clone()));
                        asked.iter().filter(|(path, _)| path == "/generate").count()
                    };
                    if path != "/generate" {
                        return http::json(StatusCode::OK, &"cancelled");
                    }
                    let request = serde_json::from_value(value).expect("a request");
                    match script(number - 1, &request) {
                        Ok(steps) => play(steps),
                        Err(status) => http::json(status, &"refused"),
                    }
                }
            }
        });
        let server = server.await.expect("the engine starts");
        Self { server, asked }
    }

    /// Starts an engine that answers everything as it should, with a pause before each token.
    pub async fn good(pause_ms: u64) -> Self {
        Self::start(move |_, request| Ok(whole(request, pause_ms))).await
    }

    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Bodies of the calls of a path.
    pub fn asked(&self, path: &str) -> Vec<Value> {
        let asked = self.asked.lock().expect("no panic");
        let of_path = asked.iter().filter(|(called, _)| called == path);
        of_path.map(|(_, body)| body.clone()).collect()
    }

    pub fn generated(&self) -> usize {
        self.asked("/generate").len()
    }
}

fn play(steps: Vec<Step>) -> Response<http::Body> {
    let frames = stream::iter(steps).filter_map(|step| async move {
        match step {
            Step::Line(line) => Some(Ok(Frame::data(format!("{line}\n").into()))),
            Step::Wait(time) => {
                tokio::time::sleep(time).await;
                None
            }
            // The server would drop what it has not sent yet.
            Step::Break => {
                tokio::time::sleep(Duration::from_millis(30)).await;
                Some(Err(std::io::Error::other("scripted")))
            }
        }
    });
    Response::new(StreamBody::new(frames).boxed_unsync())
}

pub fn line(event: &GenerateEvent) -> Step {
    Step::Line(serde_json::to_string(event).expect("an event is JSON"))
}

/// The event of one token.
pub fn token(request: &GenerateRequest, index: u64) -> Step {
    line(&GenerateEvent {
        attempt_id: request.attempt_id.clone(),
        index: Some(index),
        text: Some(text::token(&request.prompt, request.seed, index)),
        ..GenerateEvent::default()
    })
}

/// The last event, of an engine that counts `output_tokens`.
pub fn done(request: &GenerateRequest, output_tokens: u64) -> Step {
    line(&GenerateEvent {
        attempt_id: request.attempt_id.clone(),
        done: true,
        finish_reason: Some("length".to_owned()),
        prompt_tokens: Some(2),
        output_tokens: Some(output_tokens),
        ..GenerateEvent::default()
    })
}

/// The answer of a prefill engine.
pub fn exported(request: &GenerateRequest) -> Step {
    line(&GenerateEvent {
        attempt_id: request.attempt_id.clone(),
        kv_handle: Some("kv-1".to_owned()),
        ..GenerateEvent::default()
    })
}

/// A whole answer, for any stage.
pub fn whole(request: &GenerateRequest, pause_ms: u64) -> Vec<Step> {
    let pause = Step::Wait(Duration::from_millis(pause_ms));
    if request.stage == "prefill" {
        return vec![pause, exported(request)];
    }
    let tokens = (request.resume_at..request.max_tokens)
        .flat_map(|index| [pause.clone(), token(request, index)]);
    let mut steps: Vec<Step> = tokens.collect();
    steps.push(done(request, request.max_tokens - request.resume_at));
    steps
}

/// The first tokens up to index `to`.
pub fn tokens(request: &GenerateRequest, to: u64) -> Vec<Step> {
    (request.resume_at..to)
        .map(|index| token(request, index))
        .collect()
}
