//! Engines and peers that fall silent and go on.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::{Method, StatusCode};
use tealsaddle_core::inventory::Role;
use tealsaddle_node::traffic::PeerEndpoint;
use tealsaddle_testkit::client::wait_until;
use tealsaddle_testkit::engine::wire::GenerateRequest;
use tealsaddle_testkit::http::{self, Server};
use tealsaddle_testkit::process::free_address;
use tokio_util::sync::CancellationToken;
use yare::parameterized;

use crate::test_node::{
    ANY_PORT, ScriptedEngine, Step, TestNode, answer_text, body, config, end_event, full_answer,
    token, tokens,
};

/// Pause of a node, longer than it waits for the next token of an engine.
const NODE_PAUSE: Duration = Duration::from_secs(3);
/// Number of streams at a node that is paused.
const STREAMS: usize = 16;
/// Length of the answers.
const TOKENS: u64 = 10;

/// Returns the steps of a complete response with a silence before the token at `index`.
fn silent_before(request: &GenerateRequest, index: u64, silence: Step) -> Vec<Step> {
    let index = index.max(request.resume_at);
    let rest = (index..request.max_tokens).map(|index| token(request, index));
    let steps = tokens(request, index).into_iter();
    let steps = steps.chain([silence]).chain(rest);
    let count = request.max_tokens - request.resume_at;
    steps.chain([end_event(request, count)]).collect()
}

/// Starts two engines. Their attempts are numbered in common from 0, and number `n` is silent before the
/// token at `index` until `silences[n]` is cancelled.
async fn silent_engines(index: u64, silences: &[CancellationToken]) -> [ScriptedEngine; 2] {
    let silences: Arc<[CancellationToken]> = silences.into();
    let started = Arc::<AtomicUsize>::default();
    let script = || {
        let (silences, started) = (Arc::clone(&silences), Arc::clone(&started));
        move |_: usize, request: &GenerateRequest| {
            let number = started.fetch_add(1, Ordering::Relaxed);
            let silence = Step::WaitFor(silences[number].clone());
            Ok(silent_before(request, index, silence))
        }
    };
    [
        ScriptedEngine::start(script()).await,
        ScriptedEngine::start(script()).await,
    ]
}

async fn start_node(engines: &[ScriptedEngine]) -> TestNode {
    let roles = engines.iter().map(|engine| (engine.address(), "mixed"));
    TestNode::start(&config(&roles.collect::<Vec<_>>())).await
}

fn count(engines: &[ScriptedEngine], path: &str) -> usize {
    engines.iter().map(|e| e.received(path).len()).sum()
}

async fn until_nothing_is_in_flight(node: &TestNode) {
    wait_until(|| async { node.traffic.in_flight.nonzero_counts().is_empty() }).await;
}

/// What keeps the node from starting another attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Obstacle {
    /// The caller marked the request as not repeatable.
    Marked,
    /// The retry budget is used up.
    Budget,
    /// No engine takes new work.
    ClosedEngines,
}

impl Obstacle {
    /// Counter of the silences after which this obstacle was met.
    const fn counter(self) -> &'static str {
        match self {
            Self::Marked => "silent.not_repeatable",
            Self::Budget => "silent.budget_used_up",
            Self::ClosedEngines => "silent.repeat",
        }
    }
}

