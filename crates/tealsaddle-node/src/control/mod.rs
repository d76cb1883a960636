//! The control thread: it owns the control state and publishes snapshots for the traffic threads.
//!
//! One thread with its own runtime runs an event loop. Calls to the platform, peers and engines are
//! tasks of that runtime which send their results back as events, so the state has one owner and no
//! lock, and a slow call never holds it up. Decisions come from `tealsaddle-core`.

pub mod api;
mod config_follow;
pub mod config_write;
mod event;
mod state;

use std::sync::Arc;

use tokio::sync::mpsc;

use crate::Error;
use crate::platform::KeyValue;
use crate::traffic::Traffic;
use api::ControlHandle;
use state::Control;

/// Events that wait at most; a sender waits when the queue is full.
const EVENTS_BUFFERED: usize = 1_024;

/// Starts the control thread.
pub fn spawn(traffic: Arc<Traffic>, platform: Arc<dyn KeyValue>) -> Result<ControlHandle, Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::Thread)?;
    let (events, queue) = mpsc::channel(EVENTS_BUFFERED);
    let handle = ControlHandle::open(events.clone(), runtime.handle());
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            runtime.block_on(async move {
                Control::new(traffic, platform, events).run(queue).await;
            });
        })
        .map_err(Error::Thread)?;
    Ok(handle)
}
