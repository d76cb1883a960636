//! HTTP face of the engine stand-in.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Method, Request, Response, StatusCode};

use super::text;
use super::wire::{GenerateEvent, GenerateRequest};
use crate::http::{self, Body, Server};

/// Speed of the stand-in.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Prompt tokens read in a second.
    pub prefill_tokens_per_s: u64,
    /// Time between two tokens of one request.
    pub between_tokens_ms: u64,
}

/// Binds an engine stand-in.
pub async fn bind(address: SocketAddr, config: EngineConfig) -> std::io::Result<Server> {
    let config = Arc::new(config);
    http::bind(address, move |request| answer(request, Arc::clone(&config))).await
}

async fn answer(request: Request<Incoming>, config: Arc<EngineConfig>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::POST, "/generate") => generate(request, config).await,
        _ => http::json(StatusCode::NOT_FOUND, &"no such path"),
    }
}

async fn generate(request: Request<Incoming>, config: Arc<EngineConfig>) -> Response<Body> {
    let Ok(body) = request.into_body().collect().await else {
        return http::json(StatusCode::BAD_REQUEST, &"body was cut off");
    };
    let request: GenerateRequest = match serde_json::from_slice(&body.to_bytes()) {
        Ok(request) => request,
        Err(error) => return http::json(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let prompt_tokens = text::count_tokens(&request.prompt);
    let prefill = Duration::from_micros(prompt_tokens * 1_000_000 / config.prefill_tokens_per_s);
    let between = Duration::from_millis(config.between_tokens_ms);
    let request = Arc::new(request);
    let tokens = stream::iter(request.resume_at..request.max_tokens).then({
        let request = Arc::clone(&request);
        move |index| {
            let request = Arc::clone(&request);
            async move {
                tokio::time::sleep(if index == request.resume_at {
                    prefill
                } else {
                    between
                })
                .await;
                line(&GenerateEvent {
                    attempt_id: request.attempt_id.clone(),
                    index: Some(index),
                    text: Some(text::token(&request.prompt, request.seed, index)),
                    ..GenerateEvent::default()
                })
            }
        }
    });
    let last = line(&GenerateEvent {
        attempt_id: request.attempt_id.clone(),
        done: true,
        finish_reason: Some("length".to_owned()),
        prompt_tokens: Some(prompt_tokens),
        cached_tokens: Some(0),
        output_tokens: Some(request.max_tokens.saturating_sub(request.resume_at)),
        ..GenerateEvent::default()
    });
    let frames = tokens.chain(stream::once(async { last })).map(Ok);
    Response::new(StreamBody::new(frames).boxed_unsync())
}

fn line(event: &GenerateEvent) -> Frame<Bytes> {
    let mut bytes = serde_json::to_vec(event).expect("events are plain JSON values");
    bytes.push(b'\n');
    Frame::data(Bytes::from(bytes))
}