/// Guards against an answer that is cut off or refused because its engine fell silent, although no other
/// attempt may take over and the engine goes on.
#[parameterized(
    marked_stream = { Obstacle::Marked, 5, true },
    marked_before_the_first_token = { Obstacle::Marked, 0, true },
    budget_stream = { Obstacle::Budget, 5, true },
    budget_before_the_first_token = { Obstacle::Budget, 0, false },
    closed_engines_stream = { Obstacle::ClosedEngines, 5, false },
    closed_engines_before_the_first_token = { Obstacle::ClosedEngines, 0, true },
)]
#[test_macro(tokio::test)]
async fn silent_engine_goes_on_without_another_attempt(
    obstacle: Obstacle,
    silent_at: u64,
    is_streamed: bool,
) {
    let silence = CancellationToken::new();
    let engine = ScriptedEngine::start({
        let silence = silence.clone();
        move |_, request| {
            let silence = Step::WaitFor(silence.clone());
            Ok(silent_before(request, silent_at, silence))
        }
    });
    let engines = [engine.await];
    let node = start_node(&engines).await;
    let headers: &[(&str, &str)] = match obstacle {
        Obstacle::Marked => &[("x-non-repeatable", "true")],
        Obstacle::Budget | Obstacle::ClosedEngines => &[],
    };
    let obstruct = async {
        wait_until(|| async { count(&engines, "/generate") == 1 }).await;
        if obstacle == Obstacle::ClosedEngines {
            node.publish(|snapshot| snapshot.open_engines.clear());
        }
        while node.count(obstacle.counter()) == 0 {
            while obstacle == Obstacle::Budget && node.traffic.take_retry(&"m".into()) {}
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        silence.cancel();
        std::future::pending::<()>().await;
    };
    let body = body(TOKENS, is_streamed);
    let answer = tokio::select! {
        answer = node.post("/v1/completions", headers, &body) => answer,
        () = obstruct => unreachable!("the obstacle stays until the answer is there"),
    };
    assert_eq!(answer.status, 200, "{answer:?}");
    if is_streamed {
        assert_eq!(answer.streamed_text(), (answer_text(TOKENS), true));
    } else {
        assert_eq!(answer.json()["choices"][0]["text"], answer_text(TOKENS));
    }
    assert_eq!(count(&engines, "/generate"), 1);
    assert_eq!(count(&engines, "/cancel"), 0);
    until_nothing_is_in_flight(&node).await;
}

/// Guards against an answer that ends because the attempt started beside a silent engine is silent as well,
/// although the first engine goes on.
#[parameterized(
    stream = { 5 },
    before_the_first_token = { 0 },
)]
#[test_macro(tokio::test)]
async fn silent_engine_goes_on_before_the_other(silent_at: u64) {
    let silences: [CancellationToken; 3] = std::array::from_fn(|_| CancellationToken::new());
    let engines = silent_engines(silent_at, &silences).await;
    let node = start_node(&engines).await;
    let release = async {
        wait_until(|| async { count(&engines, "/generate") >= 2 }).await;
        silences[0].cancel();
    };
    let (answer, ()) = tokio::join!(node.complete(TOKENS, true), release);
    assert_eq!(answer.streamed_text(), (answer_text(TOKENS), true));
    // Every attempt but the first is cancelled.
    let others = count(&engines, "/generate") - 1;
    wait_until(|| async { count(&engines, "/cancel") == others }).await;
    until_nothing_is_in_flight(&node).await;
}

/// Guards against a silent attempt that is closed before another engine goes on, and against two engines that
/// generate the same stream to its end.
#[parameterized(
    stream = { 5 },
    before_the_first_token = { 0 },
)]
#[test_macro(tokio::test)]
async fn silent_engine_is_cancelled_once_another_goes_on(silent_at: u64) {
    let silences: [CancellationToken; 3] = std::array::from_fn(|_| CancellationToken::new());
    let engines = silent_engines(silent_at, &silences).await;
    let node = start_node(&engines).await;
    let observe = async {
        wait_until(|| async { count(&engines, "/generate") >= 2 }).await;
        let cancelled = count(&engines, "/cancel");
        let in_flight = ["e0", "e1"].map(|name| node.traffic.in_flight.count(name));
        silences[1].cancel();
        (cancelled, in_flight)
    };
    let (answer, (cancelled, in_flight)) = tokio::join!(node.complete(TOKENS, true), observe);
    assert_eq!(answer.streamed_text(), (answer_text(TOKENS), true));
    assert_eq!(cancelled, 0);
    assert!(!in_flight.contains(&0), "{in_flight:?}");
    // Every attempt but the second is cancelled.
    let others = count(&engines, "/generate") - 1;
    wait_until(|| async { count(&engines, "/cancel") == others }).await;
    until_nothing_is_in_flight(&node).await;
}

/// Guards against a request that waits without a limit for an engine that never goes on.
#[tokio::test]
async fn endless_silence_is_given_up() {
    let engine = ScriptedEngine::start(|_, request| {
        let silence = Step::WaitFor(CancellationToken::new());
        Ok(silent_before(request, 0, silence))
    });
    let engines = [engine.await];
    let node = start_node(&engines).await;
    let marked = [("x-non-repeatable", "true")];
    let answer = node
        .post("/v1/completions", &marked, &body(TOKENS, true))
        .await;
    let headers = (answer.header("x-outcome"), answer.header("x-reason"));
    assert_eq!((answer.status, headers), (504, ("unknown", "timeout")));
    wait_until(|| async { count(&engines, "/cancel") == 1 }).await;
    until_nothing_is_in_flight(&node).await;
}

