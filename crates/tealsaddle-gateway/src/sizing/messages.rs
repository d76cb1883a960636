//! Messages in which the holder of the duties asks nodes for their demand.
//!
//! The holder asks, so that nodes need not know it and nothing is sent where no service has a scaling.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use tealsaddle_core::fleet::sizing::demand::NodeLoad;
use tealsaddle_core::name::Name;

use crate::gateway::Gateway;
use crate::peer_message::{self, Connection};
use crate::upstream::Upstreams;

/// Path of the question for the demand of a node.
pub const LOADS_PATH: &str = "/loads";
/// Time for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// Question for the demand of a node.
#[derive(Debug, Serialize, Deserialize)]
struct LoadQuestion {
    services: Vec<Name>,
}

/// Answer to a [`LoadQuestion`]: loads by service.
#[derive(Debug, Serialize, Deserialize)]
struct LoadAnswer {
    loads: BTreeMap<Name, NodeLoad>,
}

/// What this node reports for each of the services.
pub fn own_loads(gateway: &Gateway, services: &[Name]) -> BTreeMap<Name, NodeLoad> {
    let snapshot = gateway.snapshot.load();
    let load = |service: &Name| {
        let config = snapshot.config.as_ref();
        let configured = config.and_then(|config| config.services.get(service));
        let engine = configured.and_then(|service| service.engine.as_ref());
        let runners = snapshot.runners_of(service);
        let load = gateway.scheduler.node_load(service, runners, engine);
        (Name::clone(service), load)
    };
    services.iter().map(load).collect()
}

/// Asks a node for its demand; `None` without an answer.
pub async fn ask(
    upstreams: &Arc<Upstreams>,
    node: SocketAddr,
    services: &[Name],
) -> Option<BTreeMap<Name, NodeLoad>> {
    let question = LoadQuestion {
        services: services.to_vec(),
    };
    let answer = peer_message::send::<_, LoadAnswer>(
        upstreams,
        node,
        LOADS_PATH,
        &question,
        ANSWER_TIMEOUT,
        Connection::Keep,
    );
    answer.await.ok().map(|answer| answer.loads)
}

/// Answers a question of the holder.
pub fn answer(gateway: &Gateway, body: &[u8]) -> (StatusCode, String) {
    let question = peer_message::parse::<LoadQuestion>(body);
    let answered = question.map(|question| {
        let loads = own_loads(gateway, &question.services);
        peer_message::text_of(&LoadAnswer { loads })
    });
    peer_message::respond(LOADS_PATH, answered)
}
