//! Completions on engines that fail.

use std::time::Duration;

use hyper::StatusCode;
use tealsaddle_core::inventory::Role;
use tealsaddle_testkit::client::wait_until;
use tealsaddle_testkit::engine::wire::GenerateRequest;
use tealsaddle_testkit::process::free_address;
use yare::parameterized;

use crate::test_node::{
    ScriptedEngine, Step, TestNode, answer_text, config, end_event, full_answer, token, tokens,
};

type Script = fn(&GenerateRequest) -> Vec<Step>;

fn broken(request: &GenerateRequest) -> Vec<Step> {
    [tokens(request, 5), vec![Step::Break]].concat()
}

fn ended_early(request: &GenerateRequest) -> Vec<Step> {
    tokens(request, 5)
}

fn skipped_token(request: &GenerateRequest) -> Vec<Step> {
    [tokens(request, 5), vec![token(request, 7)]].concat()
}

fn done_too_soon(request: &GenerateRequest) -> Vec<Step> {
    [tokens(request, 5), vec![end_event(request, 10)]].concat()
}

fn silent(request: &GenerateRequest) -> Vec<Step> {
    [
        tokens(request, 5),
        vec![Step::Wait(Duration::from_secs(120))],
    ]
    .concat()
}

fn foreign(request: &GenerateRequest) -> Vec<Step> {
    let other = GenerateRequest {
        attempt_id: "other".to_owned(),
        seed: 99,
        ..request.clone()
    };
    let foreign = vec![token(&other, 5), end_event(&other, 5)];
    [tokens(request, 5), foreign, vec![Step::Break]].concat()
}

fn junk_without_end(request: &GenerateRequest) -> Vec<Step> {
    let junk = [
        Step::Line("{\"index\": 1e999}".to_owned()),
        Step::Wait(Duration::from_millis(100)),
        token(request, 0),
    ];
    [
        tokens(request, 5),
        junk.into_iter().cycle().take(3_000).collect(),
    ]
    .concat()
}

fn huge_line(request: &GenerateRequest) -> Vec<Step> {
    [tokens(request, 5), vec![Step::Line("x".repeat(1 << 20))]].concat()
}

/// Guards against a lost, repeated or foreign token when an engine fails during the stream. The next
/// attempt has to resume at the next token.
#[parameterized(
    after_broken = { broken },
    after_ended_early = { ended_early },
    after_gap = { skipped_token },
    after_done_too_soon = { done_too_soon },
    after_silent = { silent },
    after_foreign_events = { foreign },
    after_junk_without_end = { junk_without_end },
    after_huge_line = { huge_line },
)]
#[test_macro(tokio::test)]
async fn stream_resumes_on_another_engine(script: Script) {
    // The first engine fails whichever it is; the other one generates the rest.
    let fail_first = move |_: usize, request: &GenerateRequest| {
        Ok(if request.resume_at == 0 {
            script(request)
        } else {
            full_answer(request, 0)
        })
    };
    let engines = [
        ScriptedEngine::start(fail_first).await,
        ScriptedEngine::start(fail_first).await,
    ];
    let roles = engines.each_ref().map(|engine| (engine.address(), "mixed"));
    let node = TestNode::start(&config(&roles)).await;
    for is_streamed in [true, false] {
        let answer = node.complete(10, is_streamed).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        if is_streamed {
            assert_eq!(answer.streamed_text(), (answer_text(10), true));
        } else {
            assert_eq!(answer.json()["choices"][0]["text"], answer_text(10));
            assert_eq!(answer.json()["usage"]["completion_tokens"], 10);
        }
    }
    // Each request makes one attempt per engine, with an id of its own, and cancels the failed one.
    assert_eq!(
        engines.each_ref().map(ScriptedEngine::generate_calls),
        [2, 2]
    );
    let received: Vec<_> = engines
        .iter()
        .flat_map(|e| e.received("/generate"))
        .collect();
    let ids: std::collections::BTreeSet<_> =
        received.iter().map(|r| r["attempt_id"].as_str()).collect();
    assert_eq!(ids.len(), 4);
    wait_until(|| async {
        engines
            .iter()
            .map(|e| e.received("/cancel").len())
            .sum::<usize>()
            == 2
    })
    .await;
    wait_until(|| async { node.traffic.in_flight.nonzero_counts().is_empty() }).await;
}

