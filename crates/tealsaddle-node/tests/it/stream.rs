//! Completions over engines that fail.

use std::time::Duration;

use hyper::StatusCode;
use tealsaddle_core::inventory::Role;
use tealsaddle_testkit::client::wait_until;
use tealsaddle_testkit::engine::wire::GenerateRequest;
use tealsaddle_testkit::process::free_address;
use yare::parameterized;

use crate::rig::{Engine, Rig, Step, answer_text, config, done, token, tokens, whole};

type Script = fn(&GenerateRequest) -> Vec<Step>;

fn broken(request: &GenerateRequest) -> Vec<Step> {
    [tokens(request, 5), vec![Step::Break]].concat()
}

fn ended_early(request: &GenerateRequest) -> Vec<Step> {
    tokens(request, 5)
}

fn gap(request: &GenerateRequest) -> Vec<Step> {
    [tokens(request, 5), vec![token(request, 7)]].concat()
}

fn done_too_soon(request: &GenerateRequest) -> Vec<Step> {
    [tokens(request, 5), vec![done(request, 10)]].concat()
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
    let foreign = vec![token(&other, 5), done(&other, 5)];
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

/// Guards against a lost, repeated or foreign token, and against a hang, when an engine fails in
/// mid-stream: the next attempt resumes at the next token.
#[parameterized(
    after_broken = { broken },
    after_ended_early = { ended_early },
    after_gap = { gap },
    after_done_too_soon = { done_too_soon },
    after_silent = { silent },
    after_foreign_events = { foreign },
    after_junk_without_end = { junk_without_end },
    after_huge_line = { huge_line },
)]
#[test_macro(tokio::test)]
async fn stream_resumes_on_another_engine(script: Script) {
    // Whichever engine is first fails; the other one answers what is left.
    let fail_first = move |_: usize, request: &GenerateRequest| {
        Ok(if request.resume_at == 0 {
            script(request)
        } else {
            whole(request, 0)
        })
    };
    let engines = [
        Engine::start(fail_first).await,
        Engine::start(fail_first).await,
    ];
    let roles = engines.each_ref().map(|engine| (engine.address(), "mixed"));
    let rig = Rig::start(&config(&roles)).await;
    for is_streamed in [true, false] {
        let answer = rig.complete(10, is_streamed).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        if is_streamed {
            assert_eq!(answer.streamed_text(), (answer_text(10), true));
        } else {
            assert_eq!(answer.json()["choices"][0]["text"], answer_text(10));
            assert_eq!(answer.json()["usage"]["completion_tokens"], 10);
        }
    }
    // One attempt per engine and request, each with its own id, and the failed one cancelled.
    assert_eq!(engines.each_ref().map(Engine::generated), [2, 2]);
    let asked: Vec<_> = engines.iter().flat_map(|e| e.asked("/generate")).collect();
    let ids: std::collections::BTreeSet<_> =
        asked.iter().map(|r| r["attempt_id"].as_str()).collect();
    assert_eq!(ids.len(), 4);
    wait_until(|| async {
        engines
            .iter()
            .map(|e| e.asked("/cancel").len())
            .sum::<usize>()
            == 2
    })
    .await;
    wait_until(|| async { rig.traffic.in_flight.nonzero_counts().is_empty() }).await;
}

/// Guards against a truncated answer with a clean end, and against a storm of attempts.
#[tokio::test]
async fn truncated_answer_is_an_error_event() {
    let engine = Engine::start(|_, request| {
        Ok([tokens(request, request.resume_at + 1), vec![Step::Break]].concat())
    });
    let engine = engine.await;
    let rig = Rig::start(&config(&[(engine.address(), "mixed")])).await;
    let answer = rig.complete(10, true).await;
    assert_eq!(answer.streamed_text(), (answer_text(3), false));
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let last = text
        .lines()
        .rev()
        .find_map(|line| line.strip_prefix("data: "));
    let last: serde_json::Value = serde_json::from_str(last.expect("an event")).expect("JSON");
    assert_eq!(last["error"]["outcome"], "unknown");
    assert_eq!(engine.generated(), 3);

    let answer = rig.complete(10, false).await;
    assert_eq!(
        (answer.status, answer.header("x-outcome")),
        (502, "unknown")
    );
    assert_eq!(engine.generated(), 6);
}

