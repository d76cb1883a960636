//! The control thread, which owns the control state and publishes snapshots to the traffic threads.
//!
//! One thread with its own runtime runs an event loop. Calls to the platform, peers and engines are
//! tasks of that runtime and send their results back as events. The state therefore has one owner and
//! no lock, and a slow call never blocks the loop. The decision logic is in `tealsaddle-core`.
//!
//! In each zone one process, the holder, has the authority to send orders to the engines, publishes
//! the routing table of the zone and keeps the list of the processes that may route.

pub mod api;
mod config;
mod config_watch;
pub mod config_write;
pub mod event;
mod heartbeat;
mod loads;
mod members;
pub mod peers;
mod plan;
mod state;
mod status;
mod stop;
mod timers;
mod zone;
pub mod zone_capacity;

use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::Error;
use crate::peer;
use crate::traffic::Traffic;
use api::ControlHandle;
use state::ControlThread;
pub use state::PlatformServices;

/// Maximum number of queued events. While the queue is full, senders in this process wait and calls
/// from peers are refused.
const EVENT_QUEUE_CAPACITY: usize = 1_024;

/// Binds the address for peers and starts the control thread. Fails if the address cannot be bound or
/// the runtime or the thread cannot be created.
pub fn spawn(traffic: Arc<Traffic>, platform: PlatformServices) -> Result<ControlHandle, Error> {
    let address = traffic.settings.peer_listen;
    // Bound first, so that no record of the zone names an address that another process may have.
    let listener = std::net::TcpListener::bind(address)
        .and_then(|listener| listener.set_nonblocking(true).map(|()| listener))
        .map_err(|source| Error::Listen { address, source })?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::Thread)?;
    let (events, queue) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let leaving = CancellationToken::new();
    let handle = ControlHandle::open(events.clone(), leaving.clone(), runtime.handle());
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            runtime.block_on(async move {
                let listener = TcpListener::from_std(listener)
                    .expect("the runtime accepts a bound, nonblocking listener");
                tokio::spawn(peer::server::serve(
                    listener,
                    events.clone(),
                    Arc::clone(&traffic),
                ));
                ControlThread::new(traffic, platform, events, leaving)
                    .run(queue)
                    .await;
            });
        })
        .map_err(Error::Thread)?;
    Ok(handle)
}
