//! Follows the keys of the store that a node needs: configuration, registrations, quarantined parts.
//!
//! The keys under each prefix are listed once. Then one watch follows all keys of the store: each waiting watch
//! counts as a call, and the other keys change rarely. A failed call is repeated after a growing pause. After any
//! failure, also if the store no longer has the history after a revision, the keys are listed again.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;

use crate::clock::{self, jittered};
use crate::control::{CALL_TIMEOUT, Control, with_timeout};
use crate::error::StoreError;
use crate::external::{Change, Changes, Freshness, Listing};
use crate::quarantine::records::QUARANTINE_PREFIX;

/// Prefix of all keys.
const ALL_KEYS: &str = "";
/// Time for which a watch waits for a change. After an outage the store may have lost a watch that it
/// accepted before, which shows only when this time is over.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Pause after changes, so that the next watch returns further changes together. With many nodes and
/// runners, this limits the number of calls to the store.
const BATCH_PAUSE: Duration = Duration::from_millis(900);
/// Pause after the first failed call; it doubles with each further failure.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a failed call.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);

/// What a call has returned of the keys under a prefix.
#[derive(Debug)]
pub enum StoreUpdate {
    /// All keys.
    Listing(Listing),
    /// The keys that have changed since the last update.
    Changes(Changes),
}

/// A prefix whose keys are followed.
#[derive(Debug, Clone, Copy)]
struct Followed {
    prefix: &'static str,
    apply: fn(&Arc<Control>, StoreUpdate),
}

/// Lists the keys, then watches them. Never returns.
pub async fn follow(control: Arc<Control>) {
    let layout = control.gateway.dialect.layout();
    let followed = [
        Followed {
            prefix: layout.config_key,
            apply: Control::on_config,
        },
        Followed {
            prefix: layout.runner_prefix,
            apply: Control::on_runners,
        },
        Followed {
            prefix: QUARANTINE_PREFIX,
            apply: Control::on_quarantine,
        },
    ];
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
            Ok(read) => {
                log_read(&control, &read);
                revision = Some(read.revision);
                control.on_store_call(None);
                pause = MIN_RETRY_PAUSE;
                if read.has_changes {
                    tokio::time::sleep(BATCH_PAUSE).await;
                }
            }
            Err(error) => {
                if error == StoreError::HistoryGone {
                    log::warn!("store history is no longer available; listing the keys again");
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

/// How far the keys have been read.
#[derive(Debug)]
struct Read {
    /// Revision after which the next watch continues.
    revision: u64,
    has_changes: bool,
    /// When the knowledge was complete, on the clock of [`clock::now_us`].
    as_of_us: u64,
}

async fn list_or_watch(
    control: &Arc<Control>,
    followed: &[Followed],
    revision: Option<u64>,
) -> Result<Read, StoreError> {
    match revision {
        Some(after) => watch(control, followed, after).await,
        None => list(control, followed).await,
    }
}

/// Lists the keys under all prefixes and applies each listing as it arrives, also if others fail.
async fn list(control: &Arc<Control>, followed: &[Followed]) -> Result<Read, StoreError> {
    let list = |followed: Followed| async move {
        let listed = control.store.list(followed.prefix, Freshness::Latest);
        (followed, listed.await)
    };
    let asked_us = clock::now_us();
    let mut lists: FuturesUnordered<_> = followed.iter().copied().map(list).collect();
    let mut revisions = Vec::new();
    let mut failure = None;
    while let Some((followed, listed)) = lists.next().await {
        match listed {
            Ok(listing) => {
                revisions.push(listing.revision);
                (followed.apply)(control, StoreUpdate::Listing(listing));
            }
            Err(error) => failure = Some(error),
        }
    }
    if let Some(error) = failure {
        return Err(error);
    }
    Ok(Read {
        // Changes that a later listing already has are applied again, which has no effect.
        revision: revisions.into_iter().min().unwrap_or(0),
        has_changes: false,
        as_of_us: asked_us,
    })
}

/// Waits for changes of any key, and applies those under the prefixes.
async fn watch(
    control: &Arc<Control>,
    followed: &[Followed],
    after: u64,
) -> Result<Read, StoreError> {
    let asked_us = clock::now_us();
    let watched = control.store.watch(ALL_KEYS, after, WATCH_WAIT);
    let Changes { changes, revision } = with_timeout(WATCH_WAIT + CALL_TIMEOUT, watched).await?;
    let has_changes = !changes.is_empty();
    let mut of_prefix: Vec<Vec<Change>> = followed.iter().map(|_| Vec::new()).collect();
    for change in changes {
        let key = change.key();
        if let Some(position) = followed.iter().position(|f| key.starts_with(f.prefix)) {
            of_prefix[position].push(change);
        }
    }
    for (followed, changes) in followed.iter().zip(of_prefix) {
        if !changes.is_empty() {
            let changes = Changes { changes, revision };
            (followed.apply)(control, StoreUpdate::Changes(changes));
        }
    }
    Ok(Read {
        revision,
        has_changes,
        as_of_us: if has_changes {
            asked_us
        } else {
            asked_us + WATCH_WAIT.as_micros() as u64
        },
    })
}

/// Confirms the knowledge, and logs for how long it was not confirmed when there were changes.
fn log_read(control: &Control, read: &Read) {
    let knowledge = &control.gateway.knowledge;
    if read.has_changes {
        log::info!(revision = read.revision, unconfirmed_ms = knowledge.age().as_millis() as u64,
            asked_ms = clock::now_us().saturating_sub(read.as_of_us) / 1_000; "changes read");
    }
    knowledge.confirm(read.as_of_us);
}
