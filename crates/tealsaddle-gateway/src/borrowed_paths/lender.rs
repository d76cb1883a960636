//! Lending this node's path to a runner to another node.
//!
//! Bytes pass both ways until one side closes; then the other side is closed in the same manner. A reset is passed on as a
//! reset: an answer that ends with its connection must not look complete.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::http::uri::Authority;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tealsaddle_core::fleet::paths::Way;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

use crate::clock;
use crate::gateway::Gateway;
use crate::snapshot::FleetSnapshot;
use crate::upstream::set_options;

/// Largest number of paths that are lent at a time.
const MAX_LENT: usize = 256;
/// Time for connecting to the runner. The node that asks waits little longer.
const LENT_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Bound on the paths that a node lends.
#[derive(Debug)]
pub struct LentPaths(Arc<Semaphore>);

impl Default for LentPaths {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(MAX_LENT)))
    }
}

impl LentPaths {
    /// Number of paths that other nodes use now.
    pub fn in_use(&self) -> usize {
        MAX_LENT - self.0.available_permits()
    }
}

/// Answers a request of the node at `from` for the path to the runner that its target names.
pub async fn answer(
    gateway: &Arc<Gateway>,
    from: IpAddr,
    request: Request<Incoming>,
) -> StatusCode {
    let status = lend(gateway, from, request).await;
    let name = match status {
        StatusCode::OK => "paths.lent",
        StatusCode::BAD_GATEWAY => "paths.runner_unreachable",
        _ => "paths.unable_to_lend",
    };
    gateway.metrics.increment(name);
    status
}

async fn lend(gateway: &Arc<Gateway>, from: IpAddr, request: Request<Incoming>) -> StatusCode {
    let target = request.uri().authority().map(Authority::as_str);
    let Some(runner) = target.and_then(|target| target.parse::<SocketAddr>().ok()) else {
        return StatusCode::BAD_REQUEST;
    };
    let snapshot = gateway.snapshot.load_full();
    if !is_member(&snapshot, from) || !is_runner(&snapshot, runner) {
        log::warn!(from:%, runner:%; "refused to lend a path: not a registered node, or not a registered runner");
        return StatusCode::FORBIDDEN;
    }
    let paths = &gateway.runner_paths;
    let way = paths.paths().way(runner, clock::now_us());
    if gateway.is_stopping() || way == Way::Borrowed {
        return StatusCode::SERVICE_UNAVAILABLE;
    }
    let Ok(place) = Arc::clone(&gateway.lent_paths.0).try_acquire_owned() else {
        return StatusCode::SERVICE_UNAVAILABLE;
    };
    let connecting = tokio::time::timeout(LENT_CONNECT_TIMEOUT, paths.connect_directly(runner));
    let Ok(Some(stream)) = connecting.await else {
        return if paths.reaches_others(runner).await {
            StatusCode::BAD_GATEWAY
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
    };
    set_options(&stream);
    let in_flight = gateway.begin_request();
    tokio::spawn(async move {
        let _held = (place, in_flight);
        if let Ok(upgraded) = hyper::upgrade::on(request).await
            && let Ok(parts) = upgraded.downcast::<TokioIo<TcpStream>>()
        {
            relay(parts.io.into_inner(), stream, &parts.read_buf).await;
        }
    });
    StatusCode::OK
}

fn is_member(snapshot: &FleetSnapshot, from: IpAddr) -> bool {
    let mut members = snapshot.members.iter();
    members.any(|member| member.address.ip() == from)
}

fn is_runner(snapshot: &FleetSnapshot, address: SocketAddr) -> bool {
    let mut runners = snapshot.runners.values().flatten();
    runners.any(|runner| runner.address == address)
}

/// Passes bytes on until one side closes. `first` has arrived from the node already.
async fn relay(mut node: TcpStream, mut runner: TcpStream, first: &[u8]) {
    if runner.write_all(first).await.is_err() {
        reset(&node);
        return;
    }
    let (mut from_node, mut to_node) = node.split();
    let (mut from_runner, mut to_runner) = runner.split();
    let ended = tokio::select! {
        _ended = tokio::io::copy(&mut from_node, &mut to_runner) => None,
        ended = tokio::io::copy(&mut from_runner, &mut to_node) => Some(ended),
    };
    match ended {
        // The node has given the request up: both connections are closed.
        None => {}
        Some(Ok(_bytes)) => drop(to_node.shutdown().await),
        Some(Err(_reset)) => reset(&node),
    }
}

/// Has the connection reset when it is dropped.
fn reset(stream: &TcpStream) {
    let linger: io::Result<()> = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    if let Err(error) = linger {
        log::debug!(error:%; "a socket option was refused");
    }
}
