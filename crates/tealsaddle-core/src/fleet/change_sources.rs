//! From whom a node learns of changes in the store.
//!
//! Calls to the store are limited and cost something, so few nodes watch it for all. Two nodes of the fleet do, in
//! different zones; in each zone one node for each group learns of changes from them, and the others of the group
//! from that one. All nodes rank each other in the same way, so they agree without a message, and each source has a
//! successor. The store is the last resort of every node.

use std::net::{IpAddr, SocketAddr};

use super::rendezvous::rendezvous_weight;
use crate::collections::HashMap;
use crate::name::Name;

/// Number of nodes in a zone that hear of changes from the same one.
const GROUP_NODES: usize = 16;
/// Number of further nodes that are asked if the others fail.
const SPARES: usize = 4;
/// How many of them are of the own zone, if it has so many: a zone may be cut off from the others.
const ZONE_SPARES: usize = 2;
/// Pause before a source that has failed is used again. Others may have found a source of their own by then.
const MIN_BACKOFF_US: u64 = 200_000;
/// Number of failures from which the pause doubles with each further one.
const STEADY_FAILURES: u32 = 4;
/// Longest such pause.
const MAX_BACKOFF_US: u64 = 3_200_000;

/// A registered node.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Address at which it serves its peers.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Name,
}

/// Someone from whom changes are heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Source {
    /// The store itself.
    Store,
    /// Another node, by its address for peers.
    Peer(SocketAddr),
}

/// What a rank is for.
#[derive(Debug, Clone, Copy)]
enum Rank {
    Watcher,
    Relay,
    Choice,
    Spare,
}

/// Returns the sources of a node, the preferred one first. `own` is the node itself, which may be missing among the
/// `members`. The last ones differ with the `round`, a number that the node counts up when all have failed.
///
/// # Examples
///
/// ```
/// use tealsaddle_core::fleet::change_sources::{Member, Source, sources};
///
/// let own = Member { address: "10.0.0.1:1".parse().unwrap(), zone: "a".into() };
/// assert_eq!(sources(&[], &own, 0), [Source::Store]);
/// ```
pub fn sources(members: &[Member], own: &Member, round: u32) -> Vec<Source> {
    let mut all: Vec<&Member> = members
        .iter()
        .filter(|m| m.address != own.address)
        .collect();
    all.push(own);
    let watchers = watchers(&all);
    let is_watcher = watchers.contains(&own);
    let mut order: Vec<Option<&Member>> = Vec::new();
    if is_watcher {
        order.push(None);
        order.extend(watchers.into_iter().map(Some));
    } else {
        let (relays, is_relay) = relays_for(&all, own);
        if !is_relay {
            order.extend(relays.into_iter().map(Some));
        }
        order.extend(by_choice(watchers, own).into_iter().map(Some));
        order.push(None);
    }
    let mut spares = all;
    sort_by_rank(&mut spares, Rank::Spare, (Some(own), round));
    spares.retain(|member| !order.contains(&Some(*member)) && *member != own);
    let in_zone = spares.iter().filter(|member| member.zone == own.zone);
    let in_zone: Vec<&Member> = in_zone.copied().take(ZONE_SPARES).collect();
    spares.retain(|member| !in_zone.contains(member));
    spares.truncate(SPARES - in_zone.len());
    order.extend(in_zone.into_iter().chain(spares).map(Some));
    let mut sources = Vec::new();
    for member in order.into_iter().filter(|member| *member != Some(own)) {
        let source = member.map_or(Source::Store, |member| Source::Peer(member.address));
        if !sources.contains(&source) {
            sources.push(source);
        }
    }
    sources
}

/// The nodes that watch the store, in two zones if there are two.
fn watchers<'a>(all: &[&'a Member]) -> Vec<&'a Member> {
    let mut ranked = all.to_vec();
    sort_by_rank(&mut ranked, Rank::Watcher, FOR_ALL);
    let first = ranked[0];
    let second = ranked.iter().find(|member| member.zone != first.zone);
    let second = second.or_else(|| ranked.get(1)).copied();
    std::iter::once(first).chain(second).collect()
}

/// The relays of a node's zone in the node's order, with a successor if there is only one; and whether the node is
/// a relay itself.
fn relays_for<'a>(all: &[&'a Member], own: &Member) -> (Vec<&'a Member>, bool) {
    let mut zone = all.to_vec();
    zone.retain(|member| member.zone == own.zone);
    sort_by_rank(&mut zone, Rank::Relay, FOR_ALL);
    let count = zone.len().div_ceil(GROUP_NODES);
    let is_relay = zone[..count].contains(&own);
    let mut relays = zone[..count].to_vec();
    sort_by_rank(&mut relays, Rank::Choice, (Some(own), 0));
    relays.truncate(2);
    if relays.len() < 2 {
        relays.extend(zone.get(count));
    }
    (relays, is_relay)
}