/// Guards against a split attempt that ends because one of its two engines fell silent.
#[parameterized(
    prefill = { "prefill" },
    decode = { "decode" },
)]
#[test_macro(tokio::test)]
async fn silent_stage_of_a_split_goes_on(silent_stage: &'static str) {
    let silence = CancellationToken::new();
    let script = || {
        let silence = silence.clone();
        move |_: usize, request: &GenerateRequest| {
            let mut steps = full_answer(request, 0);
            if request.stage == silent_stage {
                steps.insert(0, Step::WaitFor(silence.clone()));
            }
            Ok(steps)
        }
    };
    let engines = [
        ScriptedEngine::start(script()).await,
        ScriptedEngine::start(script()).await,
    ];
    let roles = [
        (engines[0].address(), "prefill"),
        (engines[1].address(), "decode"),
    ];
    let yaml = config(&roles).replace("decode_tokens_per_s: 10000", "decode_tokens_per_s: 2000");
    let node = TestNode::start(&yaml).await;
    // The batch is so large that the decode engine has no capacity for prefill.
    node.report_load("e1", Role::Decode, 60, 0);
    let release = async {
        wait_until(|| async { node.count("silent.not_repeatable") == 1 }).await;
        silence.cancel();
    };
    let marked = [("x-non-repeatable", "true")];
    let request = body(TOKENS, true);
    let call = node.post("/v1/completions", &marked, &request);
    let (answer, ()) = tokio::join!(call, release);
    assert_eq!(answer.streamed_text(), (answer_text(TOKENS), true));
    let stages = engines
        .each_ref()
        .map(|engine| engine.received("/generate")[0]["stage"].clone());
    assert_eq!(stages, ["prefill", "decode"]);
    assert_eq!(count(&engines, "/cancel"), 0);
    until_nothing_is_in_flight(&node).await;
}

/// Guards against a stop that waits for a silent engine after its time limit.
#[tokio::test]
async fn stop_aborts_a_silent_attempt() {
    let silences: [CancellationToken; 3] = std::array::from_fn(|_| CancellationToken::new());
    let engines = silent_engines(0, &silences).await;
    let node = start_node(&engines).await;
    let stop = async {
        wait_until(|| async { count(&engines, "/generate") >= 2 }).await;
        node.traffic.stop_signals.aborting.cancel();
    };
    let (answer, ()) = tokio::join!(node.complete(TOKENS, true), stop);
    let headers = (answer.header("x-outcome"), answer.header("x-reason"));
    assert_eq!((answer.status, headers), (504, ("unknown", "node_stopped")));
    let started = count(&engines, "/generate");
    wait_until(|| async { count(&engines, "/cancel") == started }).await;
    until_nothing_is_in_flight(&node).await;
}

/// Guards against a pause of the node that counts as a silence of its engines and uses up the retry budget.
#[tokio::test]
async fn pause_of_the_node_is_no_silence_of_an_engine() {
    let silence = CancellationToken::new();
    // The engine runs in a thread of its own, since the pause blocks this one.
    let (address_sender, address) = tokio::sync::oneshot::channel();
    std::thread::spawn({
        let silence = silence.clone();
        move || {
            let mut runtime = tokio::runtime::Builder::new_current_thread();
            let runtime = runtime.enable_all().build().expect("a runtime");
            runtime.block_on(async {
                let engine = ScriptedEngine::start(move |_, request| {
                    let silence = Step::WaitFor(silence.clone());
                    Ok(silent_before(request, 5, silence))
                });
                let engine = engine.await;
                address_sender.send(engine.address()).expect("a test");
                std::future::pending::<()>().await;
            });
        }
    });
    let address = address.await.expect("the engine starts");
    let node = TestNode::start(&config(&[(address, "mixed")])).await;
    let (path, request) = ("/v1/completions", body(TOKENS, true));
    let calls = (0..STREAMS).map(|_| {
        let client = &node.client;
        client.start(Method::POST, node.address, path, &[], request.clone())
    });
    // The head of a response shows that the first token has arrived.
    let responses = futures::future::join_all(calls).await;
    silence.cancel();
    std::thread::sleep(NODE_PAUSE);
    for response in responses {
        let body = response.expect("an answer").into_body().collect().await;
        let text = body.expect("a whole answer").to_bytes();
        assert!(text.ends_with(b"data: [DONE]\n\n"), "{text:?}");
    }
    let counters = node.traffic.counters.snapshot();
    let silences: Vec<_> = counters
        .keys()
        .filter(|name| name.starts_with("silent."))
        .collect();
    assert!(silences.is_empty(), "{silences:?}");
}

