//! The control thread: it owns the control state and publishes snapshots for the traffic threads.
//!
//! One thread with its own runtime runs an event loop. Calls to the platform, peers and engines are
//! tasks of that runtime which send their results back as events, so the state has one owner and no
//! lock, and a slow call never holds it up. Decisions come from `tealsaddle-core`.

pub mod api;
mod config;
mod config_follow;
pub mod config_write;
pub mod event;
mod heartbeat;
mod loads;
mod members;
mod peers;
mod plan;
mod state;
mod status;
mod stop;
mod timers;
mod zone;

use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::Error;
use crate::peer;
use crate::traffic::Traffic;
use api::ControlHandle;
use state::Control;
pub use state::PlatformServices;

/// Events that wait at most; a sender waits when the queue is full.
const EVENT_QUEUE_CAPACITY: usize = 1_024;

/// Starts the control thread and binds the address for peers.
pub fn spawn(traffic: Arc<Traffic>, platform: PlatformServices) -> Result<ControlHandle, Error> {
    let address = traffic.settings.peer_listen;
    // Bound before anything is registered under this address.
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
                    .expect("a bound listener can be given to the runtime");
                tokio::spawn(peer::server::serve(
                    listener,
                    events.clone(),
                    Arc::clone(&traffic),
                ));
                Control::new(traffic, platform, events, leaving)
                    .run(queue)
                    .await;
            });
        })
        .map_err(Error::Thread)?;
    Ok(handle)
}
