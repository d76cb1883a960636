//! Stand-in of the platform's key-value service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;

use crate::http::{self, Body, Server};

/// A stored value.
#[derive(Debug, Clone, Serialize)]
struct Entry {
    key: String,
    version: u64,
    value: serde_json::Value,
}

type Store = Arc<Mutex<BTreeMap<String, Entry>>>;

/// Binds a platform stand-in.
pub async fn bind(address: SocketAddr) -> std::io::Result<Server> {
    let store = Store::default();
    http::bind(address, move |request| answer(request, Arc::clone(&store))).await
}

async fn answer(request: Request<Incoming>, store: Store) -> Response<Body> {
    let Some(key) = request.uri().path().strip_prefix("/kv/").map(str::to_owned) else {
        return http::json(StatusCode::NOT_FOUND, &"no such path");
    };
    match *request.method() {
        Method::GET => {
            let store = store.lock().expect("no holder of the lock panics");
            match store.get(&key) {
                Some(entry) => http::json(StatusCode::OK, entry),
                None => http::json(StatusCode::NOT_FOUND, &"no such key"),
            }
        }
        Method::PUT => put(request, key, store).await,
        _ => http::json(StatusCode::METHOD_NOT_ALLOWED, &"use GET or PUT"),
    }
}

async fn put(request: Request<Incoming>, key: String, store: Store) -> Response<Body> {
    let expected = http::query_value(&request, "if_version").and_then(|text| text.parse().ok());
    let Ok(body) = request.into_body().collect().await else {
        return http::json(StatusCode::BAD_REQUEST, &"body was cut off");
    };
    let Ok(value) = serde_json::from_slice(&body.to_bytes()) else {
        return http::json(StatusCode::BAD_REQUEST, &"value is not JSON");
    };
    let mut store = store.lock().expect("no holder of the lock panics");
    let current = store.get(&key).map_or(0, |entry| entry.version);
    if expected.is_some_and(|version: u64| version != current) {
        return http::json(
            StatusCode::CONFLICT,
            &serde_json::json!({ "version": current }),
        );
    }
    let version = current + 1;
    store.insert(
        key.clone(),
        Entry {
            key,
            version,
            value,
        },
    );
    http::json(StatusCode::OK, &serde_json::json!({ "version": version }))
}
