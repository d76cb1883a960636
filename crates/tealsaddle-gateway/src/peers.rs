//! Fetching the fleet from peers when the store does not answer.
//!
//! A node that starts while the store is unavailable knows neither configuration nor runners. It fetches
//! them from the peers in its settings; a peer answers with the entries as they are in the store.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::header::HeaderMap;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use tealsaddle_core::fleet::change_sources::Member;
use tealsaddle_core::fleet::store_words::REREGISTRATION_WINDOW_US;
use tealsaddle_schema::fleet::QuarantineRecord;

use crate::change_log::Position;
use crate::clock::{self, jittered};
use crate::control::Control;
use crate::error::json_problem;
use crate::external::{Item, Listing, OutgoingCall};
use crate::fleet_state::FleetState;
use crate::membership::distinct_members;
use crate::quarantine::messages;
use crate::upstream::{Reuse, Upstreams};

/// Path at which a node serves its state to peers.
pub const STATE_PATH: &str = "/state";
/// Time that the store has to answer before peers are asked.
const STORE_HEAD_START: Duration = Duration::from_millis(700);
/// Pause before all peers are asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(700);
/// Time for one peer to answer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// State of a node: entries as they are in the store. Sent between peers as JSON. The configuration contains the keys
/// of customers.
#[derive(Default, Serialize, Deserialize)]
struct PeerState {
    config: Option<String>,
    runners: Option<Vec<PeerItem>>,
    revision: u64,
    /// Era of the store, if it tells.
    #[serde(default)]
    era: Option<u64>,
    /// Revision of this era up to which all changes are known; 0 if it is not known, as in an earlier release.
    #[serde(default)]
    complete_revision: u64,
    /// Quarantined parts; a node of an earlier release knows none.
    #[serde(default)]
    quarantined: Vec<QuarantineRecord>,
    /// Nodes that serve peers, the answering one included; a node of an earlier release does not tell.
    #[serde(default)]
    members: Vec<PeerMember>,
}

#[derive(Debug, Serialize, Deserialize)]
struct PeerMember {
    address: SocketAddr,
    zone: String,
}

#[derive(Debug, Serialize, Deserialize)]
struct PeerItem {
    key: String,
    value: String,
    revision: u64,
    /// Time until the runner is dropped, if its registration has lapsed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    expires_in_ms: Option<u64>,
}

impl PeerItem {
    fn into_item(self) -> Item {
        Item {
            key: self.key,
            value: self.value.into_bytes(),
            revision: self.revision,
        }
    }
}

/// Encodes a node's state for a peer.
pub fn encode(fleet: &FleetState, own: Option<Member>, now_us: u64) -> String {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let listing = fleet.listing();
    let quarantined = fleet.quarantine().entries();
    let quarantined = quarantined.map(|entry| messages::encode_record(&entry.record_at(now_us)));
    // While this node lists the keys after a return of the store, the registrations may be of a later era than the changes.
    let era = listing.as_ref().and_then(|listing| listing.era);
    let position = fleet.changes.position();
    let position = position.filter(|position| position.era == era);
    let members = fleet.members.iter().cloned().chain(own);
    let members = members.map(|member| PeerMember {
        address: member.address,
        zone: member.zone.to_string(),
    });
    let state = PeerState {
        quarantined: quarantined.collect(),
        members: members.collect(),
        config: fleet.config_value().map(text),
        revision: listing.as_ref().map_or(0, |listing| listing.revision),
        era,
        complete_revision: position.map_or(0, |position| position.revision),
        runners: listing.map(|listing| {
            let items = listing.items.into_iter().map(|item| PeerItem {
                value: text(&item.value),
                revision: item.revision,
                expires_in_ms: fleet
                    .expires_us(&item.key)
                    .map(|expires_us| expires_us.saturating_sub(now_us) / 1_000),
                key: item.key,
            });
            items.collect()
        }),
    };
    serde_json::to_string(&state).expect("strings and numbers have a JSON form")
}

/// Number of peers that are asked at the same time. Each answers with the whole fleet, and after a common
/// start all nodes ask the same few peers.
const PEERS_AT_ONCE: usize = 2;

/// Asks the peers in the settings until configuration, runners and nodes are known.
pub async fn fetch_until_ready(control: Arc<Control>) {
    let upstreams = Upstreams::open();
    tokio::time::sleep(STORE_HEAD_START).await;
    let own = control.gateway.config.peer_listen;
    let mut seeds = control.gateway.config.seeds.clone();
    seeds.retain(|seed| Some(*seed) != own);
    while !is_informed(&control) {
        seeds.shuffle(&mut rand::rng());
        for batch in seeds.chunks(PEERS_AT_ONCE) {
            if is_informed(&control) {
                break;
            }
            let answers = batch.iter().map(|seed| fetch(&upstreams, *seed));
            let answers = futures::future::join_all(answers).await;
            apply_newest(&control, answers.into_iter().flatten().collect());
        }
        tokio::time::sleep(jittered(RETRY_PAUSE)).await;
    }
}

