//! Routes of the administration API.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::json;
use tealsaddle_core::inventory::Inventory;

use super::request::{self, ErrorResponse};
use super::{AdminState, error_response, watch};
use crate::caller::response::{self, Body};
use crate::control::api::{DrainOutcome, NoAnswer};
use crate::control::config_write::ConfigWriteOutcome;

/// Timeout for calls that the control thread answers from memory.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for calls to the platform, including their retries.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of versions in a history response without a `limit` parameter.
const DEFAULT_HISTORY_LIMIT: u64 = 20;
/// Maximum number of versions in a history response.
const MAX_HISTORY_LIMIT: u64 = 200;

type HandlerResult = Result<Response<Body>, ErrorResponse>;

/// Body of `POST /admin/drain`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct DrainRequest {
    /// Name of the engine to drain.
    #[serde(default)]
    engine: Option<String>,
    /// Whether the node itself is to drain and leave.
    #[serde(default)]
    node: bool,
    /// Ends the drain of the engine.
    #[serde(default)]
    undo: bool,
}

fn control_timed_out(_: NoAnswer) -> ErrorResponse {
    error_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "control_late",
        "the control thread did not answer in time",
        "ask again",
    )
}

/// Passes an authorized request to the handler of its method and path.
pub async fn handle(admin: &Arc<AdminState>, request: Request<Incoming>) -> HandlerResult {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/admin/status") => status(admin).await,
        (&Method::GET, "/admin/counters") => Ok(response::json(
            StatusCode::OK,
            &admin.traffic.counters.snapshot(),
        )),
        (&Method::GET, "/admin/config") => config(admin).await,
        (&Method::PUT, "/admin/config") => put_config(admin, request).await,
        (&Method::GET, "/admin/config/history") => history(admin, &request).await,
        (&Method::POST, "/admin/config/check") => check(request).await,
        (&Method::POST, "/admin/drain") => drain(admin, request).await,
        (&Method::GET, "/admin/watch") => watch::stream_decisions(admin, &request),
        (&Method::GET, path) if path.starts_with("/admin/explain/") => {
            explain(admin, path.trim_start_matches("/admin/explain/"))
        }
        (
            _,
            "/admin/status"
            | "/admin/counters"
            | "/admin/config"
            | "/admin/config/history"
            | "/admin/config/check"
            | "/admin/drain"
            | "/admin/watch",
        ) => Err(error_response(
            StatusCode::METHOD_NOT_ALLOWED,
            "method_not_allowed",
            "the path does not take this method",
            "see docs/design.md, section 9",
        )),
        _ => Err(error_response(
            StatusCode::NOT_FOUND,
            "no_such_path",
            &format!("{path} does not exist"),
            "see docs/design.md, section 9",
        )),
    }
}

async fn status(admin: &AdminState) -> HandlerResult {
    let status = admin
        .control
        .status(CONTROL_TIMEOUT)
        .await
        .map_err(control_timed_out)?;
    Ok(response::json(StatusCode::OK, &status))
}

async fn config(admin: &AdminState) -> HandlerResult {
    let record = admin
        .control
        .config(CONTROL_TIMEOUT)
        .await
        .map_err(control_timed_out)?;
    let record = record.ok_or_else(|| {
        error_response(
            StatusCode::NOT_FOUND,
            "no_config",
            "no configuration is in force on this node",
            "put the first one with if_version=0",
        )
    })?;
    let body = json!({
        "version": record.version,
        "author": record.author,
        "accepted_at_unix_ms": record.accepted_at_unix_ms,
        "yaml": record.yaml,
    });
    Ok(response::json(StatusCode::OK, &body))
}

