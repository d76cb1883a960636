//! The operator command line against a real node.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use hyper::Method;
use tealsaddle_core::inventory::Role;
use tealsaddle_ctl::args::{Invocation, parse};
use tealsaddle_ctl::{Error, command};
use tealsaddle_testkit::client::{Client, wait_until};
use tealsaddle_testkit::deployment::{Deployment, MODEL, Plan, fast_engine_config};
use tealsaddle_testkit::process::ADMIN_TOKEN;

/// Runs a command and returns its output.
async fn run(admin: SocketAddr, arguments: &[&str]) -> Result<String, Error> {
    // Tests run concurrently, so each node has its own token file.
    let token_file = directory("operator").join(format!("token-{}", admin.port()));
    std::fs::write(&token_file, ADMIN_TOKEN).expect("the token is written");
    let admin = admin.to_string();
    let token_file = token_file.display().to_string();
    let mut words = vec!["--admin", &admin, "--token-file", &token_file];
    words.extend(arguments);
    let words: Vec<String> = words.into_iter().map(str::to_owned).collect();
    let Invocation::Run {
        command,
        connection,
        is_json,
    } = parse(&words, None)?
    else {
        panic!("not a command");
    };
    let mut output = Vec::new();
    command::run(command, &connection, is_json, &mut output).await?;
    Ok(String::from_utf8(output).expect("output is text"))
}

fn directory(test: &str) -> PathBuf {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    std::fs::create_dir_all(&directory).expect("the directory is made");
    directory
}

fn write(test: &str, name: &str, content: &str) -> String {
    let file = directory(test).join(name);
    std::fs::write(&file, content).expect("the file is written");
    file.display().to_string()
}

async fn start(test: &str) -> Deployment {
    Plan::new(
        Path::new(env!("CARGO_BIN_EXE_tealsaddle")),
        &directory(test),
    )
    .node("vm-1", "buda-hall")
    .engine("e1", "buda-hall", fast_engine_config(Role::Mixed, true))
    .start()
    .await
    .expect("the deployment starts")
}

/// Guards against a change that overwrites the change of another operator because its base version is
/// not checked. An invalid file must be refused as a whole.
#[tokio::test]
async fn apply_refuses_conflicts_and_invalid_files() {
    let mut deployment = start("operator-apply").await;
    let admin = deployment.config("vm-1").admin;
    let in_force = deployment.config_file();
    let same = write("operator-apply", "same.yaml", &in_force);
    let shown = run(admin, &["config", "diff", &same])
        .await
        .expect("no difference");
    assert!(shown.contains("equals version 1"), "{shown}");

    deployment.inventory.models[0].max_output_tokens = 1_234;
    let changed = write("operator-apply", "changed.yaml", &deployment.config_file());
    let differs = run(admin, &["config", "diff", &changed])
        .await
        .expect_err("a difference");
    assert_eq!(differs.exit_status(), 1);
    let accepted = run(admin, &["config", "apply", "--author", "eszter", &changed]).await;
    assert_eq!(accepted.expect("accepted"), "accepted as version 2\n");
    let late = run(admin, &["config", "apply", "--if-version", "1", &same]).await;
    let late = late.expect_err("a conflict");
    assert_eq!(late.exit_status(), 4);
    assert!(late.to_string().contains("by eszter"), "{late}");

    let faulty = write("operator-apply", "faulty.yaml", "zonez: []");
    assert_eq!(
        run(admin, &["config", "apply", &faulty])
            .await
            .expect_err("an invalid file")
            .exit_status(),
        3
    );
    let history = run(admin, &["config", "history"]).await.expect("a history");
    assert!(history.contains("eszter"), "{history}");
    let yaml = run(admin, &["config", "get"])
        .await
        .expect("the configuration");
    assert!(yaml.contains("1234"), "{yaml}");
}

/// Guards against a completed request whose routing decision operators cannot look up.
#[tokio::test]
async fn request_is_explained_and_counted() {
    let deployment = start("operator-explain").await;
    let config = deployment.config("vm-1");
    let body = serde_json::json!({
        "model": MODEL, "max_tokens": 3, "messages": [{ "role": "user", "content": "tilt?" }],
    });
    let answer = Client::open()
        .complete(config.caller, &body)
        .await
        .expect("an answer");
    let explained = run(config.admin, &["explain", answer.header("x-request-id")]).await;
    let explained = explained.expect("an explanation");
    assert!(
        explained.contains("route") && explained.contains("e1"),
        "{explained}"
    );
    let unknown = run(config.admin, &["explain", "no-such-request"]).await;
    assert_eq!(unknown.expect_err("nothing is known").exit_status(), 1);

    let status = run(config.admin, &["status"]).await.expect("a status");
    assert!(
        status.contains("vm: vm-1") && status.contains("e1"),
        "{status}"
    );
    let counters = run(config.admin, &["--json", "counters"])
        .await
        .expect("counters");
    assert!(counters.contains("caller.requests"), "{counters}");
}

/// Guards against a drained engine that still takes new work, and against a drain that cannot be undone.
#[tokio::test]
async fn drained_engine_takes_no_work_until_reopened() {
    let deployment = start("operator-drain").await;
    let config = deployment.config("vm-1").clone();
    let client = Client::open();
    let status = || async {
        let body = serde_json::json!({ "model": MODEL, "prompt": "tilt?", "max_tokens": 1 });
        let path = "/v1/completions";
        let answer = client
            .call(Method::POST, config.caller, path, &[], body.to_string())
            .await;
        answer.map_or(0, |answer| answer.status)
    };
    run(config.admin, &["drain", "engine", "e1"])
        .await
        .expect("accepted");
    wait_until(|| async { status().await == 503 }).await;
    run(config.admin, &["drain", "engine", "--undo", "e1"])
        .await
        .expect("accepted");
    wait_until(|| async { status().await == 200 }).await;
    let unknown = run(config.admin, &["drain", "engine", "e9"]).await;
    assert_eq!(unknown.expect_err("no such engine").exit_status(), 1);
}

/// Guards against an unreachable node that is reported with the exit status of a refusal.
#[tokio::test]
async fn unreachable_node_has_its_own_exit_status() {
    let nowhere = tealsaddle_testkit::process::free_address();
    let error = run(nowhere, &["status"]).await.expect_err("nobody answers");
    assert_eq!(error.exit_status(), 5);
}
