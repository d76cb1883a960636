//! What nodes tell each other when the store does not answer.
//!
//! A node that starts without the store cannot know configuration or runners. It asks the peers that its
//! settings name, and a peer answers with the entries as it got them from the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::header::HeaderMap;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::clock::jittered;
use crate::control::Control;
use crate::external::{Item, Listing, RunnerCall};
use crate::fleet_state::FleetState;
use crate::upstream::{Reuse, Upstreams};

/// Path at which a node tells what it knows.
pub const STATE_PATH: &str = "/state";
/// Time that the store gets before peers are asked.
const STORE_TIME: Duration = Duration::from_millis(700);
/// Pause between rounds of questions.
const ROUND_PAUSE: Duration = Duration::from_millis(700);
/// Time for a peer to answer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// What a node knows, as the store gave it.
#[derive(Debug, Default, Serialize, Deserialize)]
struct PeerState {
    config: Option<String>,
    runners: Option<Vec<PeerItem>>,
    revision: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct PeerItem {
    key: String,
    value: String,
    revision: u64,
}

/// What this node tells a peer.
pub fn encode(fleet: &FleetState) -> String {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let listing = fleet.listing();
    let state = PeerState {
        config: fleet.config_value().map(text),
        revision: listing.as_ref().map_or(0, |listing| listing.revision),
        runners: listing.map(|listing| {
            let items = listing.items.into_iter().map(|item| PeerItem {
                value: text(&item.value),
                key: item.key,
                revision: item.revision,
            });
            items.collect()
        }),
    };
    serde_json::to_string(&state).expect("strings and numbers have a JSON form")
}

/// Peers asked together. Each answers with the whole fleet, and after a common start all nodes ask the
/// same few.
const PEERS_AT_ONCE: usize = 2;

/// Asks the peers of the settings until configuration and runners are known.
pub async fn ask_until_ready(control: Arc<Control>) {
    let upstreams = Upstreams::open();
    tokio::time::sleep(STORE_TIME).await;
    let own = control.gateway.config.peer_listen;
    let mut seeds = control.gateway.config.seeds.clone();
    seeds.retain(|seed| Some(*seed) != own);
    while !control.fleet().is_ready() {
        seeds.shuffle(&mut rand::rng());
        for some in seeds.chunks(PEERS_AT_ONCE) {
            if control.fleet().is_ready() {
                break;
            }
            let answers = some.iter().map(|seed| ask(&upstreams, *seed));
            let answers = futures::future::join_all(answers).await;
            for state in answers.into_iter().flatten() {
                take(&control, state);
            }
        }
        tokio::time::sleep(jittered(ROUND_PAUSE)).await;
    }
}

async fn ask(upstreams: &Arc<Upstreams>, seed: SocketAddr) -> Option<PeerState> {
    let call = RunnerCall {
        method: Method::GET,
        path: STATE_PATH.to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    let answer = tokio::time::timeout(PEER_TIMEOUT, upstreams.call(seed, call, Reuse::Any));
    let (status, body) = answer.await.ok()?.ok()?;
    if !status.is_success() {
        return None;
    }
    serde_json::from_slice(&body)
        .inspect_err(|error| log::warn!(seed:%, error:%; "a peer's answer cannot be read"))
        .ok()
}

fn take(control: &Arc<Control>, state: PeerState) {
    if let Some(config) = &state.config {
        control.apply_config(config.as_bytes());
    }
    if let Some(runners) = state.runners {
        let listing = Listing {
            items: runners
                .into_iter()
                .map(|item| Item {
                    key: item.key,
                    value: item.value.into_bytes(),
                    revision: item.revision,
                })
                .collect(),
            revision: state.revision,
        };
        let dialect = &*control.gateway.dialect;
        let prefix = dialect.layout().runner_prefix;
        let mut fleet = control.fleet();
        if !fleet.is_ready() {
            log::info!(runners = listing.items.len(), revision = listing.revision;
                "runners taken from a peer");
            fleet.on_listing(dialect, prefix, listing, clock::now_us());
        }
    }
    control.publish();
}
