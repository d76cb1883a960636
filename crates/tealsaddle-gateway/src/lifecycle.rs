//! Start, reload and stop of a gateway.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use hyper::StatusCode;
use tokio::runtime::Runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::Instant;

use crate::Error;
use crate::control::ControlHandle;
use crate::external::{Dialect, Store};
use crate::front::{CallerListener, bind_text_endpoint};
use crate::gateway::{Gateway, GatewayConfig};
use crate::scheduler::RetryShare;
use crate::snapshot::FleetSnapshot;

/// Time between two looks at the requests in flight while the process stops.
const DRAIN_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two looks at the settings file, and at idle connections.
const HOUSEKEEPING: Duration = Duration::from_secs(2);

/// Settings that can change while the process runs.
pub trait Reload: std::fmt::Debug + Send {
    /// The new settings, if they have changed since the last call.
    fn changed(&mut self) -> Option<RetryShare>;
}

/// A process that takes signals and does not serve yet.
#[derive(Debug)]
pub struct Lifecycle {
    runtime: Runtime,
    terminate: Signal,
    hang_up: Signal,
}

impl Lifecycle {
    /// Takes the signals; to be called before anything else, since an early SIGHUP ends a process that
    /// does not handle it.
    pub fn open() -> Result<Self, Error> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(Error::Thread)?;
        let context = runtime.enter();
        let terminate = signal(SignalKind::terminate()).map_err(Error::Thread)?;
        let hang_up = signal(SignalKind::hangup()).map_err(Error::Thread)?;
        drop(context);
        Ok(Self {
            runtime,
            terminate,
            hang_up,
        })
    }

    /// Runs a gateway until it is told to stop.
    pub fn run(
        self,
        config: GatewayConfig,
        store: Arc<dyn Store>,
        dialect: Arc<dyn Dialect>,
        reload: Box<dyn Reload>,
    ) -> Result<(), Error> {
        let Self {
            runtime,
            mut terminate,
            hang_up,
        } = self;
        let result = runtime.block_on(async {
            let (gateway, control, mut listener) = start(config, store, dialect)?;
            tokio::spawn(keep_house(Arc::clone(&gateway), hang_up, reload));
            log::info!(node:% = gateway.config.node, callers:% = gateway.config.caller_listen;
                "gateway started");
            terminate.recv().await;
            stop(&gateway, &control, &mut listener).await;
            Ok(())
        });
        // What is still open ends here and writes its lines.
        drop(runtime);
        crate::logging::flush();
        result
    }
}

/// What runs while the process serves.
type Started = (Arc<Gateway>, Arc<ControlHandle>, CallerListener);

fn start(
    config: GatewayConfig,
    store: Arc<dyn Store>,
    dialect: Arc<dyn Dialect>,
) -> Result<Started, Error> {
    let snapshot = Arc::new(ArcSwap::from_pointee(FleetSnapshot::default()));
    let gateway = Gateway::new(config, dialect, snapshot);
    let control = Arc::new(ControlHandle::spawn(Arc::clone(&gateway), store)?);
    let listener = CallerListener::bind(&gateway)?;
    bind_ready(&gateway)?;
    bind_peers(&gateway, &control)?;
    bind_metrics(&gateway);
    Ok((gateway, control, listener))
}

fn bind_ready(gateway: &Arc<Gateway>) -> Result<(), Error> {
    let of_probe = Arc::clone(gateway);
    bind_text_endpoint(gateway.config.ready_listen, move |_request| {
        if of_probe.is_ready() {
            (StatusCode::OK, String::new())
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, String::new())
        }
    })
}

fn bind_peers(gateway: &Arc<Gateway>, control: &Arc<ControlHandle>) -> Result<(), Error> {
    let Some(address) = gateway.config.peer_listen else {
        return Ok(());
    };
    let control = Arc::clone(control);
    bind_text_endpoint(address, move |request| {
        if request.uri().path() == crate::peers::STATE_PATH {
            (StatusCode::OK, control.peer_state())
        } else {
            (StatusCode::NOT_FOUND, String::new())
        }
    })
}

/// Serves the metrics; a node without them still serves callers.
fn bind_metrics(gateway: &Arc<Gateway>) {
    let Some(address) = gateway.config.metrics_listen else {
        return;
    };
    let of_scrape = Arc::clone(gateway);
    let bound = bind_text_endpoint(address, move |_request| {
        (StatusCode::OK, of_scrape.metrics.text())
    });
    if let Err(error) = bound {
        log::warn!(error:%; "metrics are not served");
    }
}

async fn keep_house(gateway: Arc<Gateway>, mut hang_up: Signal, mut reload: Box<dyn Reload>) {
    loop {
        tokio::select! {
            _ = hang_up.recv() => log::info!("told to read the settings again"),
            () = tokio::time::sleep(HOUSEKEEPING) => {}
        }
        if let Some(retry) = reload.changed() {
            gateway.scheduler.set_retry(retry);
            log::info!(retry:?; "settings changed");
        }
        let snapshot = gateway.snapshot.load();
        let runners = || snapshot.runners.values().flatten();
        gateway
            .upstreams
            .retain(|address| runners().any(|runner| runner.address == *address));
    }
}

/// Completes what is in flight. The node stays reachable until the balancer has noticed.
async fn stop(gateway: &Gateway, control: &ControlHandle, listener: &mut CallerListener) {
    let stop = gateway.stop();
    control.leave();
    log_stop(gateway, listener, "told to stop");
    tokio::time::sleep_until(stop.closes).await;
    listener.close().await;
    log_stop(gateway, listener, "closing connections");
    until_closed(listener, stop.answers_end).await;
    if listener.open_connections() > 0 {
        // Answers may have arrived while the process was held up.
        tokio::time::sleep(DRAIN_INTERVAL).await;
    }
    gateway.answer_cutoff.cancel();
    // However late it is, the answers need a turn of the runtime.
    let exits = stop.exits.max(Instant::now() + DRAIN_INTERVAL);
    until_closed(listener, exits).await;
    log_stop(gateway, listener, "gateway stopped");
}

fn log_stop(gateway: &Gateway, listener: &CallerListener, step: &str) {
    let stopping_ms = gateway.stop().began.elapsed().as_millis() as u64;
    log::info!(in_flight = gateway.in_flight(), open_connections = listener.open_connections(),
        stopping_ms; "{step}");
}

async fn until_closed(listener: &CallerListener, limit: Instant) {
    while listener.open_connections() > 0 && Instant::now() < limit {
        tokio::time::sleep(DRAIN_INTERVAL).await;
    }
}
