//! A caller and operator for tests, over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// A failure of an exchange.
pub type ClientError = Box<dyn std::error::Error + Send + Sync>;

/// HTTP client with a connection pool.
#[derive(Debug, Clone)]
pub struct Client {
    inner: HyperClient<HttpConnector, Full<Bytes>>,
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: hyper::HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// The body as JSON; null if it is not JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// A header as text; empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// Text of a streamed completion, and whether the stream ended with `[DONE]`.
    pub fn streamed_text(&self) -> (String, bool) {
        let mut text = String::new();
        let mut is_done = false;
        for line in String::from_utf8_lossy(&self.body).lines() {
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                is_done = true;
                continue;
            }
            let event: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
            let choice = &event["choices"][0];
            let content = choice["delta"]["content"]
                .as_str()
                .or_else(|| choice["text"].as_str());
            text.push_str(content.unwrap_or_default());
        }
        (text, is_done)
    }
}

impl Client {
    /// Opens a client; no call is made yet.
    pub fn open() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            inner: HyperClient::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Sends a request and gives the answer as soon as its headers are there.
    pub async fn start(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Response<Incoming>, ClientError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        Ok(self
            .inner
            .request(request.body(Full::new(body.into()))?)
            .await?)
    }

    /// Sends a request and reads the whole answer.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Answer, ClientError> {
        let response = self.start(method, address, path, headers, body).await?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await?.to_bytes();
        Ok(Answer {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body,
        })
    }

    /// Asks for a completion.
    pub async fn complete(
        &self,
        address: SocketAddr,
        body: &serde_json::Value,
    ) -> Result<Answer, ClientError> {
        self.call(
            Method::POST,
            address,
            "/v1/chat/completions",
            &[],
            body.to_string(),
        )
        .await
    }
}

/// Time after which a wait is given up, so that a broken test ends instead of hanging. No verdict
/// depends on it: what a test waits for takes seconds.
const GIVE_UP_AFTER: Duration = Duration::from_secs(180);

/// Repeats `check` until it holds.
pub async fn wait_until<F, C>(mut check: C)
where
    C: FnMut() -> F,
    F: Future<Output = bool>,
{
    let wait = async {
        while !check().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    assert!(
        tokio::time::timeout(GIVE_UP_AFTER, wait).await.is_ok(),
        "the condition never held"
    );
}