/// Guards against "not run" for what may have run: only refusals before the work count.
#[parameterized(
    refused = { StatusCode::SERVICE_UNAVAILABLE, 503, "not-run", "target_refused" },
    stale = { StatusCode::CONFLICT, 503, "not-run", "target_refused" },
    failed = { StatusCode::INTERNAL_SERVER_ERROR, 502, "unknown", "invalid_answer" },
)]
#[test_macro(tokio::test)]
async fn refusal_of_an_engine(from: StatusCode, status: u16, outcome: &str, reason: &str) {
    let engine = Engine::start(move |_, _| Err(from)).await;
    let rig = Rig::start(&config(&[(engine.address(), "mixed")])).await;
    let answer = rig.complete(10, true).await;
    let headers = (answer.header("x-outcome"), answer.header("x-reason"));
    assert_eq!((answer.status, headers), (status, (outcome, reason)));
    assert_eq!(engine.generated(), 3);
    assert_eq!(rig.count(&format!("retry.{reason}")), 2);
    wait_until(|| async { rig.traffic.in_flight.nonzero_counts().is_empty() }).await;
}

/// Guards against "not run" when only the last attempt did not run.
#[tokio::test]
async fn unknown_attempt_is_not_forgotten() {
    let engine = Engine::start(|number, _| match number {
        0 => Ok(vec![Step::Break]),
        _ => Err(StatusCode::SERVICE_UNAVAILABLE),
    });
    let engine = engine.await;
    let rig = Rig::start(&config(&[(engine.address(), "mixed")])).await;
    let answer = rig.complete(10, false).await;
    assert_eq!(
        (answer.status, answer.header("x-outcome")),
        (502, "unknown")
    );
}

/// Guards against a second run of a completion that its caller marked.
#[tokio::test]
async fn marked_completion_runs_once() {
    let engine = Engine::start(|_, _| Ok(vec![Step::Break])).await;
    let rig = Rig::start(&config(&[(engine.address(), "mixed")])).await;
    let marked = [("x-non-repeatable", "true")];
    let answer = rig
        .post("/v1/completions", &marked, &crate::rig::body(5, false))
        .await;
    assert_eq!(
        (answer.status, answer.header("x-outcome")),
        (502, "unknown")
    );
    assert_eq!(engine.generated(), 1);
}

/// Guards against retries that multiply the load in an outage of the engines.
#[tokio::test]
async fn retries_stay_in_the_budget() {
    let engine = Engine::start(|_, _| Err(StatusCode::SERVICE_UNAVAILABLE)).await;
    let rig = Rig::start(&config(&[(engine.address(), "mixed")])).await;
    let started = std::time::Instant::now();
    for _ in 0..10 {
        futures::future::join_all((0..10).map(|_| rig.complete(1, false))).await;
    }
    let seconds = started.elapsed().as_secs() as usize + 1;
    // 10% of the requests plus the floor of each second and of the one before.
    assert!(
        engine.generated() <= 100 + 10 + 3 * (seconds + 1),
        "{}",
        engine.generated()
    );
    assert!(rig.count("given_up.budget_used_up") > 0);
}

/// Guards against a request that waits for a dead engine: a failure to connect is "not run".
#[tokio::test]
async fn no_engine_can_be_reached() {
    let rig = Rig::start(&config(&[(free_address(), "mixed")])).await;
    let answer = rig.complete(10, false).await;
    assert_eq!(
        (answer.status, answer.header("x-outcome")),
        (503, "not-run")
    );
    assert_eq!(answer.header("x-reason"), "connect_failed");
    assert_eq!(answer.header("retry-after"), "1");
}

