//! Stand-in of the platform: key-value service, leases, watches, VM list and weight store.
//!
//! The store itself is plain data with the time passed in. What goes wrong is set by [`Faults`], in
//! process through [`Platform::update`] or over HTTP under `/control`. A write whose caller gave up
//! still takes effect, as at the real service: only the answer is lost.

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

/// Largest value that is stored.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// A running platform stand-in; it stops when dropped.
#[derive(Debug)]
pub struct Platform {
    server: Server,
    state: Arc<State>,
}

/// What the connections share.
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
    buckets: faults::Buckets,
    vms: faults::VmList,
    weights: std::collections::BTreeMap<String, usize>,
}

impl State {
    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
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
            buckets: faults::Buckets::default(),
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
    /// Address that the platform is bound to.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Waits until the server ends, which it does only by a failure.
    pub async fn join(self) {
        self.server.join().await;
    }

    /// Changes what goes wrong from now on; calls that wait see the change at once.
    pub fn update<F>(&self, change: F)
    where
        F: FnOnce(&mut Faults),
    {
        change(&mut self.state.lock().faults);
        self.state.changed.notify_waiters();
    }

    /// Calls so far.
    pub fn counts(&self) -> CallCounts {
        self.state.lock().counts.clone()
    }

    /// Reads a key past all faults.
    pub fn get(&self, key: &str) -> Option<Entry> {
        self.state.lock().store.get(key).cloned()
    }

    /// Reads all keys under a prefix past all faults.
    pub fn list(&self, prefix: &str) -> Vec<Entry> {
        self.state.lock().store.list(prefix)
    }

    /// Writes a key past all faults and gives its version.
    pub fn set(&self, key: &str, value: serde_json::Value) -> u64 {
        let version = self.state.lock().store.set(key, value);
        self.state.changed.notify_waiters();
        version
    }

    /// Puts a VM into a state; the list shows it after the lag.
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

    /// Adds a file of the weight store.
    pub fn set_weights(&self, name: &str, bytes: usize) {
        self.state.lock().weights.insert(name.to_owned(), bytes);
    }
}
