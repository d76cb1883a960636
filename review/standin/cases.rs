//! The cases.

mod cut_short;
mod deadly;
mod drill;
mod late_refusal;
mod limit;

use std::path::Path;
use std::time::{Duration, Instant};

pub fn run(case: &str, directory: &Path, has_trouble: bool) -> Result<bool, String> {
    match case {
        "deadly" => deadly::run(directory, has_trouble),
        "drill" => drill::run(directory, has_trouble),
        "cut-short" => cut_short::run(directory, has_trouble),
        "late-refusal" => late_refusal::run(directory, has_trouble),
        "limit" => limit::run(directory, has_trouble),
        other => Err(format!("no case is named {other}")),
    }
}

/// Waits until something holds.
pub fn wait_for<T, F>(what: &str, limit: Duration, mut check: F) -> Result<T, String>
where
    F: FnMut() -> Option<T>,
{
    let until = Instant::now() + limit;
    loop {
        if let Some(value) = check() {
            return Ok(value);
        }
        if Instant::now() > until {
            return Err(format!("timed out: {what}"));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// A configuration with a route `/page/` of kind `idempotent` to the service `ladder`, `/slow/` to the service `archive`,
/// and `/verdict/` to the model service `readers`.
pub fn config(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"verdict\",\"host\":\"league.example\",\"prefix\":\"/verdict/\",\"kind\":\"streaming\",\"timeout_ms\":5000,\"slo_ms\":800,\
         \"priority\":1,\"service\":\"readers\",\"max_attempts\":2,\"sticky\":true,\"resumable\":true,\"gap_target_ms\":300}},\
         {{\"name\":\"page\",\"host\":\"league.example\",\"prefix\":\"/page/\",\"kind\":\"idempotent\",\"timeout_ms\":2500,\"slo_ms\":150,\
         \"priority\":2,\"service\":\"ladder\",\"max_attempts\":2}},\
         {{\"name\":\"slow\",\"host\":\"league.example\",\"prefix\":\"/slow/\",\"kind\":\"non_idempotent\",\"timeout_ms\":7000,\"slo_ms\":3000,\
         \"priority\":2,\"service\":\"archive\",\"max_attempts\":1}}],\
         \"services\":[{{\"name\":\"readers\",\"health_path\":\"/healthz\",\"max_conns\":360,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":64,\"kv_tokens\":555723,\"kv_bytes\":18432,\"link_mbps\":370000.0,\"switch_s\":3.0,\"handle_ttl_s\":5.0}}}},\
         {{\"name\":\"ladder\",\"health_path\":\"/healthz\",\"max_conns\":360}},{{\"name\":\"archive\",\"health_path\":\"/healthz\",\"max_conns\":360}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}
