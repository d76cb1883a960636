//! Prefix affinity: requests with a common prompt prefix share an engine.

use std::path::Path;

use tealsaddle_core::inventory::Role;
use tealsaddle_testkit::client::Client;
use tealsaddle_testkit::deployment::{MODEL, Plan, fast_engine_config};

/// Guards against a node that sends requests with the same long prefix to different engines, each of
/// which has to run the prefill of that prefix.
#[tokio::test]
async fn requests_with_a_common_prefix_use_the_same_engine() {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join("prefix");
    let mut plan = Plan::new(Path::new(env!("CARGO_BIN_EXE_tealsaddle")), &directory)
        .node("vm-1", "buda-hall");
    for name in ["e1", "e2", "e3", "e4"] {
        plan = plan.engine(name, "buda-hall", fast_engine_config(Role::Mixed, true));
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
    // The startup of the deployment has sent one more, short request.
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
