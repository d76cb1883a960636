//! The `config` commands.

use std::io::Write;

use hyper::Method;
use similar::TextDiff;
use tealsaddle_core::inventory::Inventory;

use super::{write, write_value};
use crate::Error;
use crate::client::Client;

fn read(file: &str) -> Result<String, Error> {
    std::fs::read_to_string(file).map_err(|source| Error::ReadFile {
        file: file.to_owned(),
        source,
    })
}

/// Reads a configuration file and validates it with the same code as the nodes.
fn read_and_validate(file: &str) -> Result<String, Error> {
    let text = read(file)?;
    match Inventory::from_yaml(&text, 0) {
        Ok(_inventory) => Ok(text),
        Err(error) => Err(Error::InvalidConfig {
            file: file.to_owned(),
            message: error.to_string(),
        }),
    }
}

/// Returns version, YAML and whole record of the configuration in force; version 0 means that there
/// is none yet.
async fn current_config(client: &Client) -> Result<(u64, String, serde_json::Value), Error> {
    let answer = client.call(Method::GET, "/admin/config", None, "").await?;
    if answer.status == 404 {
        return Ok((0, String::new(), serde_json::Value::Null));
    }
    let value = client.expect_success(answer)?.json()?;
    let version = value["version"].as_u64();
    let version =
        version.ok_or_else(|| Error::Protocol("the configuration has no version".to_owned()))?;
    let yaml = value["yaml"].as_str().unwrap_or_default().to_owned();
    Ok((version, yaml, value))
}

pub(super) fn check(file: &str, out: &mut impl Write) -> Result<(), Error> {
    read_and_validate(file)?;
    write(out, &format!("{file}: valid\n"))
}

pub(super) async fn get(client: &Client, is_json: bool, out: &mut impl Write) -> Result<(), Error> {
    let (_version, yaml, value) = current_config(client).await?;
    if is_json {
        write_value(out, &value, true)
    } else {
        write(out, &yaml)
    }
}

pub(super) async fn diff(client: &Client, file: &str, out: &mut impl Write) -> Result<(), Error> {
    let text = read(file)?;
    let (version, yaml, _value) = current_config(client).await?;
    if text == yaml {
        return write(out, &format!("{file} equals version {version}\n"));
    }
    let diff = TextDiff::from_lines(&yaml, &text);
    let header = format!("version {version}");
    write(out, &diff.unified_diff().header(&header, file).to_string())?;
    Err(Error::Differs {
        file: file.to_owned(),
        version,
    })
}

pub(super) async fn apply(
    client: &Client,
    file: &str,
    if_version: Option<u64>,
    author: Option<&str>,
    out: &mut impl Write,
) -> Result<(), Error> {
    let text = read_and_validate(file)?;
    let if_version = match if_version {
        Some(version) => version,
        None => current_config(client).await?.0,
    };
    let path = format!("/admin/config?if_version={if_version}");
    let answer = client.call(Method::PUT, &path, author, text).await?;
    let value = client.expect_success(answer)?.json()?;
    let version = value["version"].as_u64().unwrap_or(if_version + 1);
    write(out, &format!("accepted as version {version}\n"))
}
