//! The control thread: follows the store and publishes the fleet.
//!
//! One watch follows the configuration and one the runners' registrations. Both survive everything the
//! store does: a lost call is made again after a growing pause, and when the history is gone the keys
//! are read anew. A configuration never goes back to an older version.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tealsaddle_core::fleet::lapse::RETURN_WINDOW_US;
use tokio::sync::Notify;

use crate::clock::jittered;
use crate::error::StoreError;
use crate::external::{Change, Changes, Freshness, Listing, Store};
use crate::fleet_state::FleetState;
use crate::gateway::Gateway;
use crate::rounds::ControlLoop;
use crate::{Error, clock, peers};

/// Time that a watch waits for a change. A store that was away may have forgotten a watch that it
/// acknowledged before, and only the end of the wait shows it.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Time for the store to answer beyond a watch's wait.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after changes, in which more of them gather: with many nodes and runners each call counts.
const GATHER: Duration = Duration::from_millis(900);
/// First pause after a failed call; it doubles up to the longest one.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a failed call.
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// State of the control thread.
#[derive(Debug)]
pub struct Control {
    /// What requests see.
    pub gateway: Arc<Gateway>,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    fleet: Mutex<FleetState>,
    /// Signals that the store answers again, so that watches from before are made anew.
    returned: Notify,
}

/// The running control thread.
#[derive(Debug)]
pub struct ControlHandle {
    leave: tokio::sync::watch::Sender<bool>,
    control: Arc<Control>,
}

impl ControlHandle {
    /// Starts the thread.
    pub fn spawn(gateway: Arc<Gateway>, store: Arc<dyn Store>) -> Result<Self, Error> {
        let control = Arc::new(Control {
            gateway,
            store,
            fleet: Mutex::default(),
            returned: Notify::new(),
        });
        let (leave, leaving) = tokio::sync::watch::channel(false);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(Error::Thread)?;
        let of_thread = Arc::clone(&control);
        std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || runtime.block_on(run(of_thread, leaving)))
            .map_err(Error::Thread)?;
        Ok(Self { leave, control })
    }

    /// Hands over what this node holds in the store.
    pub fn leave(&self) {
        self.leave.send_replace(true);
    }

    /// What peers are told.
    pub fn peer_state(&self) -> String {
        peers::encode(&self.control.fleet())
    }
}

async fn run(control: Arc<Control>, leaving: tokio::sync::watch::Receiver<bool>) {
    let layout = control.gateway.dialect.layout();
    let config = follow(Arc::clone(&control), layout.config_key, Control::on_config);
    let runners = follow(
        Arc::clone(&control),
        layout.runner_prefix,
        Control::on_runners,
    );
    tokio::spawn(peers::fetch_until_ready(Arc::clone(&control)));
    tokio::spawn(config);
    tokio::spawn(runners);
    ControlLoop::open(Arc::clone(&control)).run(leaving).await;
}

/// What a watch has brought.
#[derive(Debug)]
enum StoreUpdate {
    Listing(Listing),
    Changes(Changes),
}

impl StoreUpdate {
    fn has_changes(&self) -> bool {
        match self {
            Self::Listing(_) => false,
            Self::Changes(changes) => !changes.changes.is_empty(),
        }
    }
}

/// Follows the keys under a prefix for ever.
async fn follow(
    control: Arc<Control>,
    prefix: &'static str,
    apply: fn(&Arc<Control>, StoreUpdate),
) {
    let mut revision = None;
    let mut pause = MIN_PAUSE;
    loop {
        let result = tokio::select! {
            result = ask(&control, prefix, revision) => result,
            () = control.returned.notified() => {
                revision = None;
                continue;
            }
        };
        match result {
            Ok(news) => {
                revision = Some(match &news {
                    StoreUpdate::Listing(listing) => listing.revision,
                    StoreUpdate::Changes(changes) => changes.revision,
                });
                let is_busy = news.has_changes();
                control.on_contact(None);
                apply(&control, news);
                pause = MIN_PAUSE;
                if is_busy {
                    tokio::time::sleep(GATHER).await;
                }
            }
            Err(error) => {
                if error == StoreError::HistoryGone {
                    log::warn!(prefix; "the store's history is gone; reading anew");
                } else {
                    control.on_contact(Some(&error));
                }
                // A store in trouble may let a watch from an old revision wait although there are
                // changes after it.
                revision = None;
                tokio::time::sleep(jittered(pause)).await;
                pause = (pause * 2).min(MAX_PAUSE);
            }
        }
    }
}