/// Guards against a truncated response that ends normally, and against more than three attempts.
#[tokio::test]
async fn truncated_stream_ends_with_an_error_event() {
    let engine = ScriptedEngine::start(|_, request| {
        Ok([tokens(request, request.resume_at + 1), vec![Step::Break]].concat())
    });
    let engine = engine.await;
    let node = TestNode::start(&config(&[(engine.address(), "mixed")])).await;
    let answer = node.complete(10, true).await;
    assert_eq!(answer.streamed_text(), (answer_text(3), false));
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let last = text
        .lines()
        .rev()
        .find_map(|line| line.strip_prefix("data: "));
    let last: serde_json::Value = serde_json::from_str(last.expect("an event")).expect("JSON");
    assert_eq!(last["error"]["outcome"], "unknown");
    assert_eq!(engine.generate_calls(), 3);

    let answer = node.complete(10, false).await;
    assert_eq!(
        (answer.status, answer.header("x-outcome")),
        (502, "unknown")
    );
    assert_eq!(engine.generate_calls(), 6);
}

/// Guards against the outcome "not run" for a request that may have run. Only a refusal by the engine
/// shows that the request has not run.
#[parameterized(
    refused = { StatusCode::SERVICE_UNAVAILABLE, 503, "not-run", "target_refused" },
    stale = { StatusCode::CONFLICT, 503, "not-run", "target_refused" },
    failed = { StatusCode::INTERNAL_SERVER_ERROR, 502, "unknown", "invalid_answer" },
)]
#[test_macro(tokio::test)]
async fn refusal_of_an_engine(engine_status: StatusCode, status: u16, outcome: &str, reason: &str) {
    let engine = ScriptedEngine::start(move |_, _| Err(engine_status)).await;
    let node = TestNode::start(&config(&[(engine.address(), "mixed")])).await;
    let answer = node.complete(10, true).await;
    let headers = (answer.header("x-outcome"), answer.header("x-reason"));
    assert_eq!((answer.status, headers), (status, (outcome, reason)));
    assert_eq!(engine.generate_calls(), 3);
    assert_eq!(node.count(&format!("retry.{reason}")), 2);
    wait_until(|| async { node.traffic.in_flight.nonzero_counts().is_empty() }).await;
}

/// Guards against the outcome "not run" when an earlier attempt may have run.
#[tokio::test]
async fn unknown_outcome_of_an_earlier_attempt_is_reported() {
    let engine = ScriptedEngine::start(|number, _| match number {
        0 => Ok(vec![Step::Break]),
        _ => Err(StatusCode::SERVICE_UNAVAILABLE),
    });
    let engine = engine.await;
    let node = TestNode::start(&config(&[(engine.address(), "mixed")])).await;
    let answer = node.complete(10, false).await;
    assert_eq!(
        (answer.status, answer.header("x-outcome")),
        (502, "unknown")
    );
}

/// Guards against a retry of a completion that the caller marked as not repeatable.
#[tokio::test]
async fn marked_completion_runs_once() {
    let engine = ScriptedEngine::start(|_, _| Ok(vec![Step::Break])).await;
    let node = TestNode::start(&config(&[(engine.address(), "mixed")])).await;
    let marked = [("x-non-repeatable", "true")];
    let answer = node
        .post(
            "/v1/completions",
            &marked,
            &crate::test_node::body(5, false),
        )
        .await;
    assert_eq!(
        (answer.status, answer.header("x-outcome")),
        (502, "unknown")
    );
    assert_eq!(engine.generate_calls(), 1);
}

/// Guards against retries that multiply the load during an outage of the engines.
#[tokio::test]
async fn retries_stay_in_the_budget() {
    let engine = ScriptedEngine::start(|_, _| Err(StatusCode::SERVICE_UNAVAILABLE)).await;
    let node = TestNode::start(&config(&[(engine.address(), "mixed")])).await;
    let started = std::time::Instant::now();
    for _ in 0..10 {
        futures::future::join_all((0..10).map(|_| node.complete(1, false))).await;
    }
    let seconds = started.elapsed().as_secs() as usize + 1;
    // Each second grants 3 retries or 10% of its requests, whichever is larger, and the unused part of
    // one earlier second. The sum of both over all seconds is an upper bound.
    assert!(
        engine.generate_calls() <= 100 + 10 + 3 * (seconds + 1),
        "{}",
        engine.generate_calls()
    );
    assert!(node.count("given_up.budget_used_up") > 0);
}

/// Guards against the outcome "unknown" when no connection to an engine could be opened.
#[tokio::test]
async fn no_engine_can_be_reached() {
    let node = TestNode::start(&config(&[(free_address(), "mixed")])).await;
    let answer = node.complete(10, false).await;
    assert_eq!(
        (answer.status, answer.header("x-outcome")),
        (503, "not-run")
    );
    assert_eq!(answer.header("x-reason"), "connect_failed");
    assert_eq!(answer.header("retry-after"), "1");
}

