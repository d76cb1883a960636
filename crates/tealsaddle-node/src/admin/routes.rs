//! Paths of the administration API.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::json;
use tealsaddle_core::inventory::Inventory;

use super::request::{self, Refused};
use super::{Admin, refused, watch};
use crate::caller::response::{self, Body};
use crate::control::api::{DrainOutcome, NoAnswer};
use crate::control::config_write::ConfigWriteOutcome;

/// Time for the control thread to answer from memory.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for a call that goes to the platform, with its retries.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(20);
/// Versions of the history that are shown unless asked otherwise, and at most.
const HISTORY_SHOWN: u64 = 20;
const HISTORY_MAX: u64 = 200;

type Answer = Result<Response<Body>, Refused>;

/// Body of `POST /admin/drain`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct DrainRequest {
    /// The engine to drain.
    #[serde(default)]
    engine: Option<String>,
    /// Whether the node itself is to leave.
    #[serde(default)]
    node: bool,
    /// Opens the engine again.
    #[serde(default)]
    undo: bool,
}

fn late(_: NoAnswer) -> Refused {
    refused(
        StatusCode::SERVICE_UNAVAILABLE,
        "control_late",
        "the control thread did not answer in time",
        "ask again",
    )
}

/// Answers one request.
pub async fn answer(admin: &Arc<Admin>, request: Request<Incoming>) -> Answer {
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
        (&Method::GET, "/admin/watch") => watch::answer(admin, &request),
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
        ) => Err(refused(
            StatusCode::METHOD_NOT_ALLOWED,
            "method_not_allowed",
            "the path does not take this method",
            "see docs/design.md, section 9",
        )),
        _ => Err(refused(
            StatusCode::NOT_FOUND,
            "no_such_path",
            &format!("{path} does not exist"),
            "see docs/design.md, section 9",
        )),
    }
}

async fn status(admin: &Admin) -> Answer {
    let status = admin.control.status(CONTROL_TIMEOUT).await.map_err(late)?;
    Ok(response::json(StatusCode::OK, &status))
}

async fn config(admin: &Admin) -> Answer {
    let record = admin.control.config(CONTROL_TIMEOUT).await.map_err(late)?;
    let record = record.ok_or_else(|| {
        refused(
            StatusCode::NOT_FOUND,
            "no_config",
            "no configuration is in force on this node",
            "put the first one with if_version=0",
        )
    })?;
    let answer = json!({
        "version": record.version,
        "author": record.author,
        "accepted_at_unix_ms": record.accepted_at_unix_ms,
        "yaml": record.yaml,
    });
    Ok(response::json(StatusCode::OK, &answer))
}

async fn put_config(admin: &Admin, request: Request<Incoming>) -> Answer {
    let if_version = request::number(&request, "if_version")?.ok_or_else(|| {
        refused(
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
    let yaml = request::text(request).await?;
    let written = admin
        .control
        .put_config(PLATFORM_TIMEOUT, if_version, author, yaml)
        .await
        .map_err(late)?;
    match written {
        ConfigWriteOutcome::Accepted(record) => Ok(response::json(
            StatusCode::OK,
            &json!({ "version": record.version, "write_id": record.write_id }),
        )),
        ConfigWriteOutcome::Invalid(message) => Err(refused(
            StatusCode::BAD_REQUEST,
            "invalid_config",
            &message,
            "correct the file; nothing was written",
        )),
        ConfigWriteOutcome::Conflict {
            version,
            author,
            diff,
        } => Err(Refused(Box::new(response::json(
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
            Err(Refused(Box::new(response::json(
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

async fn history(admin: &Admin, request: &Request<Incoming>) -> Answer {
    let limit = request::number(request, "limit")?.unwrap_or(HISTORY_SHOWN);
    let entries = admin
        .control
        .config_history(PLATFORM_TIMEOUT, limit.min(HISTORY_MAX))
        .await
        .map_err(late)?;
    entries
        .map(|entries| response::json(StatusCode::OK, &entries))
        .map_err(|message| {
            refused(
                StatusCode::SERVICE_UNAVAILABLE,
                "platform_unavailable",
                &message,
                "ask again once the platform answers",
            )
        })
}

async fn check(request: Request<Incoming>) -> Answer {
    let yaml = request::text(request).await?;
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
        Err(error) => Err(refused(
            StatusCode::BAD_REQUEST,
            "invalid_config",
            &error.to_string(),
            "correct the file",
        )),
    }
}

async fn drain(admin: &Admin, request: Request<Incoming>) -> Answer {
    let request: DrainRequest = request::parsed(request).await?;
    match (request.engine, request.node) {
        (Some(engine), false) => drain_engine(admin, engine, !request.undo).await,
        (None, true) if !request.undo => {
            admin.control.leave(CONTROL_TIMEOUT).await.map_err(late)?;
            Ok(response::json(
                StatusCode::ACCEPTED,
                &json!({ "leaving": true }),
            ))
        }
        _ => Err(refused(
            StatusCode::BAD_REQUEST,
            "invalid_body",
            "either engine or node must be given; a node cannot be opened again",
            "send {\"engine\": NAME} or {\"node\": true}",
        )),
    }
}

async fn drain_engine(admin: &Admin, engine: String, is_drained: bool) -> Answer {
    let reply = admin
        .control
        .drain_engine(CONTROL_TIMEOUT, engine.clone(), is_drained)
        .await
        .map_err(late)?;
    match reply {
        DrainOutcome::Accepted => Ok(response::json(
            StatusCode::ACCEPTED,
            &json!({ "engine": engine, "drained": is_drained }),
        )),
        DrainOutcome::UnknownEngine => Err(refused(
            StatusCode::NOT_FOUND,
            "no_such_engine",
            &format!("the zone has no engine {engine:?}"),
            "see the engines in /admin/status",
        )),
        DrainOutcome::NoHolder => Err(refused(
            StatusCode::SERVICE_UNAVAILABLE,
            "no_holder",
            "only the zone's order holder drains engines, and none answers",
            "ask again in a few seconds",
        )),
    }
}

fn explain(admin: &Admin, subject: &str) -> Answer {
    let decisions = admin.traffic.explain(subject);
    if decisions.is_empty() {
        return Err(refused(
            StatusCode::NOT_FOUND,
            "no_decisions",
            &format!("this node remembers no decision about {subject:?}"),
            "ask the node that served the request; it remembers the last few thousand decisions",
        ));
    }
    Ok(response::json(StatusCode::OK, &decisions))
}
