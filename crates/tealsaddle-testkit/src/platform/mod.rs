//! Stand-in of the platform: key-value service, leases, watches, VM list and weight store.
//!
//! The store is a plain data structure that receives the current time as an argument. [`Faults`]
//! are set in process through [`Platform::update`] or over HTTP under `/control`. As with the real
//! service, a write takes effect even if its caller gives up: only the response is lost.

pub mod faults;
mod server;
pub mod store;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use tokio::sync::Notify;

pub use faults::{CallCounts, CallKind, Faults, LostAnswers, Outage};
pub use store::{Entry, Store};

use crate::http::{self, Server};

/// Maximum size of a request body, and thereby of a stored value.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// A running platform stand-in; it stops when dropped.
#[derive(Debug)]
pub struct Platform {
    server: Server,
    state: Arc<State>,
}

/// State shared by all connections.
#[derive(Debug)]
struct State {
    started: Instant,
    inner: Mutex<Inner>,
    changed: Notify,
}

#[derive(Debug)]
struct Inner {
    store: Store,
    faults: Faults,
    counts: CallCounts,
    buckets: faults::TokenBuckets,
    vms: faults::VmList,
    weights: std::collections::BTreeMap<String, usize>,
}

impl State {
    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("the lock is not poisoned")
    }
}

/// Binds a platform stand-in without faults.
pub async fn bind(address: SocketAddr) -> std::io::Result<Platform> {
    let state = Arc::new(State {
        started: Instant::now(),
        inner: Mutex::new(Inner {
            store: Store::default(),
            faults: Faults::default(),
            counts: CallCounts::default(),
            buckets: faults::TokenBuckets::default(),
            vms: faults::VmList::default(),
            weights: std::collections::BTreeMap::default(),
        }),
        changed: Notify::new(),
    });
    let server = http::bind_with_drops(address, {
        let state = Arc::clone(&state);
        move |request| server::answer(request, Arc::clone(&state))
    })
    .await?;
    Ok(Platform { server, state })
}

impl Platform {
    /// Address on which the platform listens.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Waits until the server ends, which happens only after a failure.
    pub async fn join(self) {
        self.server.join().await;
    }

    /// Changes the faults; pending watches see the change immediately.
    pub fn update<F>(&self, change: F)
    where
        F: FnOnce(&mut Faults),
    {
        change(&mut self.state.lock().faults);
        self.state.changed.notify_waiters();
    }

    /// Counts of all calls since the start.
    pub fn counts(&self) -> CallCounts {
        self.state.lock().counts.clone()
    }

    /// Reads a key directly, bypassing all faults.
    pub fn get(&self, key: &str) -> Option<Entry> {
        self.state.lock().store.get(key).cloned()
    }

    /// Reads all keys under a prefix directly, bypassing all faults.
    pub fn list(&self, prefix: &str) -> Vec<Entry> {
        self.state.lock().store.list(prefix)
    }

    /// Writes a key directly, bypassing all faults, and returns its version.
    pub fn set(&self, key: &str, value: serde_json::Value) -> u64 {
        let version = self.state.lock().store.set(key, value);
        self.state.changed.notify_waiters();
        version
    }

    /// Sets the state of a VM; the VM list shows it after [`Faults::vm_lag_ms`].
    pub fn set_vm(&self, vm: &str, zone: &str, address: SocketAddr, state: faults::VmState) {
        let entry = faults::VmEntry {
            vm: vm.to_owned(),
            address: address.to_string(),
            zone: zone.to_owned(),
            state,
        };
        let now_ms = self.state.now_ms();
        let mut inner = self.state.lock();
        let lag_ms = inner.faults.vm_lag_ms;
        inner.vms.set(entry, now_ms + lag_ms);
    }

    /// Adds a file of `bytes` zero bytes to the weight store.
    pub fn set_weights(&self, name: &str, bytes: usize) {
        self.state.lock().weights.insert(name.to_owned(), bytes);
    }
}