/// Guards against a KV cache that the prefill engine discards before the decode engine has imported it.
/// The request stays in the in-flight count of the prefill engine until the first token.
#[tokio::test]
async fn split_holds_the_prefill_engine_until_the_first_token() {
    let prefill = ScriptedEngine::healthy(0).await;
    let decode = ScriptedEngine::healthy(200).await;
    let roles = [(prefill.address(), "prefill"), (decode.address(), "decode")];
    let yaml = config(&roles).replace("decode_tokens_per_s: 10000", "decode_tokens_per_s: 2000");
    let node = TestNode::start(&yaml).await;
    // The batch is so large that the decode engine has no capacity for prefill.
    node.report_load("e1", Role::Decode, 60, 0);
    let check_counts = async {
        wait_until(|| async { node.traffic.in_flight.count("e1") == 1 }).await;
        assert_eq!(node.traffic.in_flight.count("e0"), 1);
        wait_until(|| async { node.traffic.in_flight.count("e0") == 0 }).await;
        assert_eq!(node.traffic.in_flight.count("e1"), 1);
    };
    let (answer, ()) = tokio::join!(node.complete(5, true), check_counts);
    assert_eq!(answer.streamed_text(), (answer_text(5), true));
    let kv_from = format!("http://{}/kv/kv-1", prefill.address());
    assert_eq!(decode.received("/generate")[0]["kv_from"], kv_from);
    assert!(prefill.received("/cancel").is_empty());
}

/// Guards against a request that fails because one stage of a split fails.
#[parameterized(
    prefill = { "prefill" },
    decode = { "decode" },
)]
#[test_macro(tokio::test)]
async fn failed_split_falls_back_to_one_engine(failing: &'static str) {
    let script = move |_: usize, request: &GenerateRequest| {
        if request.stage == failing {
            Ok(vec![Step::Break])
        } else {
            Ok(full_answer(request, 0))
        }
    };
    let engines = [
        ScriptedEngine::start(script).await,
        ScriptedEngine::start(script).await,
    ];
    let roles = [
        (engines[0].address(), "prefill"),
        (engines[1].address(), "decode"),
    ];
    let yaml = config(&roles).replace("decode_tokens_per_s: 10000", "decode_tokens_per_s: 2000");
    let node = TestNode::start(&yaml).await;
    // The batch is so large that the decode engine has no capacity for prefill.
    node.report_load("e1", Role::Decode, 60, 0);
    let answer = node.complete(5, true).await;
    assert_eq!(answer.streamed_text(), (answer_text(5), true));
    let received = engines[1].received("/generate");
    assert_eq!(received.last().expect("a request")["stage"], "full");
}

/// Guards against an unreachable engine that is tried again by every second request.
#[tokio::test]
async fn unreachable_engine_is_avoided() {
    let engine = ScriptedEngine::healthy(0).await;
    let roles = [(engine.address(), "mixed"), (free_address(), "mixed")];
    let node = TestNode::start(&config(&roles)).await;
    let started = std::time::Instant::now();
    for _ in 0..50 {
        assert_eq!(node.complete(1, false).await.status, 200);
    }
    let seconds = started.elapsed().as_secs() + 1;
    // A failed engine is avoided for a second, while another one is available.
    assert!(
        node.count("retry.connect_failed") <= seconds,
        "{}",
        node.count("retry.connect_failed")
    );
}

/// Guards against work for a request that cannot meet its targets, and against a refusal without a
/// recorded decision.
#[tokio::test]
async fn request_that_would_be_late_is_refused() {
    let engine = ScriptedEngine::healthy(0).await;
    let node = TestNode::start(&config(&[(engine.address(), "mixed")])).await;
    node.report_load("e0", Role::Mixed, 0, 10_000_000);
    let answer = node.complete(5, true).await;
    let headers = (answer.header("x-outcome"), answer.header("x-reason"));
    let expected = ("not-run", "deadline_infeasible");
    assert_eq!((answer.status, headers), (503, expected));
    // The queued prompts take 100 s; the delay for a retry is limited to 30 s.
    assert_eq!(answer.header("retry-after"), "30");
    assert_eq!(engine.generate_calls(), 0);
    let explained = node.traffic.explain(answer.header("x-request-id"));
    assert!(
        explained
            .iter()
            .any(|decision| decision.choice == expected.1)
    );
}