/// Whether the node can serve, can hear of changes from other nodes, and knows the nodes that have to know of what it serves.
fn is_informed(control: &Control) -> bool {
    let fleet = control.fleet();
    let knows_nodes = fleet.nodes > 0 || !fleet.members.is_empty();
    fleet.is_ready() && fleet.changes.position().is_some() && knows_nodes
}

/// Takes over the fleet from the peers that have answered. One that is cut off may hold an old configuration, so the
/// newest state comes first, and the configurations of the others count if they are newer still.
fn apply_newest(control: &Arc<Control>, mut states: Vec<PeerState>) {
    states.sort_by_key(|state| Reverse((state.era, state.complete_revision.max(state.revision))));
    take_members(control, &states);
    for state in states {
        let (is_ready, is_following) = {
            let fleet = control.fleet();
            (fleet.is_ready(), fleet.changes.position().is_some())
        };
        // Registrations that have lapsed would begin to count as just lapsed, if a state were applied without need.
        if !is_ready || (!is_following && state.complete_revision > 0) {
            apply(control, state);
        } else if apply_config(control, &state) {
            control.publish();
        }
    }
}

/// Takes over the nodes that any of the peers knows, unless the store has listed them.
fn take_members(control: &Control, states: &[PeerState]) {
    let told = states.iter().flat_map(|state| &state.members);
    let told = told.map(|member| Member {
        address: member.address,
        zone: member.zone.as_str().into(),
    });
    let members = distinct_members(told, control.gateway.config.peer_listen);
    let mut fleet = control.fleet();
    if fleet.nodes > 0 || members.is_empty() {
        return;
    }
    log::info!(nodes = members.len(); "nodes taken from peers");
    fleet.set_members(members);
    drop(fleet);
    control.publish();
}

/// Applies the configuration that a peer holds; returns whether it is newer than that of this node.
fn apply_config(control: &Control, state: &PeerState) -> bool {
    let config = state.config.as_ref();
    config.is_some_and(|config| control.apply_config(config.as_bytes()))
}

async fn fetch(upstreams: &Arc<Upstreams>, seed: SocketAddr) -> Option<PeerState> {
    let call = OutgoingCall {
        method: Method::GET,
        path: STATE_PATH.to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    let answer = tokio::time::timeout(PEER_TIMEOUT, upstreams.call(seed, call, Reuse::Any));
    let answer = answer.await.ok()?.ok()?;
    if !answer.status.is_success() {
        return None;
    }
    serde_json::from_slice(&answer.body)
        .inspect_err(|error| {
            let problem = json_problem(error);
            log::warn!(seed:%, problem:%; "peer answer cannot be parsed");
        })
        .ok()
}

/// Takes over the fleet from a peer that lacks the changes since what this node knows, if it is ahead of this node.
pub async fn fetch_missing(control: &Arc<Control>, upstreams: &Arc<Upstreams>, peer: SocketAddr) {
    let Some(state) = fetch(upstreams, peer).await else {
        return;
    };
    let known = control.fleet().changes.position();
    let theirs = Position {
        revision: state.complete_revision,
        era: state.era,
    };
    let is_newer = known.is_none_or(|own| (own.era, own.revision) < (theirs.era, theirs.revision));
    if is_newer && theirs.revision > 0 {
        apply(control, state);
    }
}

fn apply(control: &Arc<Control>, state: PeerState) {
    control.take_quarantine(&state.quarantined);
    apply_config(control, &state);
    if let Some(runners) = state.runners {
        let now_us = clock::now_us();
        let lapsed = lapsed_registrations(&runners, now_us);
        let listing = Listing {
            items: runners.into_iter().map(PeerItem::into_item).collect(),
            revision: state.revision,
            era: state.era,
        };
        let dialect = &*control.gateway.dialect;
        let prefix = dialect.layout().runner_prefix;
        let mut fleet = control.fleet();
        log::info!(runners = listing.items.len(), revision = listing.revision;
            "runners taken from a peer");
        fleet.on_listing(dialect, prefix, listing, now_us);
        for (key, expires_us) in lapsed {
            fleet.on_lapsed(&key, expires_us);
        }
        if state.complete_revision > 0 {
            fleet.changes.restart(Position {
                revision: state.complete_revision,
                era: state.era,
            });
        }
        drop(fleet);
        control.judge_lapsed();
    }
    control.publish();
}

/// Keys of the registrations that have lapsed, and until when they are kept.
fn lapsed_registrations(runners: &[PeerItem], now_us: u64) -> Vec<(String, u64)> {
    let lapsed = runners.iter().filter_map(|item| {
        let left_us = item.expires_in_ms?.saturating_mul(1_000);
        let expires_us = now_us + left_us.min(REREGISTRATION_WINDOW_US);
        Some((item.key.clone(), expires_us))
    });
    lapsed.collect()
}
