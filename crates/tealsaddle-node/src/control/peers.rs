//! The other nodes, as this one has heard of them directly or through others.
//!
//! An entry ages from the last time that anyone heard of the process itself, so news that travel in
//! circles do not keep a dead process listed.

use std::net::SocketAddr;

use tealsaddle_core::collections::HashMap;
use tealsaddle_core::member::{Liveness, Members};
use tealsaddle_core::name::Name;
use tealsaddle_schema::peer::PeerInfo;
use tealsaddle_schema::record::ProcessId;

use super::api::PeerStatus;
use crate::traffic::PeerEndpoint;

/// Age after which a process that nobody hears of is dropped. Lists are exchanged every 5 s, and news
/// may take two exchanges.
const PEER_EXPIRY_US: u64 = 15_000_000;
/// Peers kept at most; the design size is 360 nodes.
const MAX_PEERS: usize = 2_000;
/// Peers of a third zone that one list names.
const MAX_LISTED_PER_OTHER_ZONE: usize = 3;

/// A node.
#[expect(clippy::struct_field_names, reason = "there are two kinds of address")]
#[derive(Debug, Clone)]
pub struct Peer {
    /// The process.
    pub process: ProcessId,
    /// Zone of the node.
    pub zone: Name,
    /// Peer address.
    pub peer_address: SocketAddr,
    /// Caller address.
    pub caller_address: SocketAddr,
    /// Whether it is stopping.
    pub is_leaving: bool,
    /// Whether it may route in its zone.
    pub is_registered: bool,
    /// Configuration version in force there.
    pub config_version: u64,
    /// When it was last heard of.
    pub last_seen_us: u64,
    /// Whether the last call to it failed.
    pub is_failing: bool,
}

/// The nodes that are known.
#[derive(Debug, Default)]
pub struct Peers {
    peers: HashMap<ProcessId, Peer>,
}

/// Reads an entry of a message; `None` if it is malformed.
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
    /// Takes news of a process; says whether something changed that traffic has to know.
    ///
    /// With `is_direct` the process itself was heard at its address, so older processes at that address
    /// have ended.
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
                // A process that is stopping never takes work again.
                let is_leaving = known.is_leaving || info.is_leaving;
                let has_changed = is_leaving != known.is_leaving
                    || (is_direct && known.is_failing)
                    || (info.last_seen_us > known.last_seen_us
                        && info.is_registered != known.is_registered);
                if info.last_seen_us >= known.last_seen_us {
                    let is_failing = known.is_failing && !is_direct;
                    *known = Peer { is_failing, ..info };
                }
                known.is_leaving = is_leaving;
                has_changed
            }
            None if !is_full => {
                self.peers.insert(info.process.clone(), info);
                true
            }
            None => false,
        }
    }

    /// Notes that a call to an address failed; says whether that is new.
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

    /// Drops processes that nobody hears of, and those of VMs that are gone; gives the dropped ones.
    pub fn remove_expired(&mut self, removed_vms: &[Name], now_us: u64) -> Vec<Peer> {
        let is_expired = |peer: &Peer| {
            now_us.saturating_sub(peer.last_seen_us) > PEER_EXPIRY_US
                || removed_vms.iter().any(|vm| **vm == *peer.process.vm)
        };
        let mut dropped = Vec::new();
        self.peers.retain(|_, peer| {
            let is_kept = !is_expired(peer);
            if !is_kept {
                dropped.push(peer.clone());
            }
            is_kept
        });
        dropped
    }

    /// Whether a process is known.
    pub fn contains(&self, process: &ProcessId) -> bool {
        self.peers.contains_key(process)
    }

    /// All known nodes.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Entries for a message to a node of `zone`: all of its zone and of the own one, a few of others.
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

    /// Nodes for forwarded requests.
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

    /// For operators.
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
