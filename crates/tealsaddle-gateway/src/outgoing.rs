//! A caller's request in the form in which it is sent to runners.
//!
//! The whole body is kept in memory, so that the request can be sent again.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::{Method, Request, Uri, http};

use crate::answer::strip_hop_headers;
use tealsaddle_core::fleet::quarantine::subject::RequestDigest;

use crate::customers::CallerIdentity;
use crate::external::{Dialect, SendMetadata};

/// A request without the headers that belong to the caller's connection.
#[derive(Debug)]
pub struct OutgoingRequest {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    identity: CallerIdentity,
}

impl OutgoingRequest {
    /// Creates the outgoing form of a caller's request. If the caller's key was checked, the runner receives the name
    /// of the customer in place of it.
    pub fn new(
        head: http::request::Parts,
        body: Bytes,
        identity: CallerIdentity,
        dialect: &dyn Dialect,
    ) -> Self {
        let mut headers = head.headers;
        strip_hop_headers(&mut headers, |name| dialect.is_end_to_end(name));
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        match &identity {
            CallerIdentity::PassedThrough => hide_in_debug_output(&mut headers),
            CallerIdentity::Checked(customer) => {
                headers.remove(header::AUTHORIZATION);
                let name = customer.as_ref().map(|customer| &*customer.name);
                dialect.set_customer(&mut headers, name);
            }
        }
        Self {
            method: head.method,
            uri: origin_form(&head.uri),
            headers,
            body,
            identity,
        }
    }

    /// Length of the body, in bytes.
    pub const fn body_bytes(&self) -> usize {
        self.body.len()
    }

    /// Digest of what makes two requests the same for a runner: method, host, target, body, who the caller is, and the
    /// headers that a dialect counts to the content.
    pub fn digest(&self, dialect: &dyn Dialect) -> RequestDigest {
        let header = |name| {
            self.headers
                .get(name)
                .map_or(&[][..], HeaderValue::as_bytes)
        };
        let caller = match &self.identity {
            CallerIdentity::PassedThrough => header(&header::AUTHORIZATION),
            CallerIdentity::Checked(customer) => {
                let name = customer.as_ref().map(|customer| &*customer.name);
                name.unwrap_or_default().as_bytes()
            }
        };
        let target = self.uri.path_and_query();
        let fields = [
            self.method.as_str().as_bytes(),
            header(&header::HOST),
            target.map_or("", |target| target.as_str()).as_bytes(),
            caller,
            &self.body,
        ];
        let content = dialect.content_headers().iter().map(header);
        RequestDigest::of(fields.into_iter().chain(content))
    }

    /// Builds the request for one attempt at a runner.
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

/// Keeps what may be a key out of debug output.
fn hide_in_debug_output(headers: &mut HeaderMap) {
    if let header::Entry::Occupied(mut values) = headers.entry(header::AUTHORIZATION) {
        for value in values.iter_mut() {
            value.set_sensitive(true);
        }
    }
}

/// The request target in origin form (RFC 9112, section 3.2.1): path and query only.
fn origin_form(uri: &Uri) -> Uri {
    let target = uri.path_and_query().cloned();
    target.map_or_else(|| Uri::from_static("/"), Uri::from)
}
