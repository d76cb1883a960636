//! Follows the keys of the store that a node needs: configuration, registrations, quarantined parts.
//!
//! The keys under each prefix are listed once. Then the node learns of all changes from one source, which
//! [`tealsaddle_core::fleet::change_sources`] chooses: the store, or another node. Each source says at least every
//! [`confirm_us`](tealsaddle_core::fleet::knowledge::FreshnessTerms::confirm_us) as of when nothing else has changed.
//! When one does not, all others are asked at the same time, and the first that knows better is the next source. After
//! a failure of the store, also if it no longer has the history after a revision, the keys are listed again.

mod reader;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tealsaddle_core::collections::HashMap;
use tealsaddle_core::fleet::change_sources::{Member, Source, SourceTracker, sources};
use tokio::time::Instant;

use self::reader::{Heard, PeerFailure, PeerQuestion, Reader};
use crate::change_log::Position;
use crate::clock::{self, jittered};
use crate::control::Control;
use crate::error::StoreError;
use crate::external::{Changes, Listing};

/// Pause after changes from the store, so that the next answer returns further changes together.
const BATCH_PAUSE: Duration = Duration::from_millis(50);
/// The same in the time after the start, when many nodes and runners may register and few nodes know each other.
const START_BATCH_PAUSE: Duration = Duration::from_millis(700);
/// Length of that time.
const START_TIME: Duration = Duration::from_secs(3);
/// The same before this node serves anyone: at a common start the registered nodes are listed meanwhile, so that most
/// nodes hear of the following changes from others.
const UNREADY_BATCH_PAUSE: Duration = Duration::from_millis(1_800);
/// Longest pause while all sources have failed. A store that recovers may hang for one who does not ask again.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);

/// What a call has returned of the keys under a prefix.
#[derive(Debug)]
pub enum StoreUpdate {
    /// All keys.
    Listing(Listing),
    /// The keys that have changed since the last update.
    Changes(Changes),
}

/// Why a source has failed.
#[derive(Debug)]
enum Failure {
    Store(StoreError),
    Peer(PeerFailure),
}

/// Lists the keys, then learns of their changes. Never returns.
pub async fn follow(control: Arc<Control>) {
    let mut follower = Follower::open(Arc::clone(&control));
    loop {
        tokio::select! {
            () = follower.step() => {}
            () = control.store_recovered.notified() => follower.on_store_recovered(),
        }
    }
}

#[derive(Debug)]
struct Follower {
    control: Arc<Control>,
    reader: Arc<Reader>,
    tracker: SourceTracker,
    /// Whether the keys are to be listed before the store is asked for changes.
    must_list: bool,
    /// What the last answer of each peer was complete as of, on the peer's clock.
    seen_as_of_us: HashMap<SocketAddr, u64>,
    /// Number of times that all sources have failed.
    round: u32,
    started: Instant,
    sources: RankedSources,
}

/// The sources of the node, with what they follow from.
#[derive(Debug)]
struct RankedSources {
    members: Arc<[Member]>,
    round: u32,
    ranked: Vec<Source>,
}

impl Follower {
    fn open(control: Arc<Control>) -> Self {
        Self {
            reader: Arc::new(Reader::open(Arc::clone(&control))),
            control,
            tracker: SourceTracker::default(),
            must_list: true,
            seen_as_of_us: HashMap::default(),
            round: 0,
            started: Instant::now(),
            sources: RankedSources {
                members: Arc::from([]),
                round: 0,
                ranked: vec![Source::Store],
            },
        }
    }

    fn on_store_recovered(&mut self) {
        self.must_list = true;
        self.tracker.forgive(Source::Store);
    }

    /// Asks the source in use and those that may have recovered, or all sources after it has failed.
    async fn step(&mut self) {
        let position = self.control.fleet().changes.position();
        let sources = match position {
            Some(_) => self.sources(),
            // Only the store has all keys.
            None => vec![Source::Store],
        };
        self.tracker.retain(&sources);
        let now_us = clock::now_us();
        let is_store_away = self.control.fleet().store_availability.is_unavailable();
        let chosen = self.tracker.choose(&sources, is_store_away, now_us);
        if chosen.is_empty() {
            let next_us = self.tracker.next_us(&sources).unwrap_or(now_us);
            let pause = Duration::from_micros(next_us.saturating_sub(now_us));
            tokio::time::sleep(jittered(pause.min(MAX_RETRY_PAUSE))).await;
            return;
        }
        let mut asked: FuturesUnordered<_> = chosen
            .into_iter()
            .map(|source| self.ask(source, position))
            .collect();
        while let Some((source, result)) = asked.next().await {
            match result {
                Ok(heard) => {
                    // The other questions are dropped.
                    drop(asked);
                    self.on_answer(source, heard).await;
                    return;
                }
                Err(failure) => self.on_failure(source, &failure).await,
            }
        }
        self.round += 1;
    }

