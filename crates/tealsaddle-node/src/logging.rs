//! Log output through `fern`, as text or as JSON lines, with key-value pairs.
//!
//! Lines are written only for changes of state; what happens per request is counted instead.

use std::fmt::Write as _;

use log::kv::{Key, Value, VisitSource};

use crate::Error;
use crate::clock;
use crate::settings::LogSettings;

/// Collects the key-value pairs of a record.
#[derive(Debug, Default)]
struct Pairs(Vec<(String, String)>);

impl<'kvs> VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0.push((key.to_string(), value.to_string()));
        Ok(())
    }
}

fn pairs(record: &log::Record<'_>) -> Vec<(String, String)> {
    let mut pairs = Pairs::default();
    // A value that cannot be shown is left out; the line itself is still worth writing.
    drop(record.key_values().visit(&mut pairs));
    pairs.0
}

fn text_line(message: &std::fmt::Arguments<'_>, record: &log::Record<'_>) -> String {
    let mut line = format!("{} {} {message}", clock::unix_ms(), record.level());
    for (key, value) in pairs(record) {
        write!(line, " {key}={value}").expect("writing to a string cannot fail");
    }
    line
}

fn json_line(message: &std::fmt::Arguments<'_>, record: &log::Record<'_>) -> String {
    let mut object = serde_json::Map::new();
    object.insert("unix_ms".to_owned(), clock::unix_ms().into());
    object.insert("level".to_owned(), record.level().as_str().into());
    object.insert("target".to_owned(), record.target().into());
    object.insert("message".to_owned(), message.to_string().into());
    for (key, value) in pairs(record) {
        object.insert(key, value.into());
    }
    serde_json::Value::Object(object).to_string()
}

/// Opens the log for the whole process.
pub fn open(settings: &LogSettings) -> Result<(), Error> {
    let is_json = settings.is_json;
    let dispatch = fern::Dispatch::new()
        // Libraries log per connection; only their warnings are changes of state.
        .level(settings.level.min(log::LevelFilter::Warn))
        .level_for("tealsaddle_node", settings.level)
        .format(move |out, message, record| {
            if is_json {
                out.finish(format_args!("{}", json_line(message, record)));
            } else {
                out.finish(format_args!("{}", text_line(message, record)));
            }
        });
    let dispatch = match &settings.file {
        Some(file) => {
            let output = fern::log_file(file).map_err(|error| Error::Log(error.to_string()))?;
            dispatch.chain(output)
        }
        None => dispatch.chain(std::io::stderr()),
    };
    dispatch
        .apply()
        .map_err(|error| Error::Log(error.to_string()))
}