/// Pause between two looks at a retry budget that a test uses up.
const BUDGET_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A peer that receives requests but is silent until it is woken, as a paused process is.
struct SilentPeer {
    server: Server,
    /// Cancelled when the peer goes on.
    awake: CancellationToken,
    /// Cancelled when the peer has a response to forwarded requests.
    response: CancellationToken,
    received: Arc<AtomicUsize>,
    /// Number of forwarded requests whose connection was closed before the response.
    dropped: Arc<AtomicUsize>,
}

/// Counts a request that is dropped before it has a response.
struct DropCounter(Arc<AtomicUsize>);

impl Drop for DropCounter {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

impl SilentPeer {
    /// Starts a peer whose responses contain its name.
    async fn start(name: &'static str) -> Self {
        let [awake, response] = [CancellationToken::new(), CancellationToken::new()];
        let [received, dropped] = <[Arc<AtomicUsize>; 2]>::default();
        let server = http::bind(ANY_PORT, {
            let (awake, response) = (awake.clone(), response.clone());
            let (received, dropped) = (Arc::clone(&received), Arc::clone(&dropped));
            move |request| {
                let (awake, response) = (awake.clone(), response.clone());
                let (received, dropped) = (Arc::clone(&received), Arc::clone(&dropped));
                async move {
                    if request.uri().path() == "/readyz" {
                        awake.cancelled().await;
                        return http::json(StatusCode::OK, &"ready");
                    }
                    received.fetch_add(1, Ordering::Relaxed);
                    let drop_counter = DropCounter(dropped);
                    awake.cancelled().await;
                    response.cancelled().await;
                    std::mem::forget(drop_counter);
                    http::json(StatusCode::OK, &name)
                }
            }
        });
        Self {
            server: server.await.expect("the peer starts"),
            awake,
            response,
            received,
            dropped,
        }
    }

    fn endpoint(&self, vm: &str, zone: &str) -> PeerEndpoint {
        PeerEndpoint {
            vm: vm.into(),
            zone: zone.into(),
            caller_address: self.server.address(),
            is_registered: true,
        }
    }

    /// Makes the peer go on and answer.
    fn release(&self) {
        self.response.cancel();
        self.awake.cancel();
    }

    fn received(&self) -> usize {
        self.received.load(Ordering::Relaxed)
    }

    fn dropped(&self) -> usize {
        self.dropped.load(Ordering::Relaxed)
    }
}

/// Starts a node that forwards all requests, first to the first peer and then to the second.
async fn start_forwarder(peers: &[&SilentPeer]) -> TestNode {
    let node = TestNode::start(&config(&[(free_address(), "mixed")])).await;
    let zones = [("vm-a", "a"), ("vm-b", "b")];
    node.publish(|snapshot| {
        snapshot.is_registered = false;
        let peers = peers.iter().zip(zones);
        snapshot.peers = peers
            .map(|(peer, (vm, zone))| peer.endpoint(vm, zone))
            .collect();
    });
    node
}

/// Guards against an answer that is lost because its peer fell silent, although no other attempt may take
/// over and the peer goes on.
#[parameterized(
    no_other_peer = { false, "forward.peer_silent" },
    budget = { true, "silent.budget_used_up" },
)]
#[test_macro(tokio::test)]
async fn silent_peer_goes_on_without_another_attempt(has_other: bool, counter: &str) {
    // The budget is granted again each second, so that the request may get a retry before the test has taken
    // it. The peers and the node are started again then.
    while !goes_on_without_another_attempt(has_other, counter).await {}
}

