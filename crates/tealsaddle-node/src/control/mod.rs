//! The control thread: it owns the control state and publishes snapshots for the traffic threads.

use std::sync::Arc;
use std::time::Duration;

use tealsaddle_core::inventory::Inventory;
use tealsaddle_schema::record::ConfigRecord;

use crate::Error;
use crate::platform::KeyValue;
use crate::traffic::{Snapshot, Traffic};

/// Key of the configuration in force.
pub const CONFIG_KEY: &str = "config/current";

/// Time between two looks at the configuration.
const CONFIG_INTERVAL: Duration = Duration::from_millis(500);

/// Starts the control thread.
pub fn spawn(traffic: Arc<Traffic>, platform: Arc<dyn KeyValue>) -> Result<(), Error> {
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("the control thread can make its runtime");
            runtime.block_on(run(&traffic, &*platform));
        })
        .map_err(Error::Thread)?;
    Ok(())
}

async fn run(traffic: &Traffic, platform: &dyn KeyValue) {
    let mut version = 0;
    loop {
        if let Ok(Some(entry)) = platform.get(CONFIG_KEY).await
            && let Ok(record) = serde_json::from_value::<ConfigRecord>(entry.value)
            && record.version > version
        {
            match Inventory::from_yaml(&record.yaml, record.version) {
                Ok(inventory) => {
                    version = record.version;
                    publish(traffic, inventory);
                }
                Err(error) => {
                    log::error!(version = record.version, error:% = error; "configuration refused");
                }
            }
        }
        tokio::time::sleep(CONFIG_INTERVAL).await;
    }
}

fn publish(traffic: &Traffic, inventory: Inventory) {
    log::info!(version = inventory.version; "configuration in force");
    let open_engines = inventory
        .engines
        .values()
        .filter(|engine| engine.zone == traffic.settings.zone && !engine.withdrawn)
        .map(|engine| (Arc::clone(&engine.name), engine.initial_role))
        .collect();
    let inventory = Some(Arc::new(inventory));
    let snapshot = Snapshot {
        inventory,
        open_engines,
        is_registered: true,
        ..Snapshot::default()
    };
    traffic.snapshot.store(Arc::new(snapshot));
}
