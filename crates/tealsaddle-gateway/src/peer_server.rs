//! Server of the address for peers: the state of the node, messages about crashes and about runners that ask for
//! less, and paths to runners that are lent.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::Error;
use crate::borrowed_paths::lender;
use crate::changes::CHANGES_PATH;
use crate::control::ControlHandle;
use crate::departures::DEPARTURES_PATH;
use crate::endpoint_connections::EndpointConnections;
use crate::front::{ACCEPT_PAUSE, listen, text_response};
use crate::gateway::Gateway;
use crate::peers::STATE_PATH;
use crate::quarantine::messages;
use crate::sizing::messages::{self as loads, LOADS_PATH};
use crate::timeout::timeout_at;
use crate::upstream::set_options;

/// Largest message of a peer.
const MAX_MESSAGE_BYTES: usize = 256 << 10;
/// Longest time for a message to arrive; peers give up far earlier.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves the peers, if the settings name an address for it.
pub fn bind(gateway: &Arc<Gateway>, control: &Arc<ControlHandle>) -> Result<(), Error> {
    let Some(address) = gateway.config.peer_listen else {
        return Ok(());
    };
    let listener = listen(address)?;
    tokio::spawn(accept(listener, Arc::clone(gateway), Arc::clone(control)));
    Ok(())
}

async fn accept(listener: TcpListener, gateway: Arc<Gateway>, control: Arc<ControlHandle>) {
    let limits = gateway.config.limits;
    let most = limits.map(|limits| limits.peer_connections());
    let connections = EndpointConnections::open(most, Arc::clone(&gateway.metrics));
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        set_options(&stream);
        let gateway = Arc::clone(&gateway);
        let control = Arc::clone(&control);
        let open = connections.add();
        let served = Arc::clone(&open);
        let service = service_fn(move |request: Request<Incoming>| {
            served.on_request();
            let gateway = Arc::clone(&gateway);
            let control = Arc::clone(&control);
            async move {
                if request.method() == Method::CONNECT {
                    let status = lender::answer(&gateway, address.ip(), request).await;
                    return Ok(text_response(status, String::new()));
                }
                let (status, text) = respond(&gateway, &control, request).await;
                Ok::<Response<_>, Infallible>(text_response(status, text))
            }
        });
        let builder = connections.builder();
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move { open.run(connection.with_upgrades()).await });
    }
}

async fn respond(
    gateway: &Arc<Gateway>,
    control: &ControlHandle,
    request: Request<Incoming>,
) -> (StatusCode, String) {
    let path = request.uri().path().to_owned();
    if path == STATE_PATH {
        return (StatusCode::OK, control.peer_state());
    }
    if request.method() != Method::POST {
        return (StatusCode::NOT_FOUND, String::new());
    }
    let Some(body) = read(request).await else {
        return (StatusCode::BAD_REQUEST, String::new());
    };
    if path == DEPARTURES_PATH {
        return control.answer_departures(&body);
    }
    if path == CHANGES_PATH {
        return control.answer_changes(&body).await;
    }
    if path == LOADS_PATH {
        return loads::answer(gateway, &body);
    }
    let answered = gateway.send_gate.answer(&path, &body);
    let answered = answered.or_else(|| gateway.shares.answer(&path, &body));
    let answered = answered.or_else(|| gateway.versions.answer(&path, &body));
    let answered = answered.or_else(|| gateway.usage.answer(&path, &body));
    answered.unwrap_or_else(|| messages::answer(gateway, &path, &body))
}

/// The body of a message; `None` if it is too long, too late or cut off.
async fn read(request: Request<Incoming>) -> Option<Bytes> {
    let body = Limited::new(request.into_body(), MAX_MESSAGE_BYTES);
    let limit = Instant::now() + MESSAGE_TIMEOUT;
    let collected = timeout_at(limit, body.collect()).await.ok()?.ok()?;
    Some(collected.to_bytes())
}
