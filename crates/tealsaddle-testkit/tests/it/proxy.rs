//! Tests of the proxy and of the service stand-in behind it.

use hyper::Method;
use tealsaddle_testkit::client::{Answer, Client, ClientError, wait_until};
use tealsaddle_testkit::proxy::{Flow, Proxy};
use tealsaddle_testkit::service::Service;

async fn start() -> (Service, Proxy) {
    let any = "127.0.0.1:0".parse().expect("an address");
    let service = Service::bind(any).await.expect("the service starts");
    let proxy = Proxy::bind(service.address())
        .await
        .expect("the proxy starts");
    (service, proxy)
}

async fn post(proxy: &Proxy, path: &str, body: &'static str) -> Result<Answer, ClientError> {
    let address = proxy.address();
    Client::open()
        .call(Method::POST, address, path, &[], body)
        .await
}

/// Guards against held bytes that are lost when their sender gives up. They must also be
/// replayable.
#[tokio::test]
async fn held_request_is_delivered_after_its_sender_disconnects() {
    let (service, proxy) = start().await;
    proxy.update(|rules| rules.held_prefix = Some("POST /order".to_owned()));
    assert_eq!(
        post(&proxy, "/load", "a").await.expect("an answer").status,
        200
    );
    {
        let held = post(&proxy, "/order", "b");
        tokio::pin!(held);
        let seen = wait_until(|| async { proxy.held_requests() == 1 });
        tokio::select! {
            _ = &mut held => panic!("a held request was answered"),
            () = seen => {}
        }
    }
    assert_eq!(service.executions("b"), 0);
    proxy.clear_rules();
    wait_until(|| async { service.executions("b") == 1 }).await;
    let answers = proxy.replay_held().await.expect("the target answers");
    assert!(answers[0].starts_with("HTTP/1.1 200"), "{answers:?}");
    assert_eq!(service.executions("b"), 2);
}

/// Guards against a fault of the response direction that also stops the request.
#[tokio::test]
async fn dropped_response_does_not_undo_the_execution() {
    let (service, proxy) = start().await;
    proxy.update(|rules| rules.answers = Flow::Drop);
    {
        let lost = post(&proxy, "/score", "a");
        tokio::pin!(lost);
        let ran = wait_until(|| async { service.executions("a") == 1 });
        tokio::select! {
            _ = &mut lost => panic!("a dropped answer arrived"),
            () = ran => {}
        }
    }
    proxy.reset();
    post(&proxy, "/score", "b").await.expect_err("a reset");
    assert_eq!(service.executions("b"), 0);
    proxy.clear_rules();
    assert_eq!(
        post(&proxy, "/score", "c").await.expect("an answer").status,
        200
    );
    assert!(proxy.connections_opened() >= 3);
}

/// Guards against a service that counts a refused call as executed. An executed call must count
/// even if its connection breaks.
#[tokio::test]
async fn service_counts_executions_separately_from_responses() {
    let (service, proxy) = start().await;
    service.update(|faults| {
        faults.refuse = 1;
        faults.crash_after_execution = 1;
    });
    assert_eq!(
        post(&proxy, "/score", "a").await.expect("an answer").status,
        503
    );
    assert_eq!(service.executions("a"), 0);
    post(&proxy, "/score", "a").await.expect_err("a crash");
    assert_eq!(service.executions("a"), 1);
}
