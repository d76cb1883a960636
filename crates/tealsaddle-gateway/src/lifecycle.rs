//! Start, reload and graceful shutdown of a gateway process.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use hyper::StatusCode;
use tokio::runtime::Runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::Instant;

use crate::Error;
use crate::control::ControlHandle;
use crate::endpoint_connections::EndpointConnections;
use crate::external::{Dialect, DutyPlatform, Store};
use crate::front::{CallerListener, bind_text_endpoint};
use crate::gateway::{Gateway, GatewayConfig};
use crate::peer_server;
use crate::scheduler::RetryShare;
use crate::signals::BlockedSignals;
use crate::snapshot::FleetSnapshot;
use crate::usage::copies;

/// Time between two checks of the open connections while the process stops.
const DRAIN_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two checks of the settings file and of idle connections.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(2);

/// Source of the settings that can change while the process runs.
pub trait Reload: std::fmt::Debug + Send {
    /// Returns the new retry settings if the settings have changed since the last call and are valid.
    fn changed(&mut self) -> Option<RetryShare>;
}

/// The systems outside the gateway.
#[derive(Debug)]
pub struct Platform {
    /// The key-value store.
    pub store: Arc<dyn Store>,
    /// Formats of callers and runners.
    pub dialect: Arc<dyn Dialect>,
    /// The API for the duties of one node at a time; `None` if there are none.
    pub duty_platform: Option<Arc<dyn DutyPlatform>>,
    /// Source of the settings that can change.
    pub reload: Box<dyn Reload>,
}

/// A process that handles signals and does not serve yet.
#[derive(Debug)]
pub struct Lifecycle {
    runtime: Runtime,
    terminate: Signal,
    hang_up: Signal,
}

impl Lifecycle {
    /// Installs the signal handlers. To be called first, since a SIGHUP terminates a process that does not
    /// handle it.
    pub fn open() -> Result<Self, Error> {
        let blocked_signals = BlockedSignals::open().map_err(Error::Thread)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(Error::Thread)?;
        let context = runtime.enter();
        let terminate = signal(SignalKind::terminate()).map_err(Error::Thread)?;
        let hang_up = signal(SignalKind::hangup()).map_err(Error::Thread)?;
        drop(context);
        drop(blocked_signals);
        Ok(Self {
            runtime,
            terminate,
            hang_up,
        })
    }

    /// Runs a gateway until SIGTERM, then stops it gracefully.
    pub fn run(self, config: GatewayConfig, platform: Platform) -> Result<(), Error> {
        let Self {
            runtime,
            mut terminate,
            hang_up,
        } = self;
        let Platform {
            store,
            dialect,
            duty_platform,
            reload,
        } = platform;
        let result = runtime.block_on(async {
            let (gateway, control, mut listener) = start(config, store, dialect, duty_platform)?;
            tokio::spawn(run_housekeeping(Arc::clone(&gateway), hang_up, reload));
            log::info!(node:% = gateway.config.node, callers:% = gateway.config.caller_listen;
                "gateway started");
            terminate.recv().await;
            stop(&gateway, &control, &mut listener).await;
            Ok(())
        });
        // Dropping the runtime drops the requests that are still open, which log their end.
        drop(runtime);
        crate::logging::flush();
        result
    }
}

/// The parts of a gateway that serves.
type RunningGateway = (Arc<Gateway>, Arc<ControlHandle>, CallerListener);

fn start(
    config: GatewayConfig,
    store: Arc<dyn Store>,
    dialect: Arc<dyn Dialect>,
    duty_platform: Option<Arc<dyn DutyPlatform>>,
) -> Result<RunningGateway, Error> {
    let snapshot = Arc::new(ArcSwap::from_pointee(FleetSnapshot::default()));
    let gateway = Gateway::new(config, dialect, snapshot);
    let control = Arc::new(ControlHandle::spawn_with_duties(
        Arc::clone(&gateway),
        store,
        duty_platform,
    )?);
    let listener = CallerListener::bind(&gateway)?;
    bind_ready(&gateway)?;
    peer_server::bind(&gateway, &control)?;
    bind_metrics(&gateway);
    Ok((gateway, control, listener))
}

