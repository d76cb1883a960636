//! Opening connections, as a trait, so that tests can cut a node off from some addresses.

use std::fmt::Debug;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::net::TcpStream;

/// Timeout of connecting. Within a region connecting takes milliseconds, and waiting longer does not help
/// after a lost SYN, which is retransmitted only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

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

/// Connects within 300 ms; `None` if that fails.
pub async fn connect_in_time(connector: &dyn Connect, address: SocketAddr) -> Option<TcpStream> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, connector.connect(address));
    connecting.await.ok()?.ok()
}
