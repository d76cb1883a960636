//! Prefix affinity.

use std::path::Path;

use tealsaddle_core::inventory::Role;
use tealsaddle_testkit::client::Client;
use tealsaddle_testkit::deployment::{MODEL, Plan, quick_engine};

/// Guards against a node that sends each question about the same rulebook to another engine, where
/// the rulebook has to be read again.
#[tokio::test]
async fn questions_on_one_rulebook_meet_the_same_engine() {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join("prefix");
    let mut plan = Plan::new(Path::new(env!("CARGO_BIN_EXE_tealsaddle")), &directory)
        .node("vm-1", "buda-hall");
    for name in ["e1", "e2", "e3", "e4"] {
        plan = plan.engine(name, "buda-hall", quick_engine(Role::Mixed, true));
    }
    let deployment = plan.start().await.expect("the deployment starts");
    let caller = deployment.config("vm-1").caller;
    let client = Client::open();
    let rulebook = (0..2_000)
        .map(|i| format!("rule{i}"))
        .collect::<Vec<_>>()
        .join(" ");
    for question in 0..10 {
        let prompt = format!("{rulebook} question{question}?");
        let body = serde_json::json!({
            "model": MODEL, "max_tokens": 2, "messages": [{ "role": "user", "content": prompt }],
        });
        let answer = client.complete(caller, &body).await.expect("an answer");
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    // The deployment has sent a short request before.
    let accepted: Vec<usize> = deployment
        .engines()
        .map(|(_, engine)| engine.attempts_accepted())
        .collect();
    let most = accepted.iter().max();
    assert!(
        most >= Some(&10),
        "the questions went to several engines: {accepted:?}"
    );
}
