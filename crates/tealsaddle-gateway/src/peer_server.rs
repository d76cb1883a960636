//! Server of the address for peers: the state of the node, messages about crashes and about runners that ask for
//! less, and paths to runners that are lent.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::Error;
use crate::borrowed_paths::lender;
use crate::changes::CHANGES_PATH;
use crate::control::ControlHandle;
use crate::departures::DEPARTURES_PATH;
use crate::front::{ACCEPT_PAUSE, listen, text_response};
use crate::gateway::Gateway;
use crate::peers::STATE_PATH;
use crate::quarantine::messages;
use crate::upstream::set_options;

/// Largest message of a peer.
const MAX_MESSAGE_BYTES: usize = 256 << 10;

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
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        set_options(&stream);
        let gateway = Arc::clone(&gateway);
        let control = Arc::clone(&control);
        let service = service_fn(move |request: Request<Incoming>| {
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
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        // A peer that disconnects is not an error.
        tokio::spawn(async move { drop(connection.with_upgrades().await) });
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
    let answered = gateway.send_gate.answer(&path, &body);
    let answered = answered.or_else(|| gateway.shares.answer(&path, &body));
    let answered = answered.or_else(|| gateway.versions.answer(&path, &body));
    answered.unwrap_or_else(|| messages::answer(gateway, &path, &body))
}

/// The body of a message; `None` if it is too long or cut off.
async fn read(request: Request<Incoming>) -> Option<Bytes> {
    let body = Limited::new(request.into_body(), MAX_MESSAGE_BYTES);
    let collected = body.collect().await.ok()?;
    Some(collected.to_bytes())
}
