//! The `explain` and `watch` commands, which show decisions.

use std::io::Write;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Method, StatusCode};
use serde_json::Value;

use super::{write, write_value};
use crate::Error;
use crate::client::{Answer, Client};
use crate::output;

/// Maximum length of a line of the stream; a decision lists at most the engines of a zone.
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
    let mut path = "/admin/watch".to_owned();
    if !kinds.is_empty() {
        path.push_str("?kind=");
        path.push_str(&kinds.join(","));
    }
    let response = client.start(Method::GET, &path, None, Bytes::new()).await?;
    if response.status() != StatusCode::OK {
        let status = response.status().as_u16();
        let body = response.into_body().collect().await;
        let body = body
            .map(http_body_util::Collected::to_bytes)
            .unwrap_or_default();
        client.expect_success(Answer { status, body })?;
        return Err(Error::Protocol(format!("status {status}")));
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
            write_event(&String::from_utf8_lossy(&line), is_json, out)?;
        }
        if buffer.len() > MAX_LINE_BYTES {
            return Err(Error::Protocol("a decision is too long".to_owned()));
        }
    }
    Ok(())
}

fn write_event(line: &str, is_json: bool, out: &mut impl Write) -> Result<(), Error> {
    let Some(data) = line.trim_end().strip_prefix("data:") else {
        return Ok(());
    };
    let event: Value = serde_json::from_str(data.trim_start())
        .map_err(|error| Error::Protocol(error.to_string()))?;
    let text = if is_json {
        format!("{event}\n")
    } else if let Some(lost) = event["lost"].as_u64() {
        format!("{lost} decisions were not shown, since they came too fast\n")
    } else {
        format!("{}\n", output::decision_line(&event))
    };
    write(out, &text)
}
