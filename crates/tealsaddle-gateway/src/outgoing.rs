//! The request of a caller as it is sent to runners.
//!
//! The body is kept as a whole, so that a request can be sent again.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderMap};
use hyper::{Method, Request, Uri, http};

use crate::answer::strip_hop_headers;
use crate::external::{Dialect, SendMetadata};

/// A request without what concerns the caller's connection.
#[derive(Debug)]
pub struct OutgoingRequest {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
}

impl OutgoingRequest {
    /// Takes over a caller's request.
    pub fn new(head: http::request::Parts, body: Bytes, dialect: &dyn Dialect) -> Self {
        let mut headers = head.headers;
        strip_hop_headers(&mut headers, |name| dialect.is_end_to_end(name));
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        Self {
            method: head.method,
            uri: origin_form(&head.uri),
            headers,
            body,
        }
    }

    /// Length of the body.
    pub const fn body_bytes(&self) -> usize {
        self.body.len()
    }

    /// A copy for one runner.
    pub fn to_runner(
        &self,
        metadata: &SendMetadata<'_>,
        dialect: &dyn Dialect,
    ) -> Request<Full<Bytes>> {
        let mut headers = self.headers.clone();
        dialect.prepare(&mut headers, metadata);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = headers;
        request
    }
}

/// The request target without scheme and host, which belong to the connection.
fn origin_form(uri: &Uri) -> Uri {
    let target = uri.path_and_query().cloned();
    target.map_or_else(|| Uri::from_static("/"), Uri::from)
}