    /// The sources of this node, computed again when the registered nodes or the round have changed.
    fn sources(&mut self) -> Vec<Source> {
        let config = &self.control.gateway.config;
        let Some(own) = config.own_member() else {
            return vec![Source::Store];
        };
        let members = Arc::clone(&self.control.fleet().members);
        let last = &self.sources;
        if Arc::ptr_eq(&last.members, &members) && last.round == self.round {
            return last.ranked.clone();
        }
        let ranked = if members.is_empty() {
            // The registered nodes have not been listed.
            let seeds = config.seeds.iter();
            let seeds = seeds.map(|seed| Member {
                address: *seed,
                zone: Arc::from(""),
            });
            sources(&seeds.collect::<Vec<_>>(), &own, self.round)
        } else {
            sources(&members, &own, self.round)
        };
        self.sources = RankedSources {
            members,
            round: self.round,
            ranked: ranked.clone(),
        };
        ranked
    }

    /// Asks a source for changes. Only the one in use may hold back its answer.
    fn ask(
        &self,
        source: Source,
        position: Option<Position>,
    ) -> impl Future<Output = (Source, Result<Heard, Failure>)> + use<> {
        let is_steady = self.tracker.current() == Some(source);
        let knowledge = &self.control.gateway.knowledge;
        let longest_wait = match source {
            Source::Store => Some(Duration::from_micros(knowledge.terms().confirm_us)),
            Source::Peer(_) => knowledge.patience(),
        };
        let wait = longest_wait.filter(|_| is_steady).unwrap_or_default();
        let seen_as_of_us = match source {
            Source::Peer(peer) if is_steady => self.seen_as_of_us.get(&peer).copied(),
            Source::Peer(_) | Source::Store => None,
        };
        let position_to_watch = position.filter(|_| !self.must_list);
        let reader = Arc::clone(&self.reader);
        async move {
            let result = match (source, position) {
                (Source::Peer(peer), Some(position)) => {
                    let question = PeerQuestion {
                        peer,
                        position,
                        seen_as_of_us: seen_as_of_us.unwrap_or(0),
                        wait,
                    };
                    reader.ask(question).await.map_err(Failure::Peer)
                }
                (Source::Peer(_) | Source::Store, _) => {
                    let read = match position_to_watch {
                        Some(position) => reader.watch(position, wait).await,
                        None => reader.list().await,
                    };
                    read.map_err(Failure::Store)
                }
            };
            (source, result)
        }
    }

    async fn on_answer(&mut self, source: Source, heard: Heard) {
        if self.tracker.current() != Some(source) {
            log::info!(source:?, earlier:? = self.tracker.current(); "changes are heard from another source");
        }
        self.tracker.on_answer(source);
        let name = match source {
            Source::Store => "changes.from_store",
            Source::Peer(_) => "changes.from_peer",
        };
        self.control.gateway.metrics.increment(name);
        match source {
            Source::Store => {
                self.must_list = false;
                self.control.on_store_call(None);
                if heard.has_changes {
                    tokio::time::sleep(self.batch_pause()).await;
                }
            }
            Source::Peer(peer) => {
                self.seen_as_of_us.insert(peer, heard.peer_as_of_us);
            }
        }
    }

    /// Pause after changes from the store.
    fn batch_pause(&self) -> Duration {
        if !self.control.gateway.snapshot.load().is_ready() {
            UNREADY_BATCH_PAUSE
        } else if self.started.elapsed() < START_TIME {
            START_BATCH_PAUSE
        } else {
            BATCH_PAUSE
        }
    }

    async fn on_failure(&mut self, source: Source, failure: &Failure) {
        match failure {
            Failure::Store(StoreError::HistoryGone) => {
                log::warn!("store history is no longer available; listing the keys again");
                self.must_list = true;
                return;
            }
            // After a failure, list again: a watch from an old revision may wait although the store has later changes.
            Failure::Store(error) => {
                self.control.on_store_call(Some(error));
                self.must_list = true;
            }
            Failure::Peer(PeerFailure::Gap) => self.on_gap(source).await,
            Failure::Peer(PeerFailure::NoAnswer | PeerFailure::NothingNew) => {}
        }
        self.tracker.on_failed(source, clock::now_us());
        let knowledge_ms = self.control.gateway.knowledge.age().as_millis() as u64;
        self.control
            .gateway
            .metrics
            .increment("changes.source_failed");
        log::info!(source:?, failure:?, knowledge_ms; "source of changes has failed");
    }

    /// Whether callers are told apart by keys. A withdrawn key has to be refused soon.
    fn has_customers(&self) -> bool {
        let snapshot = self.control.gateway.snapshot.load();
        let config = snapshot.config.as_ref();
        config.is_some_and(|config| config.customers.is_some())
    }

    /// Takes over all keys while the store is away, from the peer if no listing succeeds. Otherwise the other sources are asked,
    /// the store's history among them, which is far shorter than a listing.
    async fn on_gap(&mut self, source: Source) {
        let Source::Peer(peer) = source else {
            return;
        };
        if !self.control.fleet().store_availability.is_unavailable() {
            return;
        }
        // A listing would first take the time of a call that is not answered. Fleets without customers do not send their whole
        // state among the nodes for it.
        self.must_list = self.has_customers() || self.reader.list().await.is_err();
        if self.must_list {
            self.reader.take_over(peer).await;
        }
    }
}
