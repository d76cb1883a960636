//! Connections to runners, through another node where this one does not reach them.
//!
//! [`tealsaddle_core::fleet::paths`] decides; this module connects. A connect of the node's own that fails or hangs is
//! tried through other nodes within the same attempt, so that a request fails only if none of them reaches the runner.

mod client;
pub mod lender;

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use arc_swap::ArcSwap;
use futures::future::{Either, select};
use rand::seq::IndexedRandom;
use tealsaddle_core::fleet::paths::{LenderAnswer, Paths, Way};
use tealsaddle_core::name::Name;
use tokio::net::TcpStream;

use crate::clock;
use crate::connector::{Connect, connect_in_time};
use crate::metrics::Metrics;
use crate::snapshot::FleetSnapshot;

/// Time after which a connect that hangs is tried through another node as well.
const DIRECT_PATIENCE: Duration = Duration::from_millis(100);
/// Time for asking other nodes.
pub const SEARCH_TIMEOUT: Duration = Duration::from_millis(400);

/// The ways of this node to the runners.
#[derive(Debug)]
pub struct RunnerPaths {
    connector: Arc<dyn Connect>,
    snapshot: Arc<ArcSwap<FleetSnapshot>>,
    metrics: Arc<Metrics>,
    zone: Name,
    /// Address on which this node serves its peers, by which they know it.
    own: Option<SocketAddr>,
    paths: Mutex<Paths>,
    searches: AtomicU64,
}

/// An open connection to a runner.
#[derive(Debug)]
pub struct OpenedPath {
    /// The connection, to the runner or to the node that lends its path.
    pub stream: TcpStream,
    /// Set if the path is borrowed.
    pub borrowed: Option<BorrowedPath>,
    /// Whether the node's own connect hangs, so that its open connections hang as well.
    pub is_own_hanging: bool,
}

/// A path that is borrowed from another node until this is dropped.
#[derive(Debug)]
pub struct BorrowedPath {
    paths: Arc<RunnerPaths>,
    lender: SocketAddr,
}

impl Drop for BorrowedPath {
    fn drop(&mut self) {
        self.paths.paths().on_returned(self.lender);
    }
}

impl RunnerPaths {
    /// Creates the ways of a node that has not connected to any runner yet.
    pub fn open(
        connector: Arc<dyn Connect>,
        snapshot: Arc<ArcSwap<FleetSnapshot>>,
        metrics: Arc<Metrics>,
        zone: Name,
        own: Option<SocketAddr>,
    ) -> Arc<Self> {
        Arc::new(Self {
            connector,
            snapshot,
            metrics,
            zone,
            own,
            paths: Mutex::default(),
            searches: AtomicU64::new(0),
        })
    }

