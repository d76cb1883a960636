//! Limits on the connections of the listeners for the probe, the metrics and the peers.
//!
//! Who has no business there may open connections to them, too. Beyond the limit, the connection on which a request came
//! the longest time ago is closed for a new one, so that the load balancer and the peers always get in.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use hyper::server::conn::http1;
use hyper_util::rt::TokioTimer;
use tokio_util::sync::CancellationToken;

use crate::metrics::Metrics;

/// Longest time for a head, and between two requests. Load balancers probe, and collectors of metrics ask, more often.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Largest head, and size of the buffer in which it arrives.
const BUFFER_BYTES: usize = 16 << 10;

/// Open connections of one listener.
#[derive(Debug)]
pub struct EndpointConnections {
    /// Largest number; `None` without limits in the settings.
    limit: Option<usize>,
    state: Mutex<State>,
    metrics: Arc<Metrics>,
}

#[derive(Debug, Default)]
struct State {
    /// By the order in which requests came on them, the oldest first.
    open: BTreeMap<u64, CancellationToken>,
    next: u64,
}

impl EndpointConnections {
    /// Creates the limits of a listener that may have this number of connections.
    pub fn open(limit: Option<usize>, metrics: Arc<Metrics>) -> Arc<Self> {
        Arc::new(Self {
            limit,
            state: Mutex::default(),
            metrics,
        })
    }

    /// Server of a connection, with the limits on heads.
    pub fn builder(&self) -> http1::Builder {
        let mut builder = http1::Builder::new();
        if self.limit.is_some() {
            builder
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .max_buf_size(BUFFER_BYTES);
        }
        builder
    }

    /// Adds a connection, and closes the one on which a request came the longest time ago if there are too many.
    pub fn add(self: &Arc<Self>) -> Arc<EndpointConnection> {
        let closed = CancellationToken::new();
        let mut state = self.state();
        if self.limit.is_some_and(|limit| state.open.len() >= limit)
            && let Some((_order, oldest)) = state.open.pop_first()
        {
            oldest.cancel();
            self.metrics.increment("endpoint.connection_dropped");
        }
        let order = state.add(closed.clone());
        drop(state);
        Arc::new(EndpointConnection {
            of: Arc::clone(self),
            order: AtomicU64::new(order),
            closed,
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl State {
    fn add(&mut self, closed: CancellationToken) -> u64 {
        let order = self.next;
        self.next += 1;
        self.open.insert(order, closed);
        order
    }
}

/// An open connection; dropping it makes room.
#[derive(Debug)]
pub struct EndpointConnection {
    of: Arc<EndpointConnections>,
    order: AtomicU64,
    closed: CancellationToken,
}

impl EndpointConnection {
    /// Records that a request has come.
    pub fn on_request(&self) {
        let mut state = self.of.state();
        if let Some(closed) = state.open.remove(&self.order.load(Ordering::Relaxed)) {
            let order = state.add(closed);
            self.order.store(order, Ordering::Relaxed);
        }
    }

    /// Runs a connection until its end, or until it is closed for a newer one.
    pub async fn run<F>(&self, connection: F)
    where
        F: Future,
    {
        // A client that disconnects is not an error.
        drop(self.closed.run_until_cancelled(connection).await);
    }
}

impl Drop for EndpointConnection {
    fn drop(&mut self) {
        let order = self.order.load(Ordering::Relaxed);
        self.of.state().open.remove(&order);
    }
}
