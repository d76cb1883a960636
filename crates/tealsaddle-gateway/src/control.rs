//! The control thread: follows the store and publishes snapshots of the fleet.
//!
//! [`crate::follow`] reads the keys; this module applies them. A configuration is never replaced by one
//! with a lower version.

use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use hyper::StatusCode;
use tealsaddle_core::fleet::store_words::{REREGISTRATION_WINDOW_US, StoreWord};
use tokio::sync::Notify;

use crate::error::StoreError;
use crate::external::{Change, DutyPlatform, Store};
use crate::fleet_state::FleetState;
use crate::follow::{self, StoreUpdate};
use crate::gateway::Gateway;
use crate::quarantine::keeper;
use crate::rounds::ControlLoop;
use crate::usage::reporter;
use crate::{Error, changes, clock, departures, peers, resumption};

/// Timeout of a call to the store; that of a watch is longer by the time for which it waits.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// State shared by the tasks of the control thread.
#[derive(Debug)]
pub struct Control {
    /// State shared with the requests, to which snapshots are published.
    pub gateway: Arc<Gateway>,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// The platform's API for the duties of one node at a time; `None` if there are none.
    pub duty_platform: Option<Arc<dyn DutyPlatform>>,
    /// Fencing token of the term whose key has changed in the store, as a duty has found; 0 if none has.
    pub lost_term: AtomicU64,
    fleet: Mutex<FleetState>,
    /// Signals that the store has recovered, so that a watch from before the outage is restarted.
    pub store_recovered: Notify,
    /// Signals that this node has heard of the store's keys, for peers that hear of them from this node.
    pub heard: tokio::sync::watch::Sender<()>,
}

/// Handle of the running control thread. Dropping it ends the thread, but not the node's lease.
#[derive(Debug)]
pub struct ControlHandle {
    leave: tokio::sync::watch::Sender<bool>,
    control: Arc<Control>,
}

impl ControlHandle {
    /// Starts the control thread of a node without duties toward the platform.
    pub fn spawn(gateway: Arc<Gateway>, store: Arc<dyn Store>) -> Result<Self, Error> {
        Self::spawn_with_duties(gateway, store, None)
    }

    /// Starts the control thread.
    pub fn spawn_with_duties(
        gateway: Arc<Gateway>,
        store: Arc<dyn Store>,
        duty_platform: Option<Arc<dyn DutyPlatform>>,
    ) -> Result<Self, Error> {
        let fleet = FleetState::open(gateway.config.registration_renewal);
        let control = Arc::new(Control {
            gateway,
            store,
            duty_platform,
            lost_term: AtomicU64::new(0),
            fleet: Mutex::new(fleet),
            store_recovered: Notify::new(),
            heard: tokio::sync::watch::Sender::new(()),
        });
        let (leave, leaving) = tokio::sync::watch::channel(false);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(Error::Thread)?;
        let thread_control = Arc::clone(&control);
        std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || runtime.block_on(run(thread_control, leaving)))
            .map_err(Error::Thread)?;
        Ok(Self { leave, control })
    }

    /// Tells the thread to end this node's lease, which removes the registration and lets another node
    /// acquire the authority to order.
    pub fn leave(&self) {
        self.leave.send_replace(true);
    }

    /// Whether the last call of this node to the store was answered.
    pub fn has_store(&self) -> bool {
        !self.control.fleet().store_availability.is_unavailable()
    }

    /// Answers a peer's question whether runners have left.
    pub fn answer_departures(&self, body: &[u8]) -> (StatusCode, String) {
        departures::answer(&self.control, body)
    }

    /// Answers a peer's question for changes in the store.
    pub async fn answer_changes(&self, body: &[u8]) -> (StatusCode, String) {
        changes::answer(&self.control, body).await
    }

    /// The encoded state of this node, for peers.
    pub fn peer_state(&self) -> String {
        let own = self.control.gateway.config.own_member();
        peers::encode(&self.control.fleet(), own, clock::now_us())
    }
}

async fn run(control: Arc<Control>, leaving: tokio::sync::watch::Receiver<bool>) {
    tokio::spawn(follow::follow(Arc::clone(&control)));
    tokio::spawn(peers::fetch_until_ready(Arc::clone(&control)));
    tokio::spawn(resumption::record_turns(Arc::clone(&control.gateway)));
    if let Some(commands) = control.gateway.quarantine.take_commands() {
        tokio::spawn(keeper::run(Arc::clone(&control), commands));
    }
    let control_loop = ControlLoop::open(Arc::clone(&control));
    reporter::spawn(&control, control_loop.term_watch());
    control_loop.run(leaving).await;
}

