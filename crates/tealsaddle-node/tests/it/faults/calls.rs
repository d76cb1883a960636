//! G5 and G6: a call reported as not run was not run, and a non-repeatable call runs at most once.

use hyper::Method;
use rand::{RngExt, SeedableRng};
use tealsaddle_node::clock;
use tealsaddle_testkit::client::Client;
use tealsaddle_testkit::deployment::Deployment;

use super::{plan, submit};

/// Period of the retry budget.
const SECOND_US: u64 = 1_000_000;
const ZONES: [&str; 2] = ["buda-hall", "pest-hall"];

/// Starts one node in each of two zones, and the service `ladder` in the first zone.
pub async fn start(test: &str) -> Deployment {
    let plan = plan(test).node("vm-1", ZONES[0]).node("vm-2", ZONES[1]);
    let stand_ins = plan.service("ladder", ZONES[0]).start_stand_ins().await;
    let mut deployment = stand_ins.expect("the stand-ins start");
    deployment.inventory.services[0].timeout_ms = 2_000;
    deployment.write_config();
    for vm in ["vm-1", "vm-2"] {
        deployment.start_node(vm).expect("the node starts");
    }
    for vm in ["vm-1", "vm-2"] {
        deployment.wait_ready(vm).await;
    }
    deployment
}

/// Guards against wrong outcomes when refusals, crashes, failures and broken connections of a service
/// occur in random order.
#[tokio::test]
async fn outcomes_are_correct_under_mixed_faults() {
    let deployment = start("calls-mixed").await;
    let service = deployment.service("ladder");
    let link = deployment.service_proxy("ladder");
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(41);
    for i in 0..60 {
        link.clear_rules();
        match rng.random_range(0..6) {
            0 => service.update(|faults| faults.refuse = 1),
            1 => service.update(|faults| faults.crash_after_execution = 1),
            2 => service.update(|faults| faults.fail_after_execution = 1),
            3 => link.reset(),
            4 => service.update(|faults| faults.refuse = 5),
            _ => {}
        }
        let body = format!("score-{i}");
        let key = rng.random::<bool>().then_some(body.as_str());
        let vm = ["vm-1", "vm-2"][rng.random_range(0..2)];
        let answer = submit(&deployment, vm, key, &body)
            .await
            .expect("an answer");
        let ran = service.executions(&body);
        assert!(ran <= 1, "{body}: {ran} runs, {answer:?}");
        match answer.header("x-outcome") {
            "not-run" => assert_eq!(ran, 0, "{body}: {answer:?}"),
            "unknown" => {}
            _ if answer.status == 200 => assert_eq!(ran, 1, "{body}: {answer:?}"),
            _ => {}
        }
        service.update(|faults| faults.refuse = 0);
    }
}

/// Guards against retries that multiply the load on a target while it is down.
#[tokio::test]
async fn retries_to_a_failed_target_stay_within_the_budget() {
    let deployment = start("calls-retries").await;
    let service = deployment.service("ladder");
    service.update(|faults| faults.is_down = true);
    let begin_us = clock::now_us();
    let address = deployment.config("vm-1").caller;
    let requests = 200_u32;
    let client = Client::open();
    for i in 0..requests {
        let path = format!("/services/ladder/table?request={i}");
        let answer = client.call(Method::GET, address, &path, &[], "").await;
        assert_ne!(answer.expect("an answer").status, 200);
    }
    let end_us = clock::now_us();
    let calls = service.calls();
    let most = (0..requests)
        .map(|i| {
            let query = format!("request={i}");
            calls
                .iter()
                .filter(|call| call.path.ends_with(&query))
                .count()
        })
        .max();
    assert!(most <= Some(3), "{most:?} attempts for one request");
    // Each whole second of the node's clock grants 3 retries or 10% of its requests, whichever is larger, and
    // the unused part of one earlier second. With all requests in one of the seconds, the others grant 3 each.
    let retries = calls.len() as u64 - u64::from(requests);
    let seconds = end_us / SECOND_US - begin_us / SECOND_US + 1;
    let allowed = u64::from(requests) / 10 + 3 * (seconds - 1) + 3;
    assert!(retries <= allowed, "{retries} retries in {seconds} seconds");
}