async fn ask(
    control: &Control,
    prefix: &str,
    revision: Option<u64>,
) -> Result<StoreUpdate, StoreError> {
    if let Some(after) = revision {
        let watch = control.store.watch(prefix, after, WATCH_WAIT);
        let changes = within(WATCH_WAIT + CALL_TIMEOUT, watch).await?;
        return Ok(StoreUpdate::Changes(changes));
    }
    let list = control.store.list(prefix, Freshness::Latest);
    list.await.map(StoreUpdate::Listing)
}

/// Bounds a call to the store in time.
pub async fn within<F, T>(limit: Duration, call: F) -> Result<T, StoreError>
where
    F: Future<Output = Result<T, StoreError>>,
{
    let timeout = |_elapsed| Err(StoreError::Unreachable("no answer in time".to_owned()));
    tokio::time::timeout(limit, call)
        .await
        .unwrap_or_else(timeout)
}

impl Control {
    /// The fleet as the control thread knows it.
    pub fn fleet(&self) -> MutexGuard<'_, FleetState> {
        self.fleet.lock().expect("no holder of the lock panics")
    }

    /// Publishes the fleet to the requests.
    pub fn publish(&self) {
        let snapshot = self.fleet().snapshot();
        self.gateway.scheduler.on_snapshot(&snapshot);
        self.gateway.snapshot.store(Arc::new(snapshot));
    }

    /// Notes an answer of the store, or the lack of one.
    pub fn on_contact(&self, error: Option<&StoreError>) {
        let now_us = clock::now_us();
        match error {
            None => {
                if self.fleet().contact.on_answer(now_us) {
                    log::info!("the store answers again");
                    self.returned.notify_waiters();
                }
            }
            Some(error) => {
                self.gateway.metrics.increment("store.failed_calls");
                if self.fleet().contact.on_failure() {
                    log::warn!(error:%; "the store does not answer");
                }
            }
        }
    }

    fn on_config(self: &Arc<Self>, news: StoreUpdate) {
        let items = match news {
            StoreUpdate::Listing(listing) => listing.items,
            StoreUpdate::Changes(changes) => changes.changes.into_iter().filter_map(put).collect(),
        };
        let mut is_new = false;
        for item in items {
            is_new |= self.apply_config(&item.value);
        }
        if is_new {
            self.publish();
        }
    }

    /// Takes a configuration from the store or a peer; `true` if it is newer.
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
                log::error!(error:%; "the configuration cannot be read");
                false
            }
        }
    }

    fn on_runners(self: &Arc<Self>, news: StoreUpdate) {
        let prefix = self.gateway.dialect.layout().runner_prefix;
        let now_us = clock::now_us();
        let has_lapsed = {
            let mut fleet = self.fleet();
            let dialect = &*self.gateway.dialect;
            match news {
                StoreUpdate::Listing(listing) => fleet.on_listing(dialect, prefix, listing, now_us),
                StoreUpdate::Changes(changes) => fleet.on_changes(dialect, prefix, changes, now_us),
            }
            fleet.has_lapsed()
        };
        self.publish();
        if has_lapsed {
            let control = Arc::clone(self);
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_micros(RETURN_WINDOW_US)).await;
                control.fleet().expire(clock::now_us());
                control.publish();
            });
        }
    }
}

fn put(change: Change) -> Option<crate::external::Item> {
    match change {
        Change::Put(item) => Some(item),
        Change::Removed { .. } => None,
    }
}
