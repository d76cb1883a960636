//! The other nodes, known directly or through other nodes.
//!
//! The age of an entry counts from the last direct contact that any node had with the process. An entry
//! that nodes only pass on to each other therefore expires.

use std::net::SocketAddr;

use tealsaddle_core::collections::HashMap;
use tealsaddle_core::member::{Liveness, Members};
use tealsaddle_core::name::Name;
use tealsaddle_schema::peer::PeerInfo;
use tealsaddle_schema::record::ProcessId;

use super::api::PeerStatus;
use crate::traffic::PeerEndpoint;

/// Age after which an entry is removed. Lists are exchanged every 5 s, and information may need two
/// exchanges to reach a node.
const PEER_EXPIRY_US: u64 = 15_000_000;
/// Maximum number of entries; the design size is 360 nodes.
const MAX_PEERS: usize = 2_000;
/// Maximum number of peers that one message lists per zone other than those of sender and receiver.
const MAX_LISTED_PER_OTHER_ZONE: usize = 3;

/// Another node, as this node knows it.
#[derive(Debug, Clone)]
pub struct Peer {
    /// VM and incarnation of the node.
    pub process: ProcessId,
    /// Zone of the node.
    pub zone: Name,
    /// Address for calls from other nodes.
    pub peer_address: SocketAddr,
    /// Address for callers and forwarded requests.
    pub caller_address: SocketAddr,
    /// Whether the node is stopping and takes no new work.
    pub is_leaving: bool,
    /// Whether the node may route to engines of its zone.
    pub is_registered: bool,
    /// Configuration version that the node last reported as in force.
    pub config_version: u64,
    /// Time of the last known contact of any node with the process, by the clock of this node.
    pub last_seen_us: u64,
    /// Whether the last call of this node to the process failed.
    pub is_failing: bool,
}

/// The known nodes, by process.
#[derive(Debug, Default)]
pub struct Peers {
    peers: HashMap<ProcessId, Peer>,
}

/// Parses an entry of a message; `None` if the entry is malformed.
pub fn parse_peer(info: &PeerInfo, now_us: u64) -> Option<Peer> {
    let process = info.process.clone()?;
    if process.vm.is_empty() || process.incarnation.is_empty() || info.zone.is_empty() {
        return None;
    }
    Some(Peer {
        process,
        zone: info.zone.as_str().into(),
        peer_address: info.peer_address.parse().ok()?,
        caller_address: info.caller_address.parse().ok()?,
        is_leaving: info.leaving,
        is_registered: info.registered,
        config_version: info.config_version,
        last_seen_us: now_us.saturating_sub(info.age_ms.saturating_mul(1_000)),
        is_failing: false,
    })
}

impl Peers {
    /// Stores information about a process. Returns whether something changed that the snapshot contains.
    ///
    /// `is_direct` is true if the process itself answered at its address. Other processes stored with that
    /// address have then ended and are removed.
    pub fn update(&mut self, info: Peer, is_direct: bool, now_us: u64) -> bool {
        if now_us.saturating_sub(info.last_seen_us) > PEER_EXPIRY_US {
            return false;
        }
        if is_direct {
            let address = info.peer_address;
            self.peers
                .retain(|process, peer| peer.peer_address != address || *process == info.process);
        }
        let is_full = self.peers.len() >= MAX_PEERS;
        match self.peers.get_mut(&info.process) {
            Some(known) => {
                let before = known.clone();
                // A stopping process never takes new work again.
                let is_leaving = known.is_leaving || info.is_leaving;
                if info.last_seen_us >= known.last_seen_us {
                    let is_failing = known.is_failing && !is_direct;
                    *known = Peer { is_failing, ..info };
                }
                known.is_leaving = is_leaving;
                !known.is_same_in_snapshot(&before)
            }
            None if !is_full => {
                self.peers.insert(info.process.clone(), info);
                true
            }
            None => false,
        }
    }

