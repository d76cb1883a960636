//! Asking another node to lend its path to a runner, by a `CONNECT` request.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tealsaddle_core::fleet::paths::LenderAnswer;
use tokio::net::{TcpSocket, TcpStream};

use crate::upstream::set_options;

/// Time for a lender to connect and to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// Asks a node for a connection to a runner. `own` is the address by which it knows this node.
pub async fn ask(
    lender: SocketAddr,
    runner: SocketAddr,
    own: Option<SocketAddr>,
) -> Result<TcpStream, LenderAnswer> {
    let asked = tokio::time::timeout(ANSWER_TIMEOUT, exchange(lender, runner, own));
    asked.await.unwrap_or(Err(LenderAnswer::Unable))
}

async fn exchange(
    lender: SocketAddr,
    runner: SocketAddr,
    own: Option<SocketAddr>,
) -> Result<TcpStream, LenderAnswer> {
    let stream = connect_from(own.map(|own| own.ip()), lender).await;
    let stream = stream.map_err(|_error| LenderAnswer::Unable)?;
    set_options(&stream);
    let unable = |_error: hyper::Error| LenderAnswer::Unable;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(unable)?;
    // A failure is reported to the request.
    tokio::spawn(async move { drop(connection.with_upgrades().await) });
    let mut request = Request::new(Empty::<Bytes>::new());
    *request.method_mut() = Method::CONNECT;
    *request.uri_mut() = runner
        .to_string()
        .parse()
        .map_err(|_error| LenderAnswer::Unable)?;
    let response = sender.send_request(request).await.map_err(unable)?;
    match response.status() {
        StatusCode::OK => {}
        StatusCode::BAD_GATEWAY => return Err(LenderAnswer::RunnerUnreachable),
        _ => return Err(LenderAnswer::Unable),
    }
    let upgraded = hyper::upgrade::on(response).await.map_err(unable)?;
    let parts = upgraded.downcast::<TokioIo<TcpStream>>();
    let parts = parts.map_err(|_other| LenderAnswer::Unable)?;
    // A runner does not speak first.
    if !parts.read_buf.is_empty() {
        return Err(LenderAnswer::Unable);
    }
    Ok(parts.io.into_inner())
}

/// Connects from the address by which the other node knows this one.
async fn connect_from(own: Option<IpAddr>, address: SocketAddr) -> io::Result<TcpStream> {
    let Some(own) = own else {
        return TcpStream::connect(address).await;
    };
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(own, 0))?;
    socket.connect(address).await
}
