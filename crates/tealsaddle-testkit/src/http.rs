//! A small HTTP server shared by the stand-ins.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto::Builder;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, JoinSet};

/// Response body of a stand-in.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// A running server; it stops when dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Address on which the server listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until the server ends, which happens only after a failure.
    pub async fn join(mut self) {
        if let Err(error) = (&mut self.task).await {
            log_failure(&error);
        }
    }
}

fn log_failure(error: &tokio::task::JoinError) {
    eprintln!("server task failed: {error}");
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Binds an address and passes each request to `handler`.
pub async fn bind<H, F>(address: SocketAddr, handler: H) -> std::io::Result<Server>
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    bind_with_drops(address, move |request| {
        let answer = handler(request);
        async move { Some(answer.await) }
    })
    .await
}

/// Like [`bind`], but closes the connection without a response if `handler` returns `None`.
pub async fn bind_with_drops<H, F>(address: SocketAddr, handler: H) -> std::io::Result<Server>
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Option<Response<Body>>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    let task = tokio::spawn(async move {
        // Dropping the set closes all connections with the server, as the death of a process would.
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            while connections.try_join_next().is_some() {}
            let handler = Arc::clone(&handler);
            connections.spawn(async move {
                // Nagle's algorithm would delay single tokens of a stream.
                if stream.set_nodelay(true).is_err() {
                    return;
                }
                let service = service_fn(move |request| {
                    let answer = handler(request);
                    async move { answer.await.ok_or("answer withheld") }
                });
                let connection = Builder::new(TokioExecutor::new());
                // An error of one connection affects only the requests on it.
                drop(
                    connection
                        .serve_connection(TokioIo::new(stream), service)
                        .await,
                );
            });
        }
    });
    Ok(Server { address, task })
}

/// A body with the given bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A response with a JSON body.
pub fn json<T>(status: StatusCode, value: &T) -> Response<Body>
where
    T: Serialize,
{
    let bytes = serde_json::to_vec(value).expect("stand-in answers are plain JSON values");
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    let content_type = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, content_type);
    response
}

/// Value of a parameter in the query of a request.
pub fn request_query_parameter<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    query_parameter(request.uri().query()?, name)
}

/// Value of a parameter in a query string, without percent-decoding.
pub fn query_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then_some(value)
    })
}
