//! The control thread: follows the store and publishes snapshots of the fleet.
//!
//! Watches follow the configuration, the runners' registrations and the quarantined parts. A failed call is
//! repeated after a growing pause. After any failure, also if the store no longer has the history after a
//! revision, the keys are listed again. A configuration is never replaced by one with a lower version.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tealsaddle_core::fleet::store_availability::REREGISTRATION_WINDOW_US;
use tokio::sync::Notify;

use crate::clock::jittered;
use crate::error::StoreError;
use crate::external::{Change, Changes, Freshness, Listing, Store};
use crate::fleet_state::FleetState;
use crate::gateway::Gateway;
use crate::quarantine::keeper::{self, QUARANTINE_PREFIX};
use crate::rounds::ControlLoop;
use crate::{Error, clock, peers};

/// Time for which a watch waits for a change. After an outage the store may have lost a watch that it
/// accepted before, which shows only when this time is over.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// The same for the quarantined parts, which change rarely: each call has its price. It is below the time for
/// which the platform's stores keep their history, after which a watch has to begin with a listing.
const QUARANTINE_WATCH_WAIT: Duration = Duration::from_secs(15);
/// Timeout of a call to the store; that of a watch is longer by the time for which it waits.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after changes, so that the next watch returns further changes together. With many nodes and
/// runners, this limits the number of calls to the store.
const BATCH_PAUSE: Duration = Duration::from_millis(900);
/// Pause after the first failed call; it doubles with each further failure.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a failed call.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);

/// State shared by the tasks of the control thread.
#[derive(Debug)]
pub struct Control {
    /// State shared with the requests, to which snapshots are published.
    pub gateway: Arc<Gateway>,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    fleet: Mutex<FleetState>,
    /// Signals that the store has recovered, so that watches from before the outage are restarted.
    store_recovered: Notify,
}

/// Handle of the running control thread.
#[derive(Debug)]
pub struct ControlHandle {
    leave: tokio::sync::watch::Sender<bool>,
    control: Arc<Control>,
}

impl ControlHandle {
    /// Starts the control thread.
    pub fn spawn(gateway: Arc<Gateway>, store: Arc<dyn Store>) -> Result<Self, Error> {
        let control = Arc::new(Control {
            gateway,
            store,
            fleet: Mutex::default(),
            store_recovered: Notify::new(),
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

    /// The encoded state of this node, for peers.
    pub fn peer_state(&self) -> String {
        peers::encode(&self.control.fleet(), clock::now_us())
    }
}

async fn run(control: Arc<Control>, leaving: tokio::sync::watch::Receiver<bool>) {
    let layout = control.gateway.dialect.layout();
    let followed = [
        Followed {
            prefix: layout.config_key,
            wait: WATCH_WAIT,
            apply: Control::on_config,
        },
        Followed {
            prefix: layout.runner_prefix,
            wait: WATCH_WAIT,
            apply: Control::on_runners,
        },
        Followed {
            prefix: QUARANTINE_PREFIX,
            wait: QUARANTINE_WATCH_WAIT,
            apply: Control::on_quarantine,
        },
    ];
    for followed in followed {
        tokio::spawn(follow(Arc::clone(&control), followed));
    }
    tokio::spawn(peers::fetch_until_ready(Arc::clone(&control)));
    if let Some(commands) = control.gateway.quarantine.take_commands() {
        tokio::spawn(keeper::run(Arc::clone(&control), commands));
    }
    ControlLoop::open(Arc::clone(&control)).run(leaving).await;
}

/// Result of a call for the keys under a prefix.
#[derive(Debug)]
pub enum StoreUpdate {
    /// All keys.
    Listing(Listing),
    /// The keys that have changed since the last update.
    Changes(Changes),
}

/// A prefix whose keys the control thread follows.
#[derive(Debug, Clone, Copy)]
struct Followed {
    prefix: &'static str,
    /// Time for which a watch waits.
    wait: Duration,
    apply: fn(&Arc<Control>, StoreUpdate),
}

impl StoreUpdate {
    fn has_changes(&self) -> bool {
        match self {
            Self::Listing(_) => false,
            Self::Changes(changes) => !changes.changes.is_empty(),
        }
    }
}

/// Follows the keys under a prefix: lists them once, then watches them. Never returns.
async fn follow(control: Arc<Control>, followed: Followed) {
    let Followed { prefix, apply, .. } = followed;
    let mut revision = None;
    let mut pause = MIN_RETRY_PAUSE;
    loop {
        let result = tokio::select! {
            result = list_or_watch(&control, &followed, revision) => result,
            () = control.store_recovered.notified() => {
                revision = None;
                continue;
            }
        };
        match result {
            Ok(update) => {
                revision = Some(match &update {
                    StoreUpdate::Listing(listing) => listing.revision,
                    StoreUpdate::Changes(changes) => changes.revision,
                });
                let has_changes = update.has_changes();
                control.on_store_call(None);
                apply(&control, update);
                pause = MIN_RETRY_PAUSE;
                if has_changes {
                    tokio::time::sleep(BATCH_PAUSE).await;
                }
            }
            Err(error) => {
                if error == StoreError::HistoryGone {
                    log::warn!(prefix; "store history is no longer available; listing the keys again");
                } else {
                    control.on_store_call(Some(&error));
                }
                // After a failure, list again: a watch from an old revision may wait although the store
                // has later changes.
                revision = None;
                tokio::time::sleep(jittered(pause)).await;
                pause = (pause * 2).min(MAX_RETRY_PAUSE);
            }
        }
    }
}

async fn list_or_watch(
    control: &Control,
    followed: &Followed,
    revision: Option<u64>,
) -> Result<StoreUpdate, StoreError> {
    let Followed { prefix, wait, .. } = *followed;
    if let Some(after) = revision {
        let watch = control.store.watch(prefix, after, wait);
        let changes = with_timeout(wait + CALL_TIMEOUT, watch).await?;
        return Ok(StoreUpdate::Changes(changes));
    }
    let list = control.store.list(prefix, Freshness::Latest);
    list.await.map(StoreUpdate::Listing)
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
        self.gateway.snapshot.store(Arc::new(snapshot));
    }

    /// Records whether a call to the store succeeded, and restarts the watches when the store recovers.
    pub fn on_store_call(&self, error: Option<&StoreError>) {
        let now_us = clock::now_us();
        match error {
            None => {
                if self.fleet().store_availability.on_answer(now_us) {
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

    fn on_config(self: &Arc<Self>, update: StoreUpdate) {
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

    fn on_runners(self: &Arc<Self>, update: StoreUpdate) {
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
        self.expire_lapsed_later();
    }

    /// Drops lapsed registrations once their time is over.
    pub fn expire_lapsed_later(self: &Arc<Self>) {
        if !self.fleet().has_lapsed_registrations() {
            return;
        }
        let control = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_micros(REREGISTRATION_WINDOW_US)).await;
            control.fleet().expire(clock::now_us());
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
