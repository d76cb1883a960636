//! Client for the platform's services over HTTP and JSON.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;

use super::{Changes, Entry, KeyValue, PlatformError, PutOutcome, Vm, VmList, VmState};

/// Maximum size of an answer; a value can be 1 MB.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Client of the platform's key-value service and VM list.
#[derive(Debug)]
pub struct HttpPlatform {
    address: SocketAddr,
    timeout: Duration,
    client: Client<HttpConnector, Full<Bytes>>,
}

#[derive(Debug, Deserialize)]
struct EntryBody {
    key: String,
    version: u64,
    value: serde_json::Value,
}

impl From<EntryBody> for Entry {
    fn from(body: EntryBody) -> Self {
        Self {
            key: body.key,
            version: body.version,
            value: body.value,
        }
    }
}

#[derive(Debug, Deserialize)]
struct ChangesBody {
    revision: u64,
    changes: Vec<EntryBody>,
}

#[derive(Debug, Deserialize)]
struct LeaseBody {
    lease: String,
}

#[derive(Debug, Deserialize)]
struct VmsBody {
    vms: Vec<VmBody>,
}

#[derive(Debug, Deserialize)]
struct VmBody {
    vm: String,
    state: String,
}

#[derive(Debug, Deserialize)]
struct VersionBody {
    version: u64,
}

impl HttpPlatform {
    /// Creates a client whose calls time out after `timeout`. No call is made yet.
    pub fn open(address: SocketAddr, timeout: Duration) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self {
            address,
            timeout,
            client,
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .body(Full::new(body))
            .map_err(|error| PlatformError::Protocol(error.to_string()))?;
        let exchange = async {
            let response = self.client.request(request).await.map_err(|error| {
                if error.is_connect() {
                    PlatformError::Unreachable(error.to_string())
                } else {
                    PlatformError::Unknown(error.to_string())
                }
            })?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
                .collect()
                .await
                .map_err(|error| PlatformError::Unknown(error.to_string()))?;
            Ok((status, body.to_bytes()))
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_elapsed) => Err(PlatformError::Unknown("timeout".to_owned())),
        }
    }
}

fn parse<'a, T>(body: &'a Bytes) -> Result<T, PlatformError>
where
    T: Deserialize<'a>,
{
    serde_json::from_slice(body).map_err(|error| PlatformError::Protocol(error.to_string()))
}

fn status_error(status: StatusCode) -> PlatformError {
    match status {
        StatusCode::TOO_MANY_REQUESTS => PlatformError::RateLimited,
        StatusCode::SERVICE_UNAVAILABLE => PlatformError::Unreachable(status.to_string()),
        _ => PlatformError::Protocol(format!("status {status}")),
    }
}

impl KeyValue for HttpPlatform {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Entry>, PlatformError>> {
        async move {
            let path = format!("/kv/{key}");
            match self
                .call(Method::GET, &path, Bytes::new(), self.timeout)
                .await?
            {
                (StatusCode::OK, body) => {
                    let EntryBody {
                        key,
                        version,
                        value,
                    } = parse(&body)?;
                    Ok(Some(Entry {
                        key,
                        version,
                        value,
                    }))
                }
                (StatusCode::NOT_FOUND, _) => Ok(None),
                (status, _) => Err(status_error(status)),
            }
        }
        .boxed()
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: &'a serde_json::Value,
        if_version: u64,
        lease: Option<&'a str>,
    ) -> BoxFuture<'a, Result<PutOutcome, PlatformError>> {
        async move {
            let mut path = format!("/kv/{key}?if_version={if_version}");
            if let Some(lease) = lease {
                path.push_str("&lease=");
                path.push_str(lease);
            }
            let (status, body) = self
                .call(Method::PUT, &path, value.to_string().into(), self.timeout)
                .await?;
            match status {
                StatusCode::OK => Ok(PutOutcome::Written(parse::<VersionBody>(&body)?.version)),
                StatusCode::CONFLICT => {
                    Ok(PutOutcome::Conflict(parse::<VersionBody>(&body)?.version))
                }
                status => Err(status_error(status)),
            }
        }
        .boxed()
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<Entry>, PlatformError>> {
        async move {
            let path = format!("/kv?prefix={prefix}");
            match self
                .call(Method::GET, &path, Bytes::new(), self.timeout)
                .await?
            {
                (StatusCode::OK, body) => {
                    let entries: Vec<EntryBody> = parse(&body)?;
                    Ok(entries.into_iter().map(Entry::from).collect())
                }
                (status, _) => Err(status_error(status)),
            }
        }
        .boxed()
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after_revision: u64,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Changes, PlatformError>> {
        async move {
            let wait_ms = wait.as_millis();
            let path = format!("/watch?prefix={prefix}&after={after_revision}&wait_ms={wait_ms}");
            match self
                .call(Method::GET, &path, Bytes::new(), self.timeout + wait)
                .await?
            {
                (StatusCode::OK, body) => {
                    let changes: ChangesBody = parse(&body)?;
                    let entries = changes.changes.into_iter().map(Entry::from).collect();
                    Ok(Changes {
                        revision: changes.revision,
                        entries,
                    })
                }
                (status, _) => Err(status_error(status)),
            }
        }
        .boxed()
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<String, PlatformError>> {
        async move {
            let body = serde_json::json!({ "ttl_ms": ttl.as_millis() as u64 }).to_string();
            match self
                .call(Method::POST, "/leases", body.into(), self.timeout)
                .await?
            {
                (StatusCode::OK, body) => Ok(parse::<LeaseBody>(&body)?.lease),
                (status, _) => Err(status_error(status)),
            }
        }
        .boxed()
    }
}

impl VmList for HttpPlatform {
    fn vms(&self) -> BoxFuture<'_, Result<Vec<Vm>, PlatformError>> {
        async move {
            match self
                .call(Method::GET, "/vms", Bytes::new(), self.timeout)
                .await?
            {
                (StatusCode::OK, body) => parse::<VmsBody>(&body)?
                    .vms
                    .into_iter()
                    .map(parse_vm)
                    .collect(),
                (status, _) => Err(status_error(status)),
            }
        }
        .boxed()
    }
}

fn parse_vm(body: VmBody) -> Result<Vm, PlatformError> {
    let state = match body.state.as_str() {
        "live" => VmState::Live,
        "leaving" => VmState::Leaving,
        other => {
            return Err(PlatformError::Protocol(format!(
                "unknown VM state {other:?}"
            )));
        }
    };
    Ok(Vm {
        vm: body.vm.into(),
        state,
    })
}
