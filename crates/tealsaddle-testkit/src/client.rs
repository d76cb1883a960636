//! HTTP client for the caller and operator requests of tests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// A connection or protocol error of a request, without a complete response.
pub type ClientError = Box<dyn std::error::Error + Send + Sync>;

/// HTTP client with a connection pool.
#[derive(Debug, Clone)]
pub struct Client {
    inner: HyperClient<HttpConnector, Full<Bytes>>,
}

/// A complete response.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Response headers, without trailers.
    pub headers: hyper::HeaderMap,
    /// Complete response body.
    pub body: Bytes,
}

impl Answer {
    /// Parses the body as JSON; null if the body is not JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Value of a header; empty if the header is absent or not text.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// Concatenated text of a streamed completion, and whether the stream contained `[DONE]`.
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
    /// Creates a client; connections are opened on demand.
    pub fn open() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            inner: HyperClient::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Sends a request and returns the response as soon as its headers have arrived.
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

    /// Sends a request and reads the complete response.
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

    /// Requests a chat completion.
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

/// Time limit of [`wait_until`], so that a failing test ends instead of hanging. No test depends on
/// its value: the conditions hold within seconds.
const WAIT_TIMEOUT: Duration = Duration::from_secs(180);

/// Repeats `check` until it returns true; panics after three minutes.
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
        tokio::time::timeout(WAIT_TIMEOUT, wait).await.is_ok(),
        "the condition did not hold within the time limit"
    );
}
