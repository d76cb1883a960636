//! Start and stop of a node.

use std::sync::Arc;

use crate::engine::http::HttpEngines;
use crate::metrics::Counters;
use crate::platform::http::HttpPlatform;
use crate::settings::Settings;
use crate::traffic::Traffic;
use crate::{Error, admin, caller, control};

/// Runs a node until it is told to stop.
pub fn run(settings: Settings) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .enable_all()
        .build()
        .map_err(Error::Thread)?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), Error> {
    let counters = Counters::open(&settings.metrics)?;
    let platform = Arc::new(HttpPlatform::open(
        settings.platform_address,
        settings.platform_timeout,
    ));
    let caller_listen = settings.caller_listen;
    let admin_listen = settings.admin_listen;
    let traffic = Arc::new(Traffic::new(
        settings,
        Arc::new(HttpEngines::open()),
        Arc::<HttpPlatform>::clone(&platform),
        counters,
    ));
    let control = control::spawn(Arc::clone(&traffic), platform)?;
    caller::server::bind(caller_listen, Arc::clone(&traffic)).await?;
    admin::bind(admin_listen, traffic, control).await?;
    log::info!(caller:% = caller_listen, admin:% = admin_listen; "node started");
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
        .map_err(Error::Thread)?;
    terminate.recv().await;
    log::info!("node stopped");
    Ok(())
}