/// The watchers, that of the node's zone first, or else in the node's order.
fn by_choice<'a>(mut watchers: Vec<&'a Member>, own: &Member) -> Vec<&'a Member> {
    sort_by_rank(&mut watchers, Rank::Choice, (Some(own), 0));
    watchers.sort_by_key(|member| member.zone != own.zone);
    watchers
}

/// Who ranks: all nodes in the same way, or one node in a round.
type RankedBy<'a> = (Option<&'a Member>, u32);

const FOR_ALL: RankedBy<'_> = (None, 0);

/// Sorts nodes by their rank, the highest first.
fn sort_by_rank(members: &mut [&Member], rank: Rank, by: RankedBy<'_>) {
    let (by, round) = by;
    let by = by.map(|by| address_bits(by.address));
    members.sort_by_cached_key(|member| {
        let key = (by, round, address_bits(member.address));
        std::cmp::Reverse((rendezvous_weight(rank as u64, &key), member.address))
    });
}

/// An address as numbers, which all builds hash in the same way.
fn address_bits(address: SocketAddr) -> (u128, u16) {
    let bits = match address.ip() {
        IpAddr::V4(ip) => u128::from(ip.to_bits()),
        IpAddr::V6(ip) => ip.to_bits(),
    };
    (bits, address.port())
}

#[derive(Debug, Clone, Copy)]
struct Backoff {
    until_us: u64,
    failures: u32,
}

/// Which source is in use, which ones have failed, and until when they are passed over.
#[derive(Debug, Default)]
pub struct SourceTracker {
    current: Option<Source>,
    failed: HashMap<Source, Backoff>,
}

impl SourceTracker {
    /// Returns the source in use; `None` if it has failed and no other one has answered since.
    pub const fn current(&self) -> Option<Source> {
        self.current
    }

    /// Returns the sources to ask now: the one in use with those that are preferred to it and may have recovered, or all
    /// if none is in use. `is_store_away` tells that other calls of this node to the store fail: it is then asked only
    /// if nothing else is left.
    pub fn choose(&self, sources: &[Source], is_store_away: bool, now_us: u64) -> Vec<Source> {
        let is_usable = |source: &&Source| {
            let backoff = self.failed.get(*source);
            backoff.is_none_or(|backoff| backoff.until_us <= now_us)
        };
        let in_use = sources
            .iter()
            .position(|source| Some(*source) == self.current);
        let candidates = in_use.map_or(sources, |place| &sources[..=place]);
        let mut usable: Vec<Source> = candidates.iter().filter(is_usable).copied().collect();
        if is_store_away && usable.len() > 1 {
            usable.retain(|source| *source != Source::Store);
        }
        if self.failed.is_empty() && in_use.is_none() {
            usable.truncate(1);
        }
        usable
    }

    /// Returns when the first source may be used again, if all have failed.
    pub fn next_us(&self, sources: &[Source]) -> Option<u64> {
        let failed = sources.iter().filter_map(|source| self.failed.get(source));
        failed.map(|backoff| backoff.until_us).min()
    }

    /// Records that a source has not answered, or has nothing newer than the node knows.
    pub fn on_failed(&mut self, source: Source, now_us: u64) {
        let failures = self.failed.get(&source).map_or(0, |b| b.failures) + 1;
        let doublings = failures.saturating_sub(STEADY_FAILURES).min(u64::BITS / 4);
        let pause_us = (MIN_BACKOFF_US << doublings).min(MAX_BACKOFF_US);
        let until_us = now_us + pause_us;
        self.failed.insert(source, Backoff { until_us, failures });
        if self.current == Some(source) {
            self.current = None;
        }
    }

    /// Records that a source has answered.
    pub fn on_answer(&mut self, source: Source) {
        self.failed.remove(&source);
        self.current = Some(source);
    }

    /// Records that a source may have recovered.
    pub fn forgive(&mut self, source: Source) {
        self.failed.remove(&source);
    }

    /// Forgets the sources that the node no longer has.
    pub fn retain(&mut self, sources: &[Source]) {
        self.failed
            .retain(|source, _backoff| sources.contains(source));
    }
}
