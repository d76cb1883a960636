//! Client of the administration API.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request, Response};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::Error;

/// Maximum size of a response body; a configuration alone has up to a megabyte.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Header with the name of the operator who makes a change.
const AUTHOR_HEADER: &str = "x-author";

/// Client of the administration API of one node.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    token: String,
    http: HttpClient<HttpConnector, Full<Bytes>>,
}

/// A response that was read as a whole.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Whole body.
    pub body: Bytes,
}

impl Answer {
    /// Parses the body as JSON.
    pub fn json(&self) -> Result<serde_json::Value, Error> {
        serde_json::from_slice(&self.body).map_err(|error| Error::Protocol(error.to_string()))
    }

    /// Returns the message and the next step of an error object, or the body if it is not one.
    pub fn error_message(&self) -> String {
        let value = self.json().unwrap_or_default();
        let error = &value["error"];
        match (error["message"].as_str(), error["next"].as_str()) {
            (Some(message), Some(next)) => format!("{message}; {next}"),
            (Some(message), None) => message.to_owned(),
            _ => String::from_utf8_lossy(&self.body).into_owned(),
        }
    }

    /// Whether the node reports that a refused change may have been written.
    fn may_be_written(&self) -> bool {
        self.json()
            .is_ok_and(|value| value["error"]["may_be_written"] == true)
    }
}

impl Client {
    /// Creates a client without connecting.
    pub fn open(address: SocketAddr, token: String) -> Self {
        Self {
            address,
            token,
            http: HttpClient::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Sends a request and returns the response once its headers have arrived.
    pub async fn start(
        &self,
        method: Method,
        path: &str,
        author: Option<&str>,
        body: Bytes,
    ) -> Result<Response<Incoming>, Error> {
        let is_change = method != Method::GET;
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(AUTHORIZATION, format!("Bearer {}", self.token));
        if let Some(author) = author {
            request = request.header(AUTHOR_HEADER, author);
        }
        let request = request.body(Full::new(body)).map_err(|error| {
            Error::Usage(format!(
                "the token or the author is not valid in an HTTP header: {error}"
            ))
        })?;
        self.http.request(request).await.map_err(|error| {
            // A change can only have taken effect if its request may have reached the node.
            self.request_error(is_change && !error.is_connect(), &error.to_string())
        })
    }

    fn request_error(&self, may_have_effect: bool, message: &str) -> Error {
        let address = self.address.to_string();
        let message = message.to_owned();
        if may_have_effect {
            Error::OutcomeUnknown { address, message }
        } else {
            Error::Unreachable { address, message }
        }
    }

    /// Sends a request and reads the whole response, whatever its status.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        author: Option<&str>,
        body: impl Into<Bytes>,
    ) -> Result<Answer, Error> {
        let is_change = method != Method::GET;
        let response = self.start(method, path, author, body.into()).await?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|error| self.request_error(is_change, &error.to_string()))?
            .to_bytes();
        Ok(Answer { status, body })
    }

    /// Sends a `GET` request; a status other than 2xx is an error.
    pub async fn get(&self, path: &str) -> Result<Answer, Error> {
        let answer = self.call(Method::GET, path, None, Bytes::new()).await?;
        self.expect_success(answer)
    }

    /// Returns the response, or an error if its status is not 2xx.
    pub fn expect_success(&self, answer: Answer) -> Result<Answer, Error> {
        let message = answer.error_message();
        match answer.status {
            200..=299 => Ok(answer),
            409 => Err(Error::Conflict { message }),
            503 if answer.may_be_written() => Err(self.request_error(true, &message)),
            status => Err(Error::Refused { status, message }),
        }
    }
}