/// Limits on the connections of a listener for the probe or the metrics.
fn text_connections(gateway: &Gateway) -> Arc<EndpointConnections> {
    let limits = gateway.config.limits;
    let most = limits.map(|limits| limits.text_connections());
    EndpointConnections::open(most, Arc::clone(&gateway.metrics))
}

fn bind_ready(gateway: &Arc<Gateway>) -> Result<(), Error> {
    let probed = Arc::clone(gateway);
    let connections = text_connections(gateway);
    bind_text_endpoint(gateway.config.ready_listen, connections, move |_request| {
        if probed.is_ready() {
            (StatusCode::OK, String::new())
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, String::new())
        }
    })
}

/// Serves the metrics. A failure is only logged, since a node without metrics can still serve callers.
fn bind_metrics(gateway: &Arc<Gateway>) {
    let Some(address) = gateway.config.metrics_listen else {
        return;
    };
    let scraped = Arc::clone(gateway);
    let connections = text_connections(gateway);
    let bound = bind_text_endpoint(address, connections, move |_request| {
        (StatusCode::OK, scraped.metrics.text())
    });
    if let Err(error) = bound {
        log::warn!(error:%; "metrics are not served");
    }
}

async fn run_housekeeping(gateway: Arc<Gateway>, mut hang_up: Signal, mut reload: Box<dyn Reload>) {
    loop {
        tokio::select! {
            _ = hang_up.recv() => log::info!("SIGHUP received; reading the settings again"),
            () = tokio::time::sleep(HOUSEKEEPING_INTERVAL) => {}
        }
        if let Some(retry) = reload.changed() {
            gateway.scheduler.set_retry(retry);
            log::info!(retry:?; "settings changed");
        }
        let snapshot = gateway.snapshot.load();
        let runners = || snapshot.runners.values().flatten();
        for pool in [&gateway.upstreams, &gateway.own_calls] {
            pool.retain(|address| runners().any(|runner| runner.address == *address));
        }
    }
}

/// Stops the gateway by its [`crate::stop::Stop`] schedule: completes requests in flight, those of other nodes that reach
/// their runners through this one too, and keeps accepting connections until the load balancer has removed the node.
async fn stop(gateway: &Gateway, control: &ControlHandle, listener: &mut CallerListener) {
    let stop = gateway.begin_stop();
    control.leave();
    log_stop(gateway, listener, "told to stop");
    tokio::time::sleep_until(stop.closes).await;
    listener.close().await;
    log_stop(gateway, listener, "closing connections");
    wait_until_closed(gateway, listener, stop.answers_end).await;
    if listener.open_connections() > 0 {
        // If the process was paused, answers may have arrived meanwhile: process them before the cutoff.
        tokio::time::sleep(DRAIN_INTERVAL).await;
    }
    gateway.answer_cutoff.cancel();
    // Even if the scheduled exit has passed, the runtime has to run once more to send the answers.
    let exits = stop.exits.max(Instant::now() + DRAIN_INTERVAL);
    wait_until_closed(gateway, listener, exits).await;
    copies::hand_over(gateway).await;
    log_stop(gateway, listener, "gateway stopped");
}

fn log_stop(gateway: &Gateway, listener: &CallerListener, step: &str) {
    let stopping_ms = gateway.begin_stop().began.elapsed().as_millis() as u64;
    log::info!(in_flight = gateway.in_flight(), open_connections = listener.open_connections(),
        stopping_ms; "{step}");
}

async fn wait_until_closed(gateway: &Gateway, listener: &CallerListener, limit: Instant) {
    let is_in_use = || listener.open_connections() > 0 || gateway.lent_paths.in_use() > 0;
    while is_in_use() && Instant::now() < limit {
        tokio::time::sleep(DRAIN_INTERVAL).await;
    }
}
