//! Commands that show decisions.

use std::io::Write;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Method, StatusCode};
use serde_json::Value;

use super::{write, write_value};
use crate::Error;
use crate::client::Client;
use crate::output;

/// Longest line of the stream; a decision lists at most the engines of a zone.
const MAX_LINE_BYTES: usize = 1 << 20;

pub(super) async fn explain(
    client: &Client,
    request_id: &str,
    is_json: bool,
    out: &mut impl Write,
) -> Result<(), Error> {
    let value = client
        .get(&format!("/admin/explain/{request_id}"))
        .await?
        .json()?;
    if is_json {
        return write_value(out, &value, true);
    }
    let decisions = value.as_array().cloned().unwrap_or_default();
    if decisions.is_empty() {
        return Err(Error::Refused {
            status: StatusCode::NOT_FOUND.as_u16(),
            message: format!(
                "this node has no decision about {request_id}; it keeps the last ones only"
            ),
        });
    }
    for decision in &decisions {
        write(out, &output::decision_block(decision))?;
    }
    Ok(())
}

pub(super) async fn watch(
    client: &Client,
    kinds: &[String],
    is_json: bool,
    out: &mut impl Write,
) -> Result<(), Error> {
    let response = client
        .start(Method::GET, "/admin/watch", None, Bytes::new())
        .await?;
    if response.status() != StatusCode::OK {
        let status = response.status().as_u16();
        return Err(Error::Refused {
            status,
            message: "the node does not show it".to_owned(),
        });
    }
    let mut body = response.into_body();
    let mut buffer = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Error::Protocol(error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        buffer.extend_from_slice(&data);
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = buffer.drain(..=end).collect();
            show_line(&String::from_utf8_lossy(&line), kinds, is_json, out)?;
        }
        if buffer.len() > MAX_LINE_BYTES {
            return Err(Error::Protocol("a decision is too long".to_owned()));
        }
    }
    Ok(())
}

fn show_line(
    line: &str,
    kinds: &[String],
    is_json: bool,
    out: &mut impl Write,
) -> Result<(), Error> {
    let Some(data) = line.trim_end().strip_prefix("data:") else {
        return Ok(());
    };
    let decision: Value = serde_json::from_str(data.trim_start())
        .map_err(|error| Error::Protocol(error.to_string()))?;
    let kind = decision["kind"].as_str().unwrap_or_default();
    if !kinds.is_empty() && !kinds.iter().any(|wanted| wanted == kind) {
        return Ok(());
    }
    if is_json {
        write(out, &format!("{decision}\n"))
    } else {
        write(out, &format!("{}\n", output::decision_line(&decision)))
    }
}
