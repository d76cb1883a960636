//! The administration API: HTTP and JSON behind a bearer token.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto::Builder;
use tokio::net::TcpListener;

use crate::Error;
use crate::caller::response::{Body, json};
use crate::traffic::Traffic;

/// Binds the address for operators and serves them until the runtime stops.
pub async fn bind(address: SocketAddr, traffic: Arc<Traffic>) -> Result<(), Error> {
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| Error::Listen { address, source })?;
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let traffic = Arc::clone(&traffic);
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let response = answer(&traffic, &request);
                    async move { Ok::<_, Infallible>(response) }
                });
                let connection = Builder::new(TokioExecutor::new());
                // A broken connection ends its own requests and nothing else.
                drop(
                    connection
                        .serve_connection(TokioIo::new(stream), service)
                        .await,
                );
            });
        }
    });
    Ok(())
}

fn is_authorized(traffic: &Traffic, request: &Request<Incoming>) -> bool {
    request
        .headers()
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .is_some_and(|token| token == traffic.settings.admin_token)
}

fn answer(traffic: &Traffic, request: &Request<Incoming>) -> Response<Body> {
    if !is_authorized(traffic, request) {
        let message = serde_json::json!({ "error": "a bearer token is needed" });
        return json(StatusCode::UNAUTHORIZED, &message);
    }
    let path = request.uri().path();
    match (request.method(), path) {
        (&Method::GET, "/admin/status") => {
            let snapshot = traffic.snapshot.load();
            let version = snapshot
                .inventory
                .as_ref()
                .map_or(0, |inventory| inventory.version);
            let open: std::collections::BTreeMap<_, _> = snapshot
                .open_engines
                .iter()
                .map(|(name, role)| (&**name, role.as_str()))
                .collect();
            let status = serde_json::json!({
                "vm": &*traffic.settings.vm,
                "zone": &*traffic.settings.zone,
                "config_version": version,
                "open_engines": open,
            });
            json(StatusCode::OK, &status)
        }
        (&Method::GET, "/admin/counters") => json(StatusCode::OK, &traffic.counters.snapshot()),
        (&Method::GET, _) if path.starts_with("/admin/explain/") => {
            let request_id = path.trim_start_matches("/admin/explain/");
            json(StatusCode::OK, &traffic.explain(request_id))
        }
        _ => json(
            StatusCode::NOT_FOUND,
            &serde_json::json!({ "error": "no such path" }),
        ),
    }
}