/// Limits the time of a call to the store; a timeout counts as an unreachable store.
pub async fn with_timeout<F, T>(limit: Duration, call: F) -> Result<T, StoreError>
where
    F: Future<Output = Result<T, StoreError>>,
{
    let timeout = |_elapsed| Err(StoreError::Unreachable("no answer in time".to_owned()));
    tokio::time::timeout(limit, call)
        .await
        .unwrap_or_else(timeout)
}

impl Control {
    /// Locks the fleet state of the control thread.
    pub fn fleet(&self) -> MutexGuard<'_, FleetState> {
        self.fleet.lock().expect("no holder of the lock panics")
    }

    /// Publishes a snapshot of the fleet to the requests.
    pub fn publish(&self) {
        let snapshot = self.fleet().snapshot();
        self.gateway.scheduler.on_snapshot(&snapshot);
        self.gateway.send_gate.on_snapshot(&snapshot);
        self.gateway.versions.on_snapshot(&snapshot);
        self.gateway.usage.on_snapshot(&snapshot);
        self.gateway.snapshot.store(Arc::new(snapshot));
    }

    /// Records that the store has answered a call which was sent at `sent_us`.
    pub fn on_store_word(&self, sent_us: u64) {
        let word = StoreWord {
            from_us: sent_us,
            to_us: clock::now_us(),
        };
        self.fleet().store_words.on_word(word);
    }

    /// Records whether a call to the store succeeded, and restarts the watches when the store recovers.
    pub fn on_store_call(&self, error: Option<&StoreError>) {
        match error {
            None => {
                if self.fleet().store_availability.on_answer() {
                    log::info!("the store answers again");
                    self.store_recovered.notify_waiters();
                }
            }
            Some(error) => {
                self.gateway.metrics.increment("store.failed_calls");
                if self.fleet().store_availability.on_failure() {
                    log::warn!(error:%; "the store does not answer");
                }
            }
        }
    }

    /// Applies the operator's configuration.
    pub fn on_config(self: &Arc<Self>, update: StoreUpdate) {
        let items = match update {
            StoreUpdate::Listing(listing) => listing.items,
            StoreUpdate::Changes(changes) => {
                changes.changes.into_iter().filter_map(put_item).collect()
            }
        };
        let mut is_new = false;
        for item in items {
            is_new |= self.apply_config(&item.value);
        }
        if is_new {
            self.publish();
        }
    }

    /// Applies a configuration from the store or a peer; returns whether it is newer than the current one.
    pub fn apply_config(&self, value: &[u8]) -> bool {
        match self.gateway.dialect.config(value) {
            Ok(config) => {
                let version = config.version;
                let is_new = self.fleet().on_config(config, value);
                if is_new {
                    log::info!(version; "configuration in force");
                }
                is_new
            }
            Err(error) => {
                log::error!(error:%; "configuration cannot be parsed and is ignored");
                false
            }
        }
    }

    /// Applies the runners' registrations.
    pub fn on_runners(self: &Arc<Self>, update: StoreUpdate) {
        let prefix = self.gateway.dialect.layout().runner_prefix;
        let now_us = clock::now_us();
        {
            let mut fleet = self.fleet();
            let dialect = &*self.gateway.dialect;
            match update {
                StoreUpdate::Listing(listing) => fleet.on_listing(dialect, prefix, listing, now_us),
                StoreUpdate::Changes(changes) => fleet.on_changes(dialect, prefix, changes, now_us),
            }
        }
        self.publish();
        self.judge_lapsed();
    }

    /// Asks peers whether the runners have left whose registrations may have lapsed, and drops the others once their time
    /// is over.
    pub fn judge_lapsed(self: &Arc<Self>) {
        if !self.fleet().begin_asking() {
            return;
        }
        self.gateway.metrics.increment("registrations.kept");
        let control = Arc::clone(self);
        tokio::spawn(async move {
            let window = tokio::time::sleep(Duration::from_micros(REREGISTRATION_WINDOW_US));
            departures::settle(&control).await;
            window.await;
            if control.fleet().expire(clock::now_us()) > 0 {
                control.gateway.metrics.increment("registrations.expired");
            }
            control.publish();
        });
    }
}

fn put_item(change: Change) -> Option<crate::external::Item> {
    match change {
        Change::Put(item) => Some(item),
        Change::Removed { .. } => None,
    }
}
