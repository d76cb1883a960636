//! Start and stop of a node.

use std::sync::Arc;
use std::time::Duration;

use crate::admin::AdminServer;
use crate::caller::server::CallerServer;
use crate::control::api::ControlHandle;
use crate::engine::http::HttpEngineClient;
use crate::metrics::Counters;
use crate::platform::http::HttpPlatform;
use crate::settings::Settings;
use crate::traffic::Traffic;
use crate::{Error, admin, caller, control};

/// Time for the control thread to answer from memory.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a node that leaves still answers new connections with refusals. A leaving VM may get
/// work for up to 3 s (section 6 of the design).
const PROBE_GRACE: Duration = Duration::from_secs(3);
/// Time for callers to take the answers to requests that are given up, and for engines to take the
/// cancellations, which end after 2 s.
const GIVE_UP_TIME: Duration = Duration::from_secs(3);
/// Time to hand over and resign; the control thread gives up earlier by itself.
const RESIGN_TIMEOUT: Duration = Duration::from_secs(60);

/// Time for the answers to operators, of which a change of the configuration takes 20 s at most.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(25);

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
        Arc::new(HttpEngineClient::open()),
        Arc::<HttpPlatform>::clone(&platform),
        counters,
    ));
    let services = control::PlatformServices {
        key_value: Arc::<HttpPlatform>::clone(&platform),
        vms: platform,
    };
    let control = control::spawn(Arc::clone(&traffic), services)?;
    let callers = caller::server::bind(caller_listen, Arc::clone(&traffic)).await?;
    let operators = admin::bind(admin_listen, Arc::clone(&traffic), control.clone()).await?;
    log::info!(caller:% = caller_listen, admin:% = admin_listen; "node started");
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
        .map_err(Error::Thread)?;
    tokio::select! {
        _ = terminate.recv() => {
            if control.leave(CONTROL_TIMEOUT).await.is_err() {
                log::warn!("the control thread did not answer");
            }
        }
        () = control.wait_until_leaving() => {}
    }
    stop(&control, callers, operators, &traffic).await;
    Ok(())
}

/// Completes what is in flight; what is left when the time is over gets the outcome that is known.
async fn shutdown_within(limit: Duration, callers: CallerServer, traffic: &Traffic) {
    let mut shutdown = std::pin::pin!(callers.shutdown());
    if tokio::time::timeout(limit, &mut shutdown).await.is_ok() {
        return;
    }
    log::warn!(limit_ms = limit.as_millis(), in_flight = traffic.requests_in_flight();
        "requests in flight are given up");
    traffic.stop_signals.aborting.cancel();
    if tokio::time::timeout(GIVE_UP_TIME, shutdown).await.is_err() {
        log::warn!(in_flight = traffic.requests_in_flight(); "callers did not take their answers");
    }
}

/// Completes what is in flight, then leaves the router list.
async fn stop(
    control: &ControlHandle,
    callers: CallerServer,
    operators: AdminServer,
    traffic: &Traffic,
) {
    // Probes of the load balancer must see the 503 before connections are refused.
    tokio::time::sleep(PROBE_GRACE).await;
    match traffic.settings.limits.drain_timeout {
        None => callers.shutdown().await,
        Some(limit) => shutdown_within(limit, callers, traffic).await,
    }
    if control.resign(RESIGN_TIMEOUT).await.is_err() {
        log::warn!("the node is still in the router list");
    }
    if tokio::time::timeout(ADMIN_TIMEOUT, operators.shutdown())
        .await
        .is_err()
    {
        log::warn!("an operator's request was cut off");
    }
    log::info!("node stopped");
}
