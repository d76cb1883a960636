//! Start and stop of a node.

use std::sync::Arc;
use std::time::Duration;

use tealsaddle_gateway::signals::BlockedSignals;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::admin::AdminServer;
use crate::caller::server::CallerServer;
use crate::control::api::ControlHandle;
use crate::engine::http::HttpEngineClient;
use crate::metrics::Counters;
use crate::platform::http::HttpPlatform;
use crate::settings::Settings;
use crate::traffic::Traffic;
use crate::{Error, admin, caller, control};

/// Timeout for calls that the control thread answers from memory.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a leaving node still accepts connections and refuses their requests. The load
/// balancer may send work to a leaving VM for up to 3 s (section 6 of the design).
const PROBE_GRACE: Duration = Duration::from_secs(3);
/// Time for callers to read the responses to aborted requests, and for engines to confirm the
/// cancellations, which time out after 2 s.
const ABORT_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout for the handover and the resignation; the control thread has a shorter limit of its own.
const RESIGN_TIMEOUT: Duration = Duration::from_secs(60);

/// Time for the administration requests in flight to complete. The longest, a change of the
/// configuration, takes at most 20 s.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(25);

/// Runs a node until it leaves: after SIGTERM, after a drain by an operator, or when the platform's VM
/// list shows its VM as leaving.
pub fn run(settings: Settings) -> Result<(), Error> {
    let blocked_signals = BlockedSignals::open().map_err(Error::Thread)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .enable_all()
        .build()
        .map_err(Error::Thread)?;
    let context = runtime.enter();
    let terminate = signal(SignalKind::terminate()).map_err(Error::Thread)?;
    let hang_up = signal(SignalKind::hangup()).map_err(Error::Thread)?;
    drop(context);
    drop(blocked_signals);
    runtime.block_on(serve(settings, terminate, hang_up))
}

async fn serve(settings: Settings, mut terminate: Signal, hang_up: Signal) -> Result<(), Error> {
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
    let platform_clients = control::PlatformServices {
        key_value: Arc::<HttpPlatform>::clone(&platform),
        vms: platform,
    };
    let control = control::spawn(Arc::clone(&traffic), platform_clients)?;
    let callers = caller::server::bind(caller_listen, Arc::clone(&traffic)).await?;
    let operators = admin::bind(admin_listen, Arc::clone(&traffic), control.clone()).await?;
    log::info!(caller:% = caller_listen, admin:% = admin_listen; "node started");
    tokio::spawn(ignore(hang_up));
    tokio::select! {
        _ = terminate.recv() => {
            if control.leave(CONTROL_TIMEOUT).await.is_err() {
                log::warn!("the control thread did not answer the request to leave");
            }
        }
        () = control.wait_until_leaving() => {}
    }
    stop(&control, callers, operators, &traffic).await;
    Ok(())
}

/// Logs each SIGHUP. The settings are read at the start only, so there is nothing to reload.
async fn ignore(mut hang_up: Signal) {
    while hang_up.recv().await.is_some() {
        log::info!("SIGHUP ignored; the settings are read at the start only");
    }
}

/// Shuts the caller server down. Requests still in flight after `limit` are aborted and answered with
/// the outcome known at that time.
async fn shutdown_within(limit: Duration, callers: CallerServer, traffic: &Traffic) {
    let mut shutdown = std::pin::pin!(callers.shutdown());
    if tokio::time::timeout(limit, &mut shutdown).await.is_ok() {
        return;
    }
    log::warn!(limit_ms = limit.as_millis(), in_flight = traffic.requests_in_flight();
        "drain timeout reached; aborting the requests in flight");
    traffic.stop_signals.aborting.cancel();
    if tokio::time::timeout(ABORT_TIMEOUT, shutdown).await.is_err() {
        log::warn!(in_flight = traffic.requests_in_flight(); "some callers did not read their responses in time");
    }
}

/// Completes the requests in flight, then removes the node from the router list.
async fn stop(
    control: &ControlHandle,
    callers: CallerServer,
    operators: AdminServer,
    traffic: &Traffic,
) {
    // Probes of the load balancer must receive the 503 before connections are refused.
    tokio::time::sleep(PROBE_GRACE).await;
    match traffic.settings.limits.drain_timeout {
        None => callers.shutdown().await,
        Some(limit) => shutdown_within(limit, callers, traffic).await,
    }
    match control.resign(RESIGN_TIMEOUT).await {
        Ok(true) => {}
        Ok(false) => log::warn!(
            "no holder confirmed the resignation; the node may still be in the router list"
        ),
        Err(_late) => log::warn!(
            "the control thread did not answer the request to resign; the node may still be in the router list"
        ),
    }
    if tokio::time::timeout(ADMIN_TIMEOUT, operators.shutdown())
        .await
        .is_err()
    {
        log::warn!("administration requests did not complete in time and were aborted");
    }
    log::info!("node stopped");
}
