//! Fault injection with real processes. The modules name the guarantees (G1 to G9) of section 1 of the
//! design that their tests check.

mod calls;
mod claims;
mod configuration;
mod leaving;
mod orders;
mod partition;
mod stopping;
mod streams;

use std::path::Path;

use hyper::Method;
use tealsaddle_testkit::client::{Answer, Client, ClientError};
use tealsaddle_testkit::deployment::{Deployment, Plan};
use tealsaddle_testkit::engine::text;

/// A deployment plan whose files are in a directory named by `test`.
fn plan(test: &str) -> Plan {
    Plan::new(
        Path::new(env!("CARGO_BIN_EXE_tealsaddle")),
        &Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join("faults")
            .join(test),
    )
}

/// Submits a score to the service `ladder` through a node. The call is non-repeatable.
async fn submit(
    deployment: &Deployment,
    vm: &str,
    key: Option<&str>,
    body: &str,
) -> Result<Answer, ClientError> {
    let address = deployment.config(vm).caller;
    let headers: Vec<_> = key
        .into_iter()
        .map(|key| ("idempotency-key", key))
        .collect();
    let path = "/services/ladder/scores";
    let body = body.to_owned();
    Client::open()
        .call(Method::POST, address, path, &headers, body)
        .await
}

/// Asserts that the stream of a completion with seed 7 is complete and belongs to `prompt`.
fn assert_complete(answer: &Answer, prompt: &str, tokens: u64) {
    let expected = (text::answer(prompt, 7, tokens), true);
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.streamed_text(), expected, "{answer:?}");
}