/// Guards against KV cache that is dropped or ordered away before the decode engine has it: the
/// request counts on the prefill engine until the first token.
#[tokio::test]
async fn split_holds_the_prefill_engine_until_the_first_token() {
    let prefill = Engine::good(0).await;
    let decode = Engine::good(200).await;
    let roles = [(prefill.address(), "prefill"), (decode.address(), "decode")];
    let yaml = config(&roles).replace("decode_tokens_per_s: 10000", "decode_tokens_per_s: 2000");
    let rig = Rig::start(&yaml).await;
    // So large a batch that the decode engine cannot read prompts beside it.
    rig.report_load("e1", Role::Decode, 60, 0);
    let watch = async {
        wait_until(|| async { rig.traffic.in_flight.count("e1") == 1 }).await;
        assert_eq!(rig.traffic.in_flight.count("e0"), 1);
        wait_until(|| async { rig.traffic.in_flight.count("e0") == 0 }).await;
        assert_eq!(rig.traffic.in_flight.count("e1"), 1);
    };
    let (answer, ()) = tokio::join!(rig.complete(5, true), watch);
    assert_eq!(answer.streamed_text(), (answer_text(5), true));
    let kv_from = format!("http://{}/kv/kv-1", prefill.address());
    assert_eq!(decode.asked("/generate")[0]["kv_from"], kv_from);
    assert!(prefill.asked("/cancel").is_empty());
}

/// Guards against a request that fails because one half of a split does.
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
            Ok(whole(request, 0))
        }
    };
    let engines = [Engine::start(script).await, Engine::start(script).await];
    let roles = [
        (engines[0].address(), "prefill"),
        (engines[1].address(), "decode"),
    ];
    let yaml = config(&roles).replace("decode_tokens_per_s: 10000", "decode_tokens_per_s: 2000");
    let rig = Rig::start(&yaml).await;
    // So large a batch that the decode engine cannot read prompts beside it.
    rig.report_load("e1", Role::Decode, 60, 0);
    let answer = rig.complete(5, true).await;
    assert_eq!(answer.streamed_text(), (answer_text(5), true));
    let asked = engines[1].asked("/generate");
    assert_eq!(asked.last().expect("a request")["stage"], "full");
}

/// Guards against a dead engine that costs every second request a retry.
#[tokio::test]
async fn dead_engine_is_passed_over() {
    let engine = Engine::good(0).await;
    let roles = [(engine.address(), "mixed"), (free_address(), "mixed")];
    let rig = Rig::start(&config(&roles)).await;
    let started = std::time::Instant::now();
    for _ in 0..50 {
        assert_eq!(rig.complete(1, false).await.status, 200);
    }
    let seconds = started.elapsed().as_secs() + 1;
    assert!(
        rig.count("retry.connect_failed") <= seconds,
        "{}",
        rig.count("retry.connect_failed")
    );
}

/// Guards against work for an answer that must be late, and against a refusal that nobody can
/// explain.
#[tokio::test]
async fn late_answer_is_refused_early() {
    let engine = Engine::good(0).await;
    let rig = Rig::start(&config(&[(engine.address(), "mixed")])).await;
    rig.report_load("e0", Role::Mixed, 0, 10_000_000);
    let answer = rig.complete(5, true).await;
    let headers = (answer.header("x-outcome"), answer.header("x-reason"));
    let expected = ("not-run", "deadline_infeasible");
    assert_eq!((answer.status, headers), (503, expected));
    // 100 s of prompts wait, and a wait of more than half a minute helps nobody.
    assert_eq!(answer.header("retry-after"), "30");
    assert_eq!(engine.generated(), 0);
    let explained = rig.traffic.explain(answer.header("x-request-id"));
    assert!(
        explained
            .iter()
            .any(|decision| decision.choice == expected.1)
    );
}
