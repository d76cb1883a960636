//! Detects peers that have become unresponsive while a forwarded request waits for them.
//!
//! A forwarded response may take as long as the whole generation, so the time until its head says
//! nothing about the health of the peer. The connections of a paused process are still accepted by
//! the kernel, and those of an unreachable one stay open, so only a probe that any live process
//! answers at once detects either. A refused connection counts as an answer: a stopping peer closes
//! its listener and still completes the request, and a process that exits closes the connection of
//! the request itself.

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

/// Interval between two probes. Most responses begin before the first one.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of one probe, which a live node answers within milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Consecutive probes without an answer after which the peer counts as unresponsive; a single one may
/// be lost by chance.
const MAX_UNANSWERED_PROBES: u32 = 2;

/// Returns when the peer has left several consecutive probes unanswered.
pub async fn wait_until_unresponsive(traffic: &Traffic, peer: SocketAddr) {
    let mut unanswered = 0;
    while unanswered < MAX_UNANSWERED_PROBES {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let is_alive = answers_probe(traffic, peer).await;
        unanswered = if is_alive { 0 } else { unanswered + 1 };
    }
}

/// Returns when the peer answers a probe. The first one is sent at once.
pub async fn wait_until_responsive(traffic: &Traffic, peer: SocketAddr) {
    while !answers_probe(traffic, peer).await {
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

async fn answers_probe(traffic: &Traffic, peer: SocketAddr) -> bool {
    let deadline = Instant::now() + PROBE_TIMEOUT;
    // A new connection for each probe; a response with any status shows that the process runs.
    let probe = traffic.targets.send(probe_request(peer), false, deadline);
    match probe.await {
        Ok(_any) => true,
        Err(AttemptOutcome::NotRun(NotRunReason::ConnectFailed)) => is_refused(peer).await,
        Err(_none) => false,
    }
}

/// Whether the peer's VM is reachable and refuses connections to the address.
async fn is_refused(peer: SocketAddr) -> bool {
    let attempt = TcpStream::connect(peer);
    let connected = tokio::time::timeout(PROBE_TIMEOUT, attempt).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

fn probe_request(peer: SocketAddr) -> Request<Body> {
    Request::get(format!("http://{peer}/readyz"))
        .body(
            Full::default()
                .map_err(|never| match never {})
                .boxed_unsync(),
        )
        .expect("an address makes a valid URI")
}
