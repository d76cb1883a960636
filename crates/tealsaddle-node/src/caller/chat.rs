//! Handlers of the two completion endpoints, streamed or not.

use std::sync::Arc;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use tokio::sync::mpsc;

use super::admit;
use super::completion::{self, Completion, Done, Output};
use super::dispatch::{MAX_HOPS, RequestContext};
use super::forward::{self, ForwardedRequest};
use super::openai::{CompletionRequest, Interface, ResponseFormat, Usage};
use super::proxy::read_body;
use super::response::{self, Body, BodyError, Refusal};
use super::select::{self, Selection};
use crate::traffic::Traffic;

/// Handles `POST /v1/chat/completions` and `POST /v1/completions`.
pub async fn complete(
    traffic: &Arc<Traffic>,
    request: Request<Incoming>,
    context: RequestContext,
    interface: Interface,
) -> Result<Response<Body>, Refusal> {
    let (head, body) = request.into_parts();
    let (body, _body_permit) = read_body(traffic, body).await?;
    let parsed = CompletionRequest::from_json(interface, &body)
        .map_err(|invalid| Refusal::invalid(invalid.field, invalid.rule))?;
    let forward = ForwardedRequest {
        method: head.method,
        path: head.uri.path().to_owned(),
        headers: head.headers,
        body,
        is_repeatable: !context.is_non_repeatable,
        is_streamed: parsed.is_streamed,
    };
    let snapshot = traffic.snapshot.load_full();
    let Some(inventory) = snapshot
        .inventory
        .as_ref()
        .filter(|_| snapshot.is_registered)
    else {
        let peers = forward::ranked_peers(traffic, &snapshot);
        return forward::send(traffic, &context, forward, &peers, "not_registered").await;
    };
    let Some(model) = inventory.models.get(parsed.model.as_str()) else {
        let message = format!("model {:?} does not exist", parsed.model);
        return Err(Refusal {
            param: Some("model".to_owned()),
            ..Refusal::not_run(StatusCode::NOT_FOUND, "model_not_found", message)
        });
    };
    let max_tokens = u64::from(model.max_output_tokens);
    let format = ResponseFormat::new(interface, &context.request_id, &model.name);
    let completion = Completion {
        request_id: context.request_id.clone(),
        model: Arc::clone(model),
        prompt_tokens: parsed.prompt.split_whitespace().count() as u64,
        prefix_blocks: tealsaddle_core::prefix::blocks(&parsed.prompt).into(),
        prompt: parsed.prompt.into(),
        max_tokens: parsed.max_tokens.unwrap_or(max_tokens).min(max_tokens),
        seed: parsed.seed.unwrap_or_else(rand::random),
        priority: context
            .customer
            .as_ref()
            .map_or(0, |customer| customer.priority),
        arrived_us: context.arrived_us,
        is_repeatable: !context.is_non_repeatable,
    };
    drop(snapshot);
    let plan = match select::for_first_attempt(traffic, &completion, context.hops < MAX_HOPS) {
        Selection::Local(plan, estimate, targets) => {
            traffic.demands.on_request(&completion.model.name);
            admit::check_rate(traffic, &context)?;
            admit::admit(traffic, &context, &completion, targets, &estimate)?;
            plan
        }
        Selection::OtherZone(peers) => {
            return forward::send(traffic, &context, forward, &peers, "spill").await;
        }
        Selection::None => {
            traffic.demands.on_request(&completion.model.name);
            return Err(select::no_engine());
        }
    };
    let request_id = completion.request_id.clone();
    let output = completion::spawn(Arc::clone(traffic), completion, plan);
    if parsed.is_streamed {
        streamed_response(output, &format, request_id, parsed.includes_usage).await
    } else {
        buffered_response(output, &format).await
    }
}

fn usage(done: &Done, completion_tokens: u64) -> Usage {
    Usage::new(done.prompt_tokens, completion_tokens)
}

async fn buffered_response(
    mut output: mpsc::Receiver<Output>,
    format: &ResponseFormat,
) -> Result<Response<Body>, Refusal> {
    let mut text = String::new();
    let mut tokens = 0;
    while let Some(next) = output.recv().await {
        match next {
            Output::Token(token) => {
                text.push_str(&token);
                tokens += 1;
            }
            Output::Done(done) => {
                let value = format.whole(&text, &done.finish_reason, usage(&done, tokens));
                return Ok(response::json(StatusCode::OK, &value));
            }
            Output::Failed(refusal) => return Err(refusal),
        }
    }
    Err(completion::connection_lost())
}

async fn streamed_response(
    mut output: mpsc::Receiver<Output>,
    format: &ResponseFormat,
    request_id: String,
    includes_usage: bool,
) -> Result<Response<Body>, Refusal> {
    // The response head waits for the first output, so that a refusal is sent with its own status.
    let first = match output.recv().await {
        Some(Output::Failed(refusal)) => return Err(refusal),
        Some(first) => first,
        None => return Err(completion::connection_lost()),
    };
    let rest = stream::unfold((output, false), |(mut output, has_ended)| async move {
        if has_ended {
            return None;
        }
        // A channel that closes without a final output is a failure, not the end of the response.
        let next = output
            .recv()
            .await
            .unwrap_or_else(|| Output::Failed(completion::connection_lost()));
        let has_ended = !matches!(next, Output::Token(_));
        Some((next, (output, has_ended)))
    });
    let has_rest = matches!(first, Output::Token(_));
    let rest = if has_rest {
        rest.left_stream()
    } else {
        stream::empty().right_stream()
    };
    let mut chunks = format.chunks();
    let mut tokens = 0;
    let frames = stream::once(async { first }).chain(rest).map(move |next| {
        let bytes = match next {
            Output::Token(text) => {
                tokens += 1;
                chunks.token(&text)
            }
            Output::Done(done) => {
                let usage = includes_usage.then(|| usage(&done, tokens));
                chunks.end(&done.finish_reason, usage)
            }
            Output::Failed(refusal) => error_event(&refusal, &request_id),
        };
        Ok::<_, BodyError>(Frame::data(bytes))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    Ok(response)
}

/// Returns the server-sent event that ends a stream after a failure.
pub fn error_event(refusal: &Refusal, request_id: &str) -> Bytes {
    Bytes::from(format!("data: {}\n\n", refusal.to_json(request_id)))
}
