//! Tells a peer that is busy from one that has gone silent.
//!
//! A forwarded answer may take as long as the whole generation, so the time until its head says
//! nothing about the peer. A process that is paused or cut off still has its connections accepted by
//! the kernel or left open by the network, and only a question that any live process answers at once
//! tells it apart. A refused connection counts as an answer: a peer that stops has closed its listener
//! and still completes the request, and the end of a process breaks the connection of the request itself.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::Request;
use tealsaddle_core::retry::{AttemptOutcome, NotRunReason};
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::response::Body;
use crate::traffic::Traffic;

/// Time between two questions. Most answers begin before the first one.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for the answer to one question, which a live node gives within milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Questions without an answer after which the peer counts as silent; one can be lost by chance.
const SILENT_PROBES: u32 = 2;

/// Ends when the peer has left several questions in a row without an answer.
pub async fn wait_until_unresponsive(traffic: &Traffic, peer: SocketAddr) {
    let mut unanswered = 0;
    while unanswered < SILENT_PROBES {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let deadline = Instant::now() + PROBE_TIMEOUT;
        // A fresh connection; an answer with any status shows that the process runs.
        let is_alive = match traffic.targets.send(question(peer), false, deadline).await {
            Ok(_any) => true,
            Err(AttemptOutcome::NotRun(NotRunReason::ConnectFailed)) => refuses(peer).await,
            Err(_none) => false,
        };
        unanswered = if is_alive { 0 } else { unanswered + 1 };
    }
}

/// Whether the peer's VM is there and nothing listens at the address.
async fn refuses(peer: SocketAddr) -> bool {
    let connecting = TcpStream::connect(peer);
    let connected = tokio::time::timeout(PROBE_TIMEOUT, connecting).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

fn question(peer: SocketAddr) -> Request<Body> {
    Request::get(format!("http://{peer}/readyz"))
        .body(
            Full::default()
                .map_err(|never| match never {})
                .boxed_unsync(),
        )
        .expect("an address makes a valid URI")
}
