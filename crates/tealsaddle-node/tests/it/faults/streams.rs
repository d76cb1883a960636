//! G4: every caller receives the complete answer to its own request and no part of another answer.

use tealsaddle_core::inventory::Role;
use tealsaddle_testkit::client::{Answer, wait_until};
use tealsaddle_testkit::deployment::{Deployment, quick_engine};
use tealsaddle_testkit::engine::answers::AnswerFault;
use tealsaddle_testkit::engine::text;
use tealsaddle_testkit::proxy::Flow;
use yare::parameterized;

use super::{assert_complete, plan};

const ZONE: &str = "buda-hall";

async fn start(test: &str, engines: usize) -> Deployment {
    let mut plan = plan(test).node("vm-1", ZONE);
    for i in 1..=engines {
        plan = plan.engine(&format!("e{i}"), ZONE, quick_engine(Role::Mixed, true));
    }
    plan.start().await.expect("the deployment starts")
}

/// Waits for an engine that is generating and returns its name.
async fn busy_engine(deployment: &Deployment) -> String {
    let find = || {
        let mut engines = deployment.engines();
        let busy = engines.find(|(_, engine)| engine.attempts_running() > 0);
        busy.map(|(name, _)| name.to_owned())
    };
    wait_until(|| async { find().is_some() }).await;
    find().expect("an engine is busy")
}

/// Guards against a gap, a duplicate or an early end in a stream after its engine crashes. Two engines
/// crash one after the other.
#[tokio::test]
async fn stream_continues_after_engine_crashes() {
    let deployment = start("stream-crash", 3).await;
    let crashes = async {
        for _ in 0..2 {
            let name = busy_engine(&deployment).await;
            // Some tokens have been delivered by then.
            tokio::time::sleep(std::time::Duration::from_millis(200)).await;
            deployment.engine(&name).crash();
        }
    };
    let (answer, ()) = tokio::join!(deployment.complete("vm-1", "rule 1", 1_000), crashes);
    assert_complete(&answer.expect("an answer"), "rule 1", 1_000);
}

/// Guards against a truncated stream that looks like a complete answer when no other engine can continue
/// the stream.
#[tokio::test]
async fn stream_without_another_engine_ends_in_an_error() {
    let deployment = start("stream-truncated", 1).await;
    let crash = async {
        busy_engine(&deployment).await;
        deployment.engine("e1").crash();
    };
    let (answer, ()) = tokio::join!(deployment.complete("vm-1", "rule 1", 1_000), crash);
    // A broken connection is an error as well.
    if let Ok(answer) = answer {
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let is_refused = answer.status != 200;
        let is_error = text.contains("\"error\"") && !answer.streamed_text().1;
        assert!(is_refused || is_error, "{text}");
    }
}

/// Guards against foreign, late, duplicate or reordered events of an engine that reach the caller. An
/// early end must not count as the complete answer.
#[parameterized(
    duplicate = { "duplicate", AnswerFault::Duplicate },
    foreign = { "foreign", AnswerFault::Foreign },
    late = { "late", AnswerFault::Late },
    reorder = { "reorder", AnswerFault::Reorder },
    end_early = { "end-early", AnswerFault::EndEarly(5) },
)]
#[test_macro(tokio::test)]
async fn stream_is_correct_despite_a_faulty_engine(name: &str, fault: AnswerFault) {
    let deployment = start(&format!("stream-{name}"), 2).await;
    for (_, engine) in deployment.engines() {
        engine.distort(fault, 1);
    }
    // The first attempt and the first retry use different engines, and both meet the fault.
    for request in 0..3 {
        let prompt = format!("rule {request}");
        let answer = deployment.complete("vm-1", &prompt, 50).await;
        assert_complete(&answer.expect("an answer"), &prompt, 50);
    }
}

/// Sends requests concurrently and returns each answer with its prompt and length.
async fn complete_concurrently(deployment: &Deployment, count: u64) -> Vec<(Answer, String, u64)> {
    let requests = (0..count).map(|i| async move {
        let prompt = format!("rule {i}");
        let tokens = 50 + i * 7 % 90;
        let answer = deployment.complete("vm-1", &prompt, tokens).await;
        (answer.expect("an answer"), prompt, tokens)
    });
    futures::future::join_all(requests).await
}

/// Guards against answers that are mixed up between concurrent callers.
#[tokio::test]
async fn concurrent_callers_receive_their_own_answers() {
    let deployment = start("stream-concurrent", 3).await;
    for (_, engine) in deployment.engines() {
        engine.distort(AnswerFault::Late, 10);
        engine.distort(AnswerFault::Duplicate, 10);
    }
    for (answer, prompt, tokens) in complete_concurrently(&deployment, 60).await {
        assert_complete(&answer, &prompt, tokens);
    }
}

/// Guards against truncated or mixed-up streams that look complete after an engine crashes under many
/// streams. The retry budget limits how many streams continue, so the others may end with an error
/// event.
#[tokio::test]
async fn crash_under_many_streams_yields_complete_answers_or_errors() {
    let deployment = start("stream-crash-many", 3).await;
    let crash = async {
        let name = busy_engine(&deployment).await;
        deployment.engine(&name).crash();
    };
    let (answers, ()) = tokio::join!(complete_concurrently(&deployment, 60), crash);
    let mut whole = 0;
    for (answer, prompt, tokens) in answers {
        let expected = text::answer(&prompt, 7, tokens);
        let (text, is_done) = answer.streamed_text();
        if is_done {
            assert_eq!(text, expected);
            whole += 1;
        } else {
            let body = String::from_utf8_lossy(&answer.body);
            assert!(body.contains("\"error\""), "{body}");
            assert!(expected.starts_with(&text), "{body}");
        }
    }
    // The streams of the two other engines complete, as do the retries that the budget always allows.
    assert!(whole >= 20, "{whole} of 60 whole");
    println!("{whole} of 60 streams whole after the crash of one of three engines");
}

/// Guards against a request that hangs or is reported as not run when the network drops the answers of
/// an engine that has begun to generate.
#[tokio::test]
async fn one_way_connection_loss_moves_the_stream() {
    let deployment = start("stream-one-way", 2).await;
    let cut = async {
        let name = busy_engine(&deployment).await;
        let link = deployment.engine_link(&name);
        link.update(|rules| rules.answers = Flow::Drop);
        name
    };
    let (answer, _) = tokio::join!(deployment.complete("vm-1", "rule 1", 800), cut);
    let answer = answer.expect("an answer");
    let (text, is_done) = answer.streamed_text();
    let expected = text::answer("rule 1", 7, 800);
    if is_done {
        assert_eq!(text, expected);
    } else {
        assert_ne!(answer.header("x-outcome"), "not-run", "{answer:?}");
        assert!(expected.starts_with(&text), "{answer:?}");
        assert!(
            String::from_utf8_lossy(&answer.body).contains("\"error\""),
            "{answer:?}"
        );
    }
}
