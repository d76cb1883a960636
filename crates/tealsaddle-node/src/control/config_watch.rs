//! Watches the configuration in the platform's key-value service.

use std::sync::Arc;
use std::time::Duration;

use tealsaddle_schema::record::ConfigRecord;
use tokio::sync::{mpsc, watch};

use super::config_write::{self, CONFIG_KEY};
use super::event::Event;
use crate::platform::KeyValue;

/// Time for which one watch call waits for changes.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Time between two passes of the loop, after a failed call or when the watch ends.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Watches the configuration while `is_config_watcher` is true, and sends every record as an event.
pub async fn watch_config(
    platform: Arc<dyn KeyValue>,
    events: mpsc::Sender<Event>,
    mut is_config_watcher: watch::Receiver<bool>,
) {
    loop {
        if is_config_watcher
            .wait_for(|is_config_watcher| *is_config_watcher)
            .await
            .is_err()
        {
            return;
        }
        match config_write::read(&*platform, CONFIG_KEY).await {
            Ok(stored) => {
                if events
                    .send(Event::ConfigRead(Some(stored.record)))
                    .await
                    .is_err()
                {
                    return;
                }
                watch_from(&*platform, &events, &mut is_config_watcher).await;
            }
            Err(_failed) => {
                if events.send(Event::ConfigRead(None)).await.is_err() {
                    return;
                }
            }
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Sends the changes of the configuration until a call fails or this node is no longer a watcher.
async fn watch_from(
    platform: &dyn KeyValue,
    events: &mpsc::Sender<Event>,
    is_config_watcher: &mut watch::Receiver<bool>,
) {
    let mut revision = 0;
    loop {
        let changes = tokio::select! {
            changes = platform.watch(CONFIG_KEY, revision, WATCH_WAIT) => changes,
            _ = is_config_watcher.wait_for(|is_config_watcher| !*is_config_watcher) => return,
        };
        let Ok(changes) = changes else {
            return;
        };
        revision = changes.revision;
        for entry in changes.entries {
            if entry.key != CONFIG_KEY {
                continue;
            }
            if let Ok(record) = serde_json::from_value::<ConfigRecord>(entry.value)
                && events.send(Event::ConfigRead(Some(record))).await.is_err()
            {
                return;
            }
        }
    }
}