async fn put_config(admin: &AdminState, request: Request<Incoming>) -> HandlerResult {
    let if_version = request::query_number(&request, "if_version")?.ok_or_else(|| {
        error_response(
            StatusCode::BAD_REQUEST,
            "invalid_parameter",
            "if_version: must be given",
            "name the version that the change is based on, 0 for the first",
        )
    })?;
    let author = request
        .headers()
        .get("x-author")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("operator")
        .chars()
        .take(100)
        .collect();
    let yaml = request::read_text(request).await?;
    let written = admin
        .control
        .put_config(PLATFORM_TIMEOUT, if_version, author, yaml)
        .await
        .map_err(control_timed_out)?;
    match written {
        ConfigWriteOutcome::Accepted(record) => Ok(response::json(
            StatusCode::OK,
            &json!({ "version": record.version, "write_id": record.write_id }),
        )),
        ConfigWriteOutcome::Invalid(message) => Err(error_response(
            StatusCode::BAD_REQUEST,
            "invalid_config",
            &message,
            "correct the file; nothing was written",
        )),
        ConfigWriteOutcome::Conflict {
            version,
            author,
            diff,
        } => Err(ErrorResponse(Box::new(response::json(
            StatusCode::CONFLICT,
            &json!({ "error": {
                "code": "version_conflict",
                "message": format!(
                    "the change is based on version {if_version}, but version {version} by \
                     {author} is in force; nothing was written"
                ),
                "next": format!("take the difference over and put with if_version={version}"),
                "current_version": version,
                "current_author": author,
                "diff": diff,
            }}),
        )))),
        ConfigWriteOutcome::Unavailable {
            may_be_written,
            message,
        } => {
            let next = if may_be_written {
                "read /admin/config/history once the platform answers; the change may be in force"
            } else {
                "put it again once the platform answers; nothing was written"
            };
            Err(ErrorResponse(Box::new(response::json(
                StatusCode::SERVICE_UNAVAILABLE,
                &json!({ "error": {
                    "code": "platform_unavailable",
                    "message": message,
                    "next": next,
                    "may_be_written": may_be_written,
                }}),
            ))))
        }
    }
}

async fn history(admin: &AdminState, request: &Request<Incoming>) -> HandlerResult {
    let limit = request::query_number(request, "limit")?.unwrap_or(DEFAULT_HISTORY_LIMIT);
    let entries = admin
        .control
        .config_history(PLATFORM_TIMEOUT, limit.min(MAX_HISTORY_LIMIT))
        .await
        .map_err(control_timed_out)?;
    entries
        .map(|entries| response::json(StatusCode::OK, &entries))
        .map_err(|message| {
            error_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "platform_unavailable",
                &message,
                "ask again once the platform answers",
            )
        })
}

async fn check(request: Request<Incoming>) -> HandlerResult {
    let yaml = request::read_text(request).await?;
    match Inventory::from_yaml(&yaml, 0) {
        Ok(inventory) => Ok(response::json(
            StatusCode::OK,
            &json!({
                "valid": true,
                "zones": inventory.zones.len(),
                "models": inventory.models.len(),
                "engines": inventory.engines.len(),
                "services": inventory.services.len(),
                "customers": inventory.customers.len(),
            }),
        )),
        Err(error) => Err(error_response(
            StatusCode::BAD_REQUEST,
            "invalid_config",
            &error.to_string(),
            "correct the file",
        )),
    }
}

async fn drain(admin: &AdminState, request: Request<Incoming>) -> HandlerResult {
    let request: DrainRequest = request::read_json(request).await?;
    match (request.engine, request.node) {
        (Some(engine), false) => drain_engine(admin, engine, !request.undo).await,
        (None, true) if !request.undo => {
            admin
                .control
                .leave(CONTROL_TIMEOUT)
                .await
                .map_err(control_timed_out)?;
            Ok(response::json(
                StatusCode::ACCEPTED,
                &json!({ "leaving": true }),
            ))
        }
        _ => Err(error_response(
            StatusCode::BAD_REQUEST,
            "invalid_body",
            "either engine or node must be given; a node cannot be opened again",
            "send {\"engine\": NAME} or {\"node\": true}",
        )),
    }
}

async fn drain_engine(admin: &AdminState, engine: String, is_drained: bool) -> HandlerResult {
    let reply = admin
        .control
        .drain_engine(CONTROL_TIMEOUT, engine.clone(), is_drained)
        .await
        .map_err(control_timed_out)?;
    match reply {
        DrainOutcome::Accepted => Ok(response::json(
            StatusCode::ACCEPTED,
            &json!({ "engine": engine, "drained": is_drained }),
        )),
        DrainOutcome::UnknownEngine => Err(error_response(
            StatusCode::NOT_FOUND,
            "no_such_engine",
            &format!("the zone has no engine {engine:?}"),
            "see the engines in /admin/status",
        )),
        DrainOutcome::NoHolder => Err(error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "no_holder",
            "only the zone's order holder drains engines, and none answers",
            "ask again in a few seconds",
        )),
    }
}

fn explain(admin: &AdminState, subject: &str) -> HandlerResult {
    let decisions = admin.traffic.explain(subject);
    if decisions.is_empty() {
        return Err(error_response(
            StatusCode::NOT_FOUND,
            "no_decisions",
            &format!("this node remembers no decision about {subject:?}"),
            "ask the node that served the request; it remembers the last few thousand decisions",
        ));
    }
    Ok(response::json(StatusCode::OK, &decisions))
}