    fn paths(&self) -> MutexGuard<'_, Paths> {
        self.paths.lock().expect("no holder of the lock panics")
    }

    /// Whether a connect that has failed shows that nothing listens at the runner's address: other nodes do not reach it
    /// either, or there is none to ask.
    pub fn is_down(&self, runner: SocketAddr) -> bool {
        self.snapshot.load().members.is_empty() || self.paths().is_down(runner, clock::now_us())
    }

    /// Connects to a runner; `None` if it is not reached on any way.
    pub async fn connect(self: &Arc<Self>, runner: SocketAddr) -> Option<OpenedPath> {
        let way = self.paths().way(runner, clock::now_us());
        match way {
            Way::Direct => self.connect_first(runner).await,
            Way::Borrowed => {
                self.try_own_way(runner);
                match self.borrow_path(runner).await {
                    Some(path) => Some(path),
                    None => self.connect_directly(runner).await.map(own_path),
                }
            }
        }
    }

    /// Connects directly, and through other nodes if that fails or hangs.
    async fn connect_first(self: &Arc<Self>, runner: SocketAddr) -> Option<OpenedPath> {
        let mut direct = pin!(self.connect_directly(runner));
        match tokio::time::timeout(DIRECT_PATIENCE, &mut direct).await {
            Ok(Some(stream)) => return Some(own_path(stream)),
            Ok(None) => return self.borrow_path(runner).await,
            Err(_elapsed) => {}
        }
        match select(direct, pin!(self.borrow_path(runner))).await {
            Either::Left((Some(stream), _search)) => Some(own_path(stream)),
            Either::Left((None, search)) => search.await,
            Either::Right((Some(path), _direct)) => {
                self.paths().on_failed(runner, clock::now_us());
                Some(OpenedPath {
                    is_own_hanging: true,
                    ..path
                })
            }
            Either::Right((None, direct)) => direct.await.map(own_path),
        }
    }

    async fn connect_directly(&self, runner: SocketAddr) -> Option<TcpStream> {
        let Some(stream) = connect_in_time(&*self.connector, runner).await else {
            self.paths().on_failed(runner, clock::now_us());
            return None;
        };
        if self.paths().on_connected(runner, clock::now_us()) {
            self.metrics.increment("paths.direct_again");
            log::info!(runner:%; "runner is reached directly again");
        }
        Some(stream)
    }

    /// Whether this node reaches another runner of the same service by itself now, and so can tell that this one is down. An
    /// earlier connect shows nothing: the node may have been cut off since.
    async fn reaches_others(&self, runner: SocketAddr) -> bool {
        let snapshot = self.snapshot.load_full();
        let mut services = snapshot.runners.values();
        let service = services.find(|runners| runners.iter().any(|r| r.address == runner));
        let addresses = service.into_iter().flatten().map(|r| r.address);
        let others: Vec<SocketAddr> = addresses.filter(|other| *other != runner).collect();
        let Some(other) = others.choose(&mut rand::rng()) else {
            return true;
        };
        self.connect_directly(*other).await.is_some()
    }

    /// Tries the node's own way now and then while the path is borrowed, beside a request.
    fn try_own_way(self: &Arc<Self>, runner: SocketAddr) {
        if self.paths().begin_trial(runner, clock::now_us()) {
            let paths = Arc::clone(self);
            tokio::spawn(async move { drop(paths.connect_directly(runner).await) });
        }
    }

    /// Asks other nodes for their path to a runner, within [`SEARCH_TIMEOUT`].
    async fn borrow_path(self: &Arc<Self>, runner: SocketAddr) -> Option<OpenedPath> {
        let search = tokio::time::timeout(SEARCH_TIMEOUT, self.search(runner));
        search.await.ok().flatten()
    }

    /// Asks other nodes for their path to a runner, one after the other.
    async fn search(self: &Arc<Self>, runner: SocketAddr) -> Option<OpenedPath> {
        let members = Arc::clone(&self.snapshot.load().members);
        let mut search = {
            let now_us = clock::now_us();
            let mut paths = self.paths();
            paths.forget_old(now_us);
            if members.is_empty() || paths.is_down(runner, now_us) {
                return None;
            }
            let number = self.searches.fetch_add(1, Ordering::Relaxed);
            paths.search(&members, &self.zone, number, now_us)
        };
        while let Some(lender) = search.next() {
            let asked = client::ask(lender.address, runner, self.own).await;
            let answer = asked
                .as_ref()
                .map_or_else(|answer| *answer, |_| LenderAnswer::Connected);
            let now_us = clock::now_us();
            let is_new =
                self.paths()
                    .on_lender_answer(&mut search, runner, &lender, answer, now_us);
            if is_new {
                log::warn!(runner:%, lender:% = lender.address; "runner is reached through another node only");
            }
            if let Ok(stream) = asked {
                self.metrics.increment("paths.borrowed");
                return Some(OpenedPath {
                    stream,
                    borrowed: Some(BorrowedPath {
                        paths: Arc::clone(self),
                        lender: lender.address,
                    }),
                    is_own_hanging: false,
                });
            }
        }
        self.paths().on_not_found(&search, runner, clock::now_us());
        self.metrics.increment("paths.not_found");
        None
    }
}

const fn own_path(stream: TcpStream) -> OpenedPath {
    OpenedPath {
        stream,
        borrowed: None,
        is_own_hanging: false,
    }
}
