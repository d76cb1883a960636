//! State, load and orders of engines.
//!
//! Each order uses a connection of its own with a TCP user timeout. The kernel therefore delivers no
//! data of a dead process after that timeout. The transit bound of an order (section 5 of the design)
//! depends on this.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Full, Limited};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Time after which the kernel closes a connection whose data the engine has not acknowledged.
pub const TCP_USER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for a call. An engine answers an order before executing it.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 256 << 10;

/// Answer of `GET /state`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct EngineState {
    /// Role in force: prefill, decode or mixed.
    pub role: String,
    /// Role that the engine is changing to; empty if no change is in progress.
    #[serde(deserialize_with = "null_as_empty")]
    pub changing_to: String,
    /// Names of the loaded models.
    pub models: Vec<String>,
    /// Id of the last accepted order; empty before the first.
    #[serde(deserialize_with = "null_as_empty")]
    pub last_order_id: String,
    /// Highest fencing token that the engine has seen.
    pub fence: u64,
}

/// Answer of `GET /load`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct EngineLoadAnswer {
    /// Time of the answer, by the clock of the engine.
    pub now_ms: u64,
    /// Time of the load sample, by the clock of the engine.
    pub sampled_at_ms: u64,
    /// Role in force: prefill, decode or mixed.
    pub role: String,
    /// Role that the engine is changing to; empty if no change is in progress.
    #[serde(deserialize_with = "null_as_empty")]
    pub changing_to: String,
    /// Requests being decoded.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Prompt tokens queued for prefill.
    pub queued_prefill_tokens: u64,
    /// Tokens in the KV cache.
    pub kv_used_tokens: u64,
}

/// Body of `POST /order`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct OrderMessage {
    /// Id of the order, unique in the zone. A repeated order keeps its id.
    pub order_id: String,
    /// Fencing token of the sender.
    pub fence: u64,
    /// Kind of the order: role, model or adapter.
    pub kind: String,
    /// Role that the engine is to take; empty for other kinds.
    pub role: String,
    /// Model or adapter to load; empty for kind role.
    pub model: String,
    /// Version to load; empty for kind role.
    pub version: String,
}

/// Outcome of sending an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine has accepted the order, now or earlier.
    Accepted,
    /// The engine has seen a higher fencing token.
    StaleFence,
    /// The engine is executing another change.
    Busy,
    /// No byte of the order was sent.
    NotSent,
    /// The order may have reached the engine.
    Unknown,
}

fn null_as_empty<'de, D>(deserializer: D) -> Result<String, D::Error>
where
    D: serde::Deserializer<'de>,
{
    Ok(Option::deserialize(deserializer)?.unwrap_or_default())
}

async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    Ok(stream)
}

/// An open connection to an engine, for one order.
///
/// Opening the connection is a separate step, so that the holder can check its lease immediately before
/// the first byte of the order.
#[derive(Debug)]
pub struct OrderConnection {
    address: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    connection: JoinHandle<Result<(), hyper::Error>>,
}

impl Drop for OrderConnection {
    fn drop(&mut self) {
        // Nothing is sent on the connection after its call.
        self.connection.abort();
    }
}

impl OrderConnection {
    /// Connects to an engine; `None` if that fails.
    pub async fn open(address: SocketAddr) -> Option<Self> {
        let opened = async {
            let stream = connect(address).await.ok()?;
            let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
            Some(Self {
                address,
                sender,
                connection: tokio::spawn(connection),
            })
        };
        tokio::time::timeout(CONNECT_TIMEOUT, opened).await.ok()?
    }

    /// Sends an order and waits for the answer.
    pub async fn send(mut self, order: &OrderMessage) -> OrderAnswer {
        let body = serde_json::to_vec(order).expect("orders are plain JSON values");
        let request = Request::builder()
            .method(Method::POST)
            .uri("/order")
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .expect("an address and a fixed path make a valid request");
        let answer = async {
            let response = self.sender.send_request(request).await.ok()?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
            Some((status, body.collect().await.ok()?.to_bytes()))
        };
        let answer = tokio::time::timeout(CALL_TIMEOUT, answer).await;
        match answer.ok().flatten() {
            Some((StatusCode::OK, _)) => OrderAnswer::Accepted,
            Some((StatusCode::CONFLICT, body)) => {
                if String::from_utf8_lossy(&body).contains("stale_fence") {
                    OrderAnswer::StaleFence
                } else {
                    OrderAnswer::Busy
                }
            }
            _ => OrderAnswer::Unknown,
        }
    }
}

/// Client that reads the state and load of engines, on pooled connections with the same TCP user
/// timeout.
#[derive(Debug, Clone)]
pub struct EngineReader {
    client: Client<HttpConnector, Empty<Bytes>>,
}

impl EngineReader {
    /// Creates a client. Connections are opened with the first calls.
    pub fn open() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { client }
    }

    async fn read<T>(&self, address: SocketAddr, path: &str) -> Option<T>
    where
        T: DeserializeOwned,
    {
        let request = Request::get(format!("http://{address}{path}"))
            .body(Empty::new())
            .expect("an address and a fixed path make a valid request");
        let answer = async {
            let response = self.client.request(request).await.ok()?;
            if response.status() != StatusCode::OK {
                return None;
            }
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
            Some(body.collect().await.ok()?.to_bytes())
        };
        let body = tokio::time::timeout(CALL_TIMEOUT, answer).await.ok()??;
        serde_json::from_slice(&body).ok()
    }

    /// Reads the state of an engine; `None` if the engine gives no usable answer.
    pub async fn state(&self, address: SocketAddr) -> Option<EngineState> {
        self.read(address, "/state").await
    }

    /// Reads the load of an engine; `None` if the engine gives no usable answer.
    pub async fn load(&self, address: SocketAddr) -> Option<EngineLoadAnswer> {
        self.read(address, "/load").await
    }
}
