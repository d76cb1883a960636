//! Calls to peers, with one connection per address.

use std::net::SocketAddr;
use std::time::Duration;

use tealsaddle_core::collections::HashMap;
use tealsaddle_schema::peer::HeartbeatRequest;
use tealsaddle_schema::peer::peer_client::PeerClient;
use tealsaddle_schema::record::ProcessId;
use tonic::Status;
use tonic::transport::{Channel, Endpoint};

use super::MAX_MESSAGE_BYTES;

/// Time limit for a connection; peers are a few milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for a call, so that a paused peer blocks no task for long.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of pooled connections. At the limit all are dropped, and connections are reopened
/// when needed.
const MAX_CONNECTIONS: usize = 128;

/// Pool of connections to peers, by address.
#[derive(Debug, Default)]
pub struct PeerClients {
    channels: HashMap<SocketAddr, Channel>,
}

fn endpoint(address: SocketAddr) -> Result<Endpoint, Status> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .map_err(|error| Status::invalid_argument(error.to_string()))?;
    Ok(endpoint
        .connect_timeout(CONNECT_TIMEOUT)
        .timeout(CALL_TIMEOUT)
        .tcp_nodelay(true))
}

/// Returns the process that answers a heartbeat at an address; `None` if none does.
///
/// The call uses a new connection, since a pooled one could still lead to a process that no longer
/// listens at the address.
pub async fn probe(address: SocketAddr, request: HeartbeatRequest) -> Option<ProcessId> {
    let channel = endpoint(address).ok()?.connect().await.ok()?;
    let reply = PeerClient::new(channel).heartbeat(request).await.ok()?;
    reply.into_inner().process
}

impl PeerClients {
    /// Returns a client for one address. The connection is opened with the first call.
    pub fn client(&mut self, address: SocketAddr) -> Result<PeerClient<Channel>, Status> {
        if !self.channels.contains_key(&address) {
            if self.channels.len() >= MAX_CONNECTIONS {
                self.channels.clear();
            }
            self.channels
                .insert(address, endpoint(address)?.connect_lazy());
        }
        let client = PeerClient::new(self.channels[&address].clone());
        Ok(client
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES))
    }

    /// Drops the connection to an address, for example when the process there has ended.
    pub fn remove(&mut self, address: SocketAddr) {
        self.channels.remove(&address);
    }
}
