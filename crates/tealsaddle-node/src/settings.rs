//! Settings of a node, read from YAML and validated as a whole before the node starts.

use std::net::SocketAddr;
use std::time::Duration;

use tealsaddle_core::name::Name;
use tealsaddle_schema::settings as schema;

use crate::Error;

/// Validated settings of a node, with defaults filled in.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the VM, as in the platform's VM list.
    pub vm: Name,
    /// Availability zone of the VM.
    pub zone: Name,
    /// Listen address for callers.
    pub caller_listen: SocketAddr,
    /// Listen address for peers.
    pub peer_listen: SocketAddr,
    /// Listen address of the administration API.
    pub admin_listen: SocketAddr,
    /// Number of traffic threads; one per core by default.
    pub traffic_threads: usize,
    /// Address of the platform's HTTP API.
    pub platform_address: SocketAddr,
    /// Timeout of one platform call, after which its outcome counts as unknown.
    pub platform_timeout: Duration,
    /// Peer addresses to contact before the VM list is known.
    pub seed_peers: Vec<SocketAddr>,
    /// Bearer token of the administration API.
    pub admin_token: String,
    /// Level, format and destination of the log.
    pub log: LogSettings,
    /// Destination and prefix of metrics.
    pub metrics: MetricsSettings,
    /// Limits on callers.
    pub limits: Limits,
}

/// Settings of the log.
#[derive(Debug, Clone)]
pub struct LogSettings {
    /// Least severe level that is written.
    pub level: log::LevelFilter,
    /// Whether lines are JSON objects instead of text.
    pub is_json: bool,
    /// File to append to; `None` means standard error.
    pub file: Option<String>,
}

/// Settings of the metrics.
#[derive(Debug, Clone)]
pub struct MetricsSettings {
    /// Address of a StatsD collector, if there is one.
    pub statsd_address: Option<SocketAddr>,
    /// Prefix of metric names.
    pub prefix: String,
}

/// Limits on the resources that callers may use.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub request_body_bytes: u64,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum number of requests in flight.
    pub requests_in_flight: usize,
    /// Timeout for a caller to send its request headers.
    pub header_timeout: Duration,
    /// Time for which a planned stop waits for requests in flight; `None` means no limit.
    pub drain_timeout: Option<Duration>,
}

impl Settings {
    /// Reads and validates a settings file.
    pub fn from_file(file: &str) -> Result<Self, Error> {
        let text = std::fs::read_to_string(file).map_err(|source| Error::ReadFile {
            file: file.to_owned(),
            source,
        })?;
        Self::from_yaml(&text).map_err(|message| Error::InvalidSettings {
            file: file.to_owned(),
            message,
        })
    }

    /// Parses and validates settings. The error names the field and the rule that it violates.
    pub fn from_yaml(text: &str) -> Result<Self, String> {
        let settings: schema::Settings =
            serde_saphyr::from_str(text).map_err(|error| error.to_string())?;
        let node = settings.node.ok_or("node: must be given")?;
        let platform = settings.platform.ok_or("platform: must be given")?;
        let admin = settings.admin.ok_or("admin: must be given")?;
        let mut seed_peers = Vec::new();
        for (i, peer) in settings.seed_peers.iter().enumerate() {
            seed_peers.push(address(&format!("seed_peers[{i}]"), peer)?);
        }
        let metrics = settings.metrics.unwrap_or_default();
        Ok(Self {
            vm: required("node.vm", &node.vm)?.into(),
            zone: required("node.zone", &node.zone)?.into(),
            caller_listen: address("node.caller_listen", &node.caller_listen)?,
            peer_listen: address("node.peer_listen", &node.peer_listen)?,
            admin_listen: address("node.admin_listen", &node.admin_listen)?,
            traffic_threads: match node.traffic_threads {
                0 => std::thread::available_parallelism().map_or(1, usize::from),
                count => count as usize,
            },
            platform_address: address("platform.address", &platform.address)?,
            platform_timeout: duration_ms(platform.timeout_ms, 1_000),
            seed_peers,
            admin_token: required("admin.token", &admin.token)?.to_owned(),
            log: log_settings(&settings.log.unwrap_or_default())?,
            metrics: MetricsSettings {
                statsd_address: match metrics.statsd_address.as_str() {
                    "" => None,
                    text => Some(address("metrics.statsd_address", text)?),
                },
                prefix: match metrics.prefix.as_str() {
                    "" => "tealsaddle".to_owned(),
                    text => text.to_owned(),
                },
            },
            limits: limits(&settings.limits.unwrap_or_default()),
        })
    }
}

fn required<'a>(field: &str, text: &'a str) -> Result<&'a str, String> {
    if text.is_empty() {
        Err(format!("{field}: must not be empty"))
    } else {
        Ok(text)
    }
}

fn address(field: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_parse| format!("{field}: {text:?} is not IP:port"))
}

fn duration_ms(value_ms: u64, default_ms: u64) -> Duration {
    Duration::from_millis(if value_ms == 0 { default_ms } else { value_ms })
}

fn or_default(value: u64, default: u64) -> u64 {
    if value == 0 { default } else { value }
}

fn log_settings(log: &schema::Log) -> Result<LogSettings, String> {
    let level = match log.level.as_str() {
        "" => log::LevelFilter::Info,
        text => text.parse().map_err(|_parse| {
            format!("log.level: {text:?} is not error, warn, info, debug or trace")
        })?,
    };
    let is_json = match log.format.as_str() {
        "" | "text" => false,
        "json" => true,
        other => return Err(format!("log.format: {other:?} is not text or json")),
    };
    let file = (!log.file.is_empty()).then(|| log.file.clone());
    Ok(LogSettings {
        level,
        is_json,
        file,
    })
}

fn limits(limits: &schema::Limits) -> Limits {
    Limits {
        request_body_bytes: or_default(limits.request_body_bytes, 8 << 20),
        connections: or_default(u64::from(limits.connections), 4_096) as usize,
        requests_in_flight: or_default(u64::from(limits.requests_in_flight), 2_048) as usize,
        header_timeout: duration_ms(limits.header_timeout_ms, 10_000),
        drain_timeout: match limits.drain_timeout_ms {
            0 => None,
            value_ms => Some(Duration::from_millis(value_ms)),
        },
    }
}
