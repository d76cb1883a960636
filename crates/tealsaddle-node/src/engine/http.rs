//! Client for engines over HTTP, with output as lines of JSON.
//!
//! The output of an engine is not trusted. A line that is not an event is returned as malformed, so that
//! the user of this module can count it, and a line that is too long ends the stream.

use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use futures::{FutureExt, StreamExt, TryStreamExt};
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tealsaddle_core::inventory::Engine;
use tealsaddle_core::retry::{AttemptOutcome, NotRunReason, UnknownReason};
use tokio_util::codec::{FramedRead, LinesCodec};
use tokio_util::io::StreamReader;

use super::{EngineClient, EngineLine, EventStream, GenerateRequest};

/// Maximum length of a line; a token with its ids takes about 200 bytes.
const MAX_LINE_BYTES: usize = 64 << 10;

/// Time limit to connect. Within a region a connection takes about a millisecond, and a lost SYN is
/// sent again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Client of all engines, with a connection pool.
#[derive(Debug)]
pub struct HttpEngineClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpEngineClient {
    /// Creates a client. Connections are opened with the first calls.
    pub fn open() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    async fn post<T>(
        &self,
        engine: &Engine,
        path: &str,
        body: &T,
    ) -> Result<hyper::Response<hyper::body::Incoming>, AttemptOutcome>
    where
        T: serde::Serialize + Sync,
    {
        let body = serde_json::to_vec(body).expect("requests are plain JSON values");
        let request = Request::post(format!("http://{}{path}", engine.address))
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .expect("an address makes a valid URI");
        self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                AttemptOutcome::NotRun(NotRunReason::ConnectFailed)
            } else {
                AttemptOutcome::Unknown(UnknownReason::ConnectionLost)
            }
        })
    }

    async fn start(
        &self,
        engine: &Engine,
        request: &GenerateRequest,
    ) -> Result<EventStream, AttemptOutcome> {
        let response = self.post(engine, "/generate", request).await?;
        match response.status() {
            StatusCode::OK => {}
            // Engines validate a request before they run any part of it, so these statuses prove that
            // nothing was run.
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::CONFLICT | StatusCode::BAD_REQUEST => {
                return Err(AttemptOutcome::NotRun(NotRunReason::TargetRefused));
            }
            _ => return Err(AttemptOutcome::Unknown(UnknownReason::InvalidAnswer)),
        }
        let reader = StreamReader::new(
            response
                .into_body()
                .into_data_stream()
                .map_err(std::io::Error::other),
        );
        let lines = FramedRead::new(reader, LinesCodec::new_with_max_length(MAX_LINE_BYTES));
        Ok(lines
            .map(|line| match line {
                Ok(line) => Ok(
                    serde_json::from_str(&line).map_or(EngineLine::Malformed, EngineLine::Event)
                ),
                Err(tokio_util::codec::LinesCodecError::MaxLineLengthExceeded) => {
                    Err(AttemptOutcome::Unknown(UnknownReason::InvalidAnswer))
                }
                Err(_broken) => Err(AttemptOutcome::Unknown(UnknownReason::ConnectionLost)),
            })
            .boxed())
    }
}

impl EngineClient for HttpEngineClient {
    fn generate<'a>(
        &'a self,
        engine: &'a Engine,
        request: &'a GenerateRequest,
    ) -> BoxFuture<'a, Result<EventStream, AttemptOutcome>> {
        self.start(engine, request).boxed()
    }

    fn cancel<'a>(
        &'a self,
        engine: &'a Engine,
        attempt_id: &'a str,
    ) -> BoxFuture<'a, Result<(), AttemptOutcome>> {
        async move {
            let body = serde_json::json!({ "attempt_id": attempt_id });
            self.post(engine, "/cancel", &body).await.map(drop)
        }
        .boxed()
    }
}