    /// Marks the processes at an address as failing. Returns whether one was not marked before.
    pub fn on_call_failed(&mut self, address: SocketAddr) -> bool {
        let mut has_changed = false;
        for peer in self.peers.values_mut() {
            if peer.peer_address == address {
                has_changed |= !peer.is_failing;
                peer.is_failing = true;
            }
        }
        has_changed
    }

    /// Removes expired processes and those of removed VMs, and returns them.
    pub fn remove_expired(&mut self, removed_vms: &[Name], now_us: u64) -> Vec<Peer> {
        let is_expired = |peer: &Peer| {
            now_us.saturating_sub(peer.last_seen_us) > PEER_EXPIRY_US
                || removed_vms.iter().any(|vm| **vm == *peer.process.vm)
        };
        let mut removed = Vec::new();
        self.peers.retain(|_, peer| {
            let is_kept = !is_expired(peer);
            if !is_kept {
                removed.push(peer.clone());
            }
            is_kept
        });
        removed
    }

    /// Returns whether a process is known.
    pub fn contains(&self, process: &ProcessId) -> bool {
        self.peers.contains_key(process)
    }

    /// Iterates over all known nodes.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns the entries for a message to a node of `zone`: all peers of that zone and of `own_zone`, and
    /// a few of each other zone.
    pub fn to_messages(&self, zone: &str, own_zone: &str, now_us: u64) -> Vec<PeerInfo> {
        let mut listed = HashMap::<Name, usize>::default();
        self.peers
            .values()
            .filter(|peer| {
                let count = listed.entry(Name::clone(&peer.zone)).or_default();
                *count += 1;
                *peer.zone == *zone
                    || *peer.zone == *own_zone
                    || *count <= MAX_LISTED_PER_OTHER_ZONE
            })
            .map(|peer| peer.to_message(now_us))
            .collect()
    }

    /// Returns the nodes that can take forwarded requests, sorted by address.
    pub fn endpoints(&self, members: &Members) -> Vec<PeerEndpoint> {
        let mut endpoints: Vec<_> = self
            .peers
            .values()
            .filter(|peer| !peer.is_leaving && !peer.is_failing)
            .filter(|peer| members.liveness(&peer.process.vm) == Some(Liveness::Live))
            .map(|peer| PeerEndpoint {
                vm: peer.process.vm.as_str().into(),
                zone: Name::clone(&peer.zone),
                caller_address: peer.caller_address,
                is_registered: peer.is_registered,
            })
            .collect();
        endpoints.sort_unstable_by_key(|endpoint| endpoint.caller_address);
        endpoints
    }

    /// Returns the state of all known nodes for operators, sorted by VM and incarnation.
    pub fn statuses(&self, now_us: u64) -> Vec<PeerStatus> {
        let mut statuses: Vec<_> = self
            .peers
            .values()
            .map(|peer| PeerStatus {
                vm: peer.process.vm.clone(),
                incarnation: peer.process.incarnation.clone(),
                zone: peer.zone.to_string(),
                peer_address: peer.peer_address.to_string(),
                is_leaving: peer.is_leaving,
                is_registered: peer.is_registered,
                config_version: peer.config_version,
                age_ms: now_us.saturating_sub(peer.last_seen_us) / 1_000,
            })
            .collect();
        statuses.sort_unstable_by(|a, b| (&a.vm, &a.incarnation).cmp(&(&b.vm, &b.incarnation)));
        statuses
    }
}

impl Peer {
    /// Whether the snapshot contains the same for two states of a process.
    fn is_same_in_snapshot(&self, other: &Self) -> bool {
        self.zone == other.zone
            && self.caller_address == other.caller_address
            && self.is_registered == other.is_registered
            && self.is_leaving == other.is_leaving
            && self.is_failing == other.is_failing
    }

    fn to_message(&self, now_us: u64) -> PeerInfo {
        PeerInfo {
            process: Some(self.process.clone()),
            zone: self.zone.to_string(),
            peer_address: self.peer_address.to_string(),
            caller_address: self.caller_address.to_string(),
            leaving: self.is_leaving,
            registered: self.is_registered,
            age_ms: now_us.saturating_sub(self.last_seen_us) / 1_000,
            config_version: self.config_version,
        }
    }
}
