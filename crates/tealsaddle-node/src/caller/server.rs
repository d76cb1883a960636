//! HTTP server for callers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto::Builder;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use uuid::Uuid;

use super::completion::{self, Completion, Output};
use super::openai::{self, CompletionRequest, Interface, Usage};
use super::response::{self, Body, REQUEST_ID, Refusal};
use crate::Error;
use crate::traffic::Traffic;

/// Binds the address for callers and serves them until the runtime stops.
pub async fn bind(address: SocketAddr, traffic: Arc<Traffic>) -> Result<(), Error> {
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| Error::Listen { address, source })?;
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            // Nagle's algorithm would hold back single tokens of a stream.
            if stream.set_nodelay(true).is_err() {
                continue;
            }
            let traffic = Arc::clone(&traffic);
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let traffic = Arc::clone(&traffic);
                    async move { Ok::<_, Infallible>(answer(traffic, request).await) }
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

async fn answer(traffic: Arc<Traffic>, request: Request<Incoming>) -> Response<Body> {
    let request_id = Uuid::new_v4().to_string();
    traffic.counters.increment("caller.requests");
    let result = match (request.method(), request.uri().path()) {
        (&Method::GET, "/v1/models") => Ok(models(&traffic)),
        (&Method::POST, "/v1/chat/completions") => {
            complete(&traffic, request, &request_id, Interface::Chat).await
        }
        (&Method::POST, "/v1/completions") => {
            complete(&traffic, request, &request_id, Interface::Text).await
        }
        _ => Err(Refusal::not_run(
            StatusCode::NOT_FOUND,
            "no_such_path",
            "no such path",
        )),
    };
    let mut response = result.unwrap_or_else(|refusal| {
        traffic
            .counters
            .increment(&format!("refused.{}", refusal.reason));
        refusal.to_response(&request_id)
    });
    let id = HeaderValue::from_str(&request_id).expect("a UUID is a valid header value");
    response.headers_mut().insert(REQUEST_ID, id);
    response
}

fn models(traffic: &Traffic) -> Response<Body> {
    let snapshot = traffic.snapshot.load();
    let mut names: Vec<&str> = match &snapshot.inventory {
        Some(inventory) => inventory.models.keys().map(|name| &**name).collect(),
        None => Vec::new(),
    };
    names.sort_unstable();
    let data: Vec<_> = names
        .iter()
        .map(|name| serde_json::json!({ "id": name, "object": "model", "owned_by": "tealsaddle" }))
        .collect();
    response::json(
        StatusCode::OK,
        &serde_json::json!({ "object": "list", "data": data }),
    )
}

async fn complete(
    traffic: &Arc<Traffic>,
    request: Request<Incoming>,
    request_id: &str,
    interface: Interface,
) -> Result<Response<Body>, Refusal> {
    let limit = traffic.settings.limits.request_body_bytes as usize;
    let body = Limited::new(request.into_body(), limit)
        .collect()
        .await
        .map_err(|error| {
            if error.is::<http_body_util::LengthLimitError>() {
                let message = format!("the body is longer than {limit} bytes");
                Refusal::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message)
            } else {
                Refusal::not_run(
                    StatusCode::BAD_REQUEST,
                    "body_cut_off",
                    "the body was cut off",
                )
            }
        })?;
    let invalid =
        |message: String| Refusal::not_run(StatusCode::BAD_REQUEST, "invalid_request", message);
    let request: CompletionRequest =
        serde_json::from_slice(&body.to_bytes()).map_err(|error| invalid(error.to_string()))?;
    let prompt = request
        .prompt_text(interface)
        .map_err(|message| invalid(message.to_owned()))?;
    let model = traffic
        .snapshot
        .load()
        .inventory
        .as_ref()
        .and_then(|inventory| inventory.models.get(request.model.as_str()).cloned())
        .ok_or_else(|| {
            let message = format!("model {:?} does not exist", request.model);
            Refusal::not_run(StatusCode::NOT_FOUND, "model_not_found", message)
        })?;
    let max_tokens = request
        .max_completion_tokens
        .or(request.max_tokens)
        .unwrap_or_else(|| u64::from(model.max_output_tokens))
        .min(u64::from(model.max_output_tokens));
    let completion = Completion {
        request_id: request_id.to_owned(),
        model,
        prompt: prompt.into(),
        max_tokens,
        seed: request.seed.unwrap_or(0),
    };
    let id = format!("cmpl-{request_id}");
    let name = completion.model.name.to_string();
    let output = completion::spawn(Arc::clone(traffic), completion);
    if request.stream {
        let include_usage = request
            .stream_options
            .is_some_and(|options| options.include_usage);
        stream_answer(output, interface, id, name, request_id, include_usage).await
    } else {
        whole_answer(output, interface, &id, &name).await
    }
}

async fn whole_answer(
    mut output: mpsc::Receiver<Output>,
    interface: Interface,
    id: &str,
    model: &str,
) -> Result<Response<Body>, Refusal> {
    let mut text = String::new();
    let mut completion_tokens = 0;
    while let Some(next) = output.recv().await {
        match next {
            Output::Token(token) => {
                text.push_str(&token);
                completion_tokens += 1;
            }
            Output::Done {
                finish_reason,
                prompt_tokens,
            } => {
                let usage = Usage {
                    prompt_tokens,
                    completion_tokens,
                    total_tokens: prompt_tokens + completion_tokens,
                };
                let value = openai::whole(interface, id, model, &text, &finish_reason, usage);
                return Ok(response::json(StatusCode::OK, &value));
            }
            Output::Failed(refusal) => return Err(refusal),
        }
    }
    Err(Refusal::unknown(
        StatusCode::BAD_GATEWAY,
        "connection_lost",
        "the answer broke off",
    ))
}

fn event(value: &serde_json::Value) -> Bytes {
    Bytes::from(format!("data: {value}\n\n"))
}

async fn stream_answer(
    mut output: mpsc::Receiver<Output>,
    interface: Interface,
    id: String,
    model: String,
    request_id: &str,
    include_usage: bool,
) -> Result<Response<Body>, Refusal> {
    // The status is only sent with the first output, so that a refusal keeps its own status.
    let first = match output.recv().await {
        Some(Output::Failed(refusal)) => return Err(refusal),
        first => first,
    };
    let request_id = request_id.to_owned();
    let rest = stream::unfold(output, |mut output| async move {
        output.recv().await.map(|next| (next, output))
    });
    let mut completion_tokens = 0;
    let frames = stream::iter(first).chain(rest).map(move |next| {
        let bytes = match next {
            Output::Token(token) => {
                completion_tokens += 1;
                event(&openai::chunk(interface, &id, &model, &token, None))
            }
            Output::Done {
                finish_reason,
                prompt_tokens,
            } => {
                let mut last = event(&openai::chunk(
                    interface,
                    &id,
                    &model,
                    "",
                    Some(&finish_reason),
                ))
                .to_vec();
                if include_usage {
                    let mut usage = openai::chunk(interface, &id, &model, "", None);
                    usage["choices"] = serde_json::json!([]);
                    usage["usage"] = serde_json::json!(Usage {
                        prompt_tokens,
                        completion_tokens,
                        total_tokens: prompt_tokens + completion_tokens,
                    });
                    last.extend_from_slice(&event(&usage));
                }
                last.extend_from_slice(b"data: [DONE]\n\n");
                Bytes::from(last)
            }
            Output::Failed(refusal) => event(&refusal.to_json(&request_id)),
        };
        Ok(Frame::data(bytes))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    Ok(response)
}