/// Sends a request to a silent peer that goes on once `counter` shows that no other attempt may start. Returns
/// `false` if one has started.
async fn goes_on_without_another_attempt(has_other: bool, counter: &str) -> bool {
    let (first, second) = (
        SilentPeer::start("first").await,
        SilentPeer::start("second").await,
    );
    let peers = if has_other {
        vec![&first, &second]
    } else {
        vec![&first]
    };
    let node = start_forwarder(&peers).await;
    let obstruct = async {
        while node.count(counter) == 0 {
            while has_other && node.traffic.take_retry(&"peers".into()) {}
            if second.received() > 0 {
                return;
            }
            tokio::time::sleep(BUDGET_POLL_INTERVAL).await;
        }
        first.release();
        std::future::pending::<()>().await;
    };
    let answer = tokio::select! {
        answer = node.complete(TOKENS, false) => answer,
        () = obstruct => return false,
    };
    assert_eq!(
        (answer.status, answer.json()),
        (200, "first".into()),
        "{answer:?}"
    );
    assert_eq!((first.dropped(), second.received()), (0, 0));
    true
}

/// Guards against an answer that is lost because the peer tried next is silent as well, although the first
/// one goes on.
#[tokio::test]
async fn silent_peer_goes_on_before_the_other() {
    let (first, second) = (
        SilentPeer::start("first").await,
        SilentPeer::start("second").await,
    );
    let node = start_forwarder(&[&first, &second]).await;
    let release = async {
        wait_until(|| async { second.received() == 1 }).await;
        first.release();
    };
    let (answer, ()) = tokio::join!(node.complete(TOKENS, false), release);
    assert_eq!(
        (answer.status, answer.json()),
        (200, "first".into()),
        "{answer:?}"
    );
    wait_until(|| async { second.dropped() == 1 }).await;
}

/// Guards against a silent peer whose request is dropped before another peer has answered, or kept after that.
#[tokio::test]
async fn silent_peer_is_dropped_once_another_answers() {
    let (first, second) = (
        SilentPeer::start("first").await,
        SilentPeer::start("second").await,
    );
    second.awake.cancel();
    let node = start_forwarder(&[&first, &second]).await;
    let observe = async {
        wait_until(|| async { second.received() == 1 }).await;
        // A connection that the node has closed is closed at the peer as well by then.
        node.get("/readyz").await;
        let dropped = first.dropped();
        second.release();
        dropped
    };
    let (answer, dropped) = tokio::join!(node.complete(TOKENS, false), observe);
    assert_eq!(
        (answer.status, answer.json()),
        (200, "second".into()),
        "{answer:?}"
    );
    assert_eq!(dropped, 0);
    wait_until(|| async { first.dropped() == 1 }).await;
}

/// Guards against two peers that run the same request to its end after the first one goes on.
#[tokio::test]
async fn later_attempt_is_dropped_when_a_silent_peer_goes_on() {
    let (first, second) = (
        SilentPeer::start("first").await,
        SilentPeer::start("second").await,
    );
    second.awake.cancel();
    let node = start_forwarder(&[&first, &second]).await;
    let observe = async {
        wait_until(|| async { second.received() == 1 }).await;
        first.awake.cancel();
        wait_until(|| async { second.dropped() == 1 }).await;
        first.release();
    };
    let (answer, ()) = tokio::join!(node.complete(TOKENS, false), observe);
    assert_eq!(
        (answer.status, answer.json()),
        (200, "first".into()),
        "{answer:?}"
    );
}

/// Guards against a request that waits for its silent peer alone although another peer has joined.
#[tokio::test]
async fn peer_that_joins_later_answers_for_a_silent_one() {
    let (first, second) = (
        SilentPeer::start("first").await,
        SilentPeer::start("second").await,
    );
    second.release();
    let node = start_forwarder(&[&first]).await;
    let join = async {
        wait_until(|| async { node.count("forward.peer_silent") == 1 }).await;
        let joining = second.endpoint("vm-b", "b");
        node.publish(|snapshot| snapshot.peers.push(joining));
        std::future::pending::<()>().await;
    };
    let answer = tokio::select! {
        answer = node.complete(TOKENS, false) => answer,
        () = join => unreachable!("the request ends first"),
    };
    assert_eq!(
        (answer.status, answer.json()),
        (200, "second".into()),
        "{answer:?}"
    );
    assert_eq!(first.received(), 1);
    wait_until(|| async { first.dropped() == 1 }).await;
}
