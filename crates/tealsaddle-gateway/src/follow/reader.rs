//! Reads the keys that a node follows, from the store or a peer, and applies them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tealsaddle_core::fleet::knowledge::as_of_answer_us;
use tealsaddle_core::fleet::store_words::StoreWord;

use super::StoreUpdate;
use crate::change_log::Position;
use crate::changes;
use crate::clock;
use crate::control::{Control, with_timeout};
use crate::error::StoreError;
use crate::external::{Change, Changes, Freshness};
use crate::peers;
use crate::quarantine::records::QUARANTINE_PREFIX;
use crate::upstream::Upstreams;

/// Prefix of all keys.
const ALL_KEYS: &str = "";

/// A prefix whose keys are followed.
#[derive(Debug, Clone, Copy)]
struct Followed {
    prefix: &'static str,
    apply: fn(&Arc<Control>, StoreUpdate),
}

/// What an answer has told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heard {
    /// Whether there were changes.
    pub has_changes: bool,
    /// What the answer of a peer was complete as of, on the peer's clock; 0 for the store.
    pub peer_as_of_us: u64,
}

/// Why a peer's answer is of no use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerFailure {
    /// The peer has not answered in time.
    NoAnswer,
    /// The peer knows nothing newer than this node, or its knowledge is old.
    NothingNew,
    /// The peer lacks changes that this node has to hear of.
    Gap,
}

/// A question to a peer.
#[derive(Debug, Clone, Copy)]
pub struct PeerQuestion {
    /// The peer.
    pub peer: SocketAddr,
    /// How far this node knows the keys.
    pub position: Position,
    /// What the peer's last answer was complete as of; 0 for an answer at once.
    pub seen_as_of_us: u64,
    /// Longest time for which the answer is held back.
    pub wait: Duration,
}

/// Reads the followed keys.
#[derive(Debug)]
pub struct Reader {
    control: Arc<Control>,
    followed: [Followed; 3],
    /// Connections to peers.
    upstreams: Arc<Upstreams>,
}

impl Reader {
    /// Creates a reader that applies what it reads.
    pub fn open(control: Arc<Control>) -> Self {
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
        Self {
            control,
            followed,
            upstreams: Upstreams::open(),
        }
    }

    /// Time beyond its wait that a source has to answer.
    fn late_limit(&self) -> Duration {
        let terms = self.control.gateway.knowledge.terms();
        Duration::from_micros(terms.source_timeout_us - terms.confirm_us)
    }

    /// Lists the keys under all prefixes and applies each listing as it arrives, also if others fail.
    pub async fn list(&self) -> Result<Heard, StoreError> {
        let control = &self.control;
        let list = |followed: Followed| async move {
            let listed = control.store.list(followed.prefix, Freshness::Latest);
            (followed, listed.await)
        };
        let asked_us = clock::now_us();
        let mut lists: FuturesUnordered<_> = self.followed.iter().copied().map(list).collect();
        let mut listed: Vec<Position> = Vec::new();
        let mut failure = None;
        while let Some((followed, result)) = lists.next().await {
            match result {
                Ok(listing) => {
                    self.control.on_store_word(asked_us);
                    listed.push(Position {
                        revision: listing.revision,
                        era: listing.era,
                    });
                    (followed.apply)(control, StoreUpdate::Listing(listing));
                }
                Err(error) => failure = Some(error),
            }
        }
        if let Some(error) = failure {
            return Err(error);
        }
        // Changes that a later listing already has are applied again, which has no effect.
        let first = listed.into_iter().min_by_key(|p| (p.era, p.revision));
        if let Some(position) = first {
            control.fleet().changes.restart(position);
        }
        self.confirm(asked_us, false);
        Ok(Heard {
            has_changes: false,
            peer_as_of_us: 0,
        })
    }

