//! Implementation of the commands.

mod config;
mod decisions;

use std::io::Write;

use hyper::Method;
use serde_json::Value;

use crate::Error;
use crate::args::{ADMIN_VARIABLE, Command, Connection, TOKEN_VARIABLE};
use crate::client::Client;
use crate::output;

/// Runs a command and writes its output to `out`.
pub async fn run<W>(
    command: Command,
    connection: &Connection,
    is_json: bool,
    out: &mut W,
) -> Result<(), Error>
where
    W: Write,
{
    if let Command::ConfigCheck { file } = &command {
        return config::check(file, out);
    }
    let client = open_client(connection)?;
    match command {
        Command::ConfigCheck { file } => config::check(&file, out),
        Command::Status => show(&client, "/admin/status", is_json, out).await,
        Command::Counters => show(&client, "/admin/counters", is_json, out).await,
        Command::ConfigHistory => show(&client, "/admin/config/history", is_json, out).await,
        Command::ConfigGet => config::get(&client, is_json, out).await,
        Command::ConfigDiff { file } => config::diff(&client, &file, out).await,
        Command::ConfigApply {
            file,
            if_version,
            author,
        } => config::apply(&client, &file, if_version, author.as_deref(), out).await,
        Command::DrainEngine { engine, is_undo } => {
            let body = serde_json::json!({ "engine": engine, "undo": is_undo });
            drain(&client, &body, is_json, out).await
        }
        Command::DrainNode => {
            drain(&client, &serde_json::json!({ "node": true }), is_json, out).await
        }
        Command::Watch { kinds } => decisions::watch(&client, &kinds, is_json, out).await,
        Command::Explain { request_id } => {
            decisions::explain(&client, &request_id, is_json, out).await
        }
    }
}

fn open_client(connection: &Connection) -> Result<Client, Error> {
    let admin = connection.admin.ok_or_else(|| {
        Error::Usage(format!(
            "give the node's address with --admin or {ADMIN_VARIABLE}"
        ))
    })?;
    let token = match &connection.token_file {
        Some(file) => std::fs::read_to_string(file).map_err(|source| Error::ReadFile {
            file: file.clone(),
            source,
        })?,
        None => std::env::var(TOKEN_VARIABLE).map_err(|_unset| {
            Error::Usage(format!(
                "give the token with --token-file or {TOKEN_VARIABLE}"
            ))
        })?,
    };
    Ok(Client::open(admin, token.trim().to_owned()))
}

fn write(out: &mut impl Write, text: &str) -> Result<(), Error> {
    out.write_all(text.as_bytes())
        .and_then(|()| out.flush())
        .map_err(Error::Output)
}

fn write_value(out: &mut impl Write, value: &Value, is_json: bool) -> Result<(), Error> {
    if is_json {
        write(out, &format!("{value:#}\n"))
    } else {
        write(out, &output::render(value))
    }
}

async fn show(
    client: &Client,
    path: &str,
    is_json: bool,
    out: &mut impl Write,
) -> Result<(), Error> {
    let answer = client.get(path).await?;
    write_value(out, &answer.json()?, is_json)
}

async fn drain(
    client: &Client,
    body: &Value,
    is_json: bool,
    out: &mut impl Write,
) -> Result<(), Error> {
    let answer = client
        .call(Method::POST, "/admin/drain", None, body.to_string())
        .await?;
    write_value(out, &client.expect_success(answer)?.json()?, is_json)
}
