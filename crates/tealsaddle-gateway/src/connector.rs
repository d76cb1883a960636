//! Opening connections, as a trait, so that tests can cut a node off from some addresses.

use std::fmt::Debug;
use std::io;
use std::net::SocketAddr;

use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::net::TcpStream;

/// Opens connections to runners.
pub trait Connect: Debug + Send + Sync {
    /// Connects to an address. The caller limits the time.
    fn connect(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<TcpStream>>;
}

/// Connects by TCP.
#[derive(Debug)]
pub struct TcpConnector;

impl Connect for TcpConnector {
    fn connect(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<TcpStream>> {
        TcpStream::connect(address).boxed()
    }
}