    /// Waits for changes of any key in the store, and applies those that are followed.
    pub async fn watch(&self, position: Position, wait: Duration) -> Result<Heard, StoreError> {
        let asked_us = clock::now_us();
        let store = &self.control.store;
        let watched = store.watch(ALL_KEYS, position.revision, wait);
        let limit = wait + self.late_limit();
        let Changes {
            changes,
            revision,
            era,
        } = with_timeout(limit, watched).await?;
        let has_changes = !changes.is_empty();
        let is_same_era = era.is_none() || position.era.is_none() || era == position.era;
        // A revision that grows without changes means that some are missing.
        if !is_same_era || (!has_changes && revision > position.revision) {
            return Err(StoreError::HistoryGone);
        }
        let terms = self.control.gateway.knowledge.terms();
        let heard_us = clock::now_us();
        let is_overdue = heard_us.saturating_sub(asked_us) > limit.as_micros() as u64;
        let as_of_us = if has_changes && is_overdue {
            // The answer was there in time and was read after a pause of the process: it may be of any time since.
            asked_us
        } else if has_changes {
            terms.as_of_changes_us(asked_us, heard_us)
        } else {
            asked_us + wait.as_micros() as u64
        };
        if !self.is_of_present_era(position) {
            return Err(StoreError::OtherEra);
        }
        self.control.on_store_word(as_of_us);
        self.apply(changes, revision);
        self.confirm(as_of_us, has_changes);
        Ok(Heard {
            has_changes,
            peer_as_of_us: 0,
        })
    }

    /// Whether the keys are known in the era of this position. They may have been listed in a later one since a question was
    /// asked; revisions of the answer then mean nothing any more.
    fn is_of_present_era(&self, position: Position) -> bool {
        let known = self.control.fleet().changes.position();
        known.is_some_and(|known| known.era == position.era)
    }

    /// Asks a peer for changes, and applies them.
    pub async fn ask(&self, question: PeerQuestion) -> Result<Heard, PeerFailure> {
        let PeerQuestion {
            peer,
            position,
            seen_as_of_us,
            wait,
        } = question;
        let message = changes::question(position, seen_as_of_us, wait);
        let asked_us = clock::now_us();
        let limit = wait + self.late_limit();
        let reply = changes::ask(&self.upstreams, peer, &message, limit).await;
        let reply = reply.ok_or(PeerFailure::NoAnswer)?;
        if reply.is_gap {
            return Err(PeerFailure::Gap);
        }
        if !self.is_of_present_era(position) {
            return Err(PeerFailure::NothingNew);
        }
        let has_changes = !reply.changes.is_empty();
        if reply.has_more {
            // The answer says nothing of the age of what is known.
            self.apply(changes::decode(reply.changes), reply.revision);
            return Ok(Heard {
                has_changes,
                peer_as_of_us: 0,
            });
        }
        let as_of_us = as_of_answer_us(asked_us, reply.held_us, reply.age_us);
        self.control.fleet().store_words.on_word(StoreWord {
            from_us: as_of_us,
            to_us: clock::now_us().saturating_sub(reply.age_us),
        });
        self.apply(changes::decode(reply.changes), reply.revision);
        self.confirm(as_of_us, has_changes);
        let is_overdue = self.control.gateway.knowledge.patience().is_none();
        if is_overdue || (reply.as_of_us == seen_as_of_us && !has_changes) {
            return Err(PeerFailure::NothingNew);
        }
        Ok(Heard {
            has_changes,
            peer_as_of_us: reply.as_of_us,
        })
    }

    /// Takes over all keys that a peer knows, if they are newer than those of this node.
    pub async fn take_over(&self, peer: SocketAddr) {
        peers::fetch_missing(&self.control, &self.upstreams, peer).await;
    }

    /// Applies changes, and keeps those that are followed for peers.
    fn apply(&self, changes: Vec<Change>, revision: u64) {
        let mut kept = changes;
        let is_followed = |change: &Change| {
            let mut followed = self.followed.iter();
            followed.any(|followed| change.key().starts_with(followed.prefix))
        };
        kept.retain(is_followed);
        for followed in &self.followed {
            let of_prefix = kept.iter();
            let of_prefix = of_prefix.filter(|change| change.key().starts_with(followed.prefix));
            let changes: Vec<Change> = of_prefix.cloned().collect();
            if !changes.is_empty() {
                let changes = Changes {
                    changes,
                    revision,
                    era: None,
                };
                (followed.apply)(&self.control, StoreUpdate::Changes(changes));
            }
        }
        self.control.fleet().changes.extend(kept, revision);
    }

    /// Confirms the knowledge, logs for how long it was not confirmed if there were changes, and tells those who wait.
    fn confirm(&self, as_of_us: u64, has_changes: bool) {
        let knowledge = &self.control.gateway.knowledge;
        if has_changes {
            let position = self.control.fleet().changes.position();
            log::info!(revision = position.map_or(0, |p| p.revision),
                unconfirmed_ms = knowledge.age().as_millis() as u64; "changes read");
        }
        knowledge.confirm(as_of_us);
        self.control.heard.send_replace(());
    }
}
