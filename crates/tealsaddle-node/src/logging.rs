//! Log output through `fern`, as text or as JSON lines, with key-value pairs.
//!
//! Only changes of state are logged; events of single requests are counted instead.

use tealsaddle_gateway::logging::{json_line, text_line};

use crate::Error;
use crate::settings::LogSettings;

/// Installs the global logger of the process.
pub fn open(settings: &LogSettings) -> Result<(), Error> {
    let is_json = settings.is_json;
    let dispatch = fern::Dispatch::new()
        // Libraries log events of single connections, so only their warnings are written.
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
