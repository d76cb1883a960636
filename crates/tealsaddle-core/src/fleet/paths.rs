//! Which way a node takes to a runner: a connection of its own, or one through another node that reaches the runner.
//!
//! A node may be cut off from runners while the other nodes still reach it and them. What tells "I am cut off" from "the
//! runner is down" is the word of other nodes. Nodes that lend a path connect by themselves, so a path passes through
//! one other node at most.

use std::cmp::Reverse;
use std::net::SocketAddr;

use super::change_sources::Member;
use super::rendezvous::rendezvous_weight;
use crate::collections::HashMap;
use crate::name::Name;

/// Number of nodes that are asked for one connection.
const MAX_LENDERS: usize = 5;
/// Time between trials of the node's own way while a path is borrowed.
const TRIAL_INTERVAL_US: u64 = 1_000_000;
/// Time for which a node that was unable to lend is asked last, and its zone after the others.
const UNABLE_US: u64 = 2_000_000;
/// Time for which no path is borrowed to a runner that no node reaches.
const DOWN_US: u64 = 500_000;
/// Time for which a connect shows that the node reaches runners.
const SOUND_US: u64 = 1_000_000;
/// Time for which a connect that has failed counts for a cut from all runners. A runner that takes no more connections
/// refuses some as well.
const FAILED_US: u64 = 2_000_000;
/// Number of broken paths from which a node that has not connected just now counts as cut off from all runners.
const CUT_OFF_RUNNERS: usize = 2;
/// Time after its last use from which a broken path is forgotten.
const FORGET_US: u64 = 30_000_000;

/// The way to a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// A connection of the node's own.
    Direct,
    /// A connection through another node.
    Borrowed,
}

/// What a node answers that was asked to lend its path to a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LenderAnswer {
    /// It has connected.
    Connected,
    /// It does not reach the runner, and reaches others.
    RunnerUnreachable,
    /// It cannot lend: it is cut off itself, stops, lends too much or does not answer.
    Unable,
}

#[derive(Debug, Clone, Copy, Default)]
struct RunnerPath {
    is_broken: bool,
    /// When the node's own connect last failed.
    failed_us: u64,
    next_trial_us: u64,
    down_until_us: u64,
    used_us: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Lender {
    unable_until_us: u64,
    /// Number of paths that are borrowed from it now.
    borrowed: u32,
}

/// What a node knows of its ways to the runners.
#[derive(Debug, Default)]
pub struct Paths {
    runners: HashMap<SocketAddr, RunnerPath>,
    lenders: HashMap<SocketAddr, Lender>,
    /// Until when nodes of a zone are asked after those of others.
    unable_zones: HashMap<Name, u64>,
    /// When the node last connected by itself to any runner.
    connected_us: u64,
}

/// A search for a node that lends its path to a runner.
#[derive(Debug)]
pub struct Search {
    lenders: std::vec::IntoIter<Member>,
    own_zone: Name,
    has_other_zone: bool,
    is_unreachable: bool,
    /// Nodes that do not reach the runner.
    without_path: Vec<Member>,
}

impl Paths {
    /// Returns the way to a runner.
    pub fn way(&self, runner: SocketAddr, now_us: u64) -> Way {
        let path = self.runners.get(&runner);
        if path.is_some_and(|path| path.is_broken) || self.is_cut_off(now_us) {
            return Way::Borrowed;
        }
        Way::Direct
    }

    /// Whether the node does not expect to reach any runner by itself: several paths are broken, and no connect of its own
    /// has succeeded just now. Without this, a cut is found out at each runner separately.
    fn is_cut_off(&self, now_us: u64) -> bool {
        let is_broken = |path: &&RunnerPath| path.is_broken && path.failed_us + FAILED_US > now_us;
        let broken = self.runners.values().filter(is_broken);
        let has_connected = self.connected_us > 0 && self.connected_us + SOUND_US > now_us;
        !has_connected && broken.count() >= CUT_OFF_RUNNERS
    }

    /// Returns whether a short while ago no node reached the runner that was asked. No path to it is borrowed then.
    pub fn is_down(&self, runner: SocketAddr, now_us: u64) -> bool {
        let path = self.runners.get(&runner);
        path.is_some_and(|path| path.down_until_us > now_us)
    }

    /// Records that the node has connected by itself. Returns `true` if the path was broken before.
    pub fn on_connected(&mut self, runner: SocketAddr, now_us: u64) -> bool {
        self.connected_us = now_us;
        let path = self.runners.remove(&runner);
        path.is_some_and(|path| path.is_broken)
    }

    /// Records that the node could not connect by itself.
    pub fn on_failed(&mut self, runner: SocketAddr, now_us: u64) {
        let path = self.runners.entry(runner).or_default();
        path.failed_us = now_us;
        path.used_us = now_us;
    }

    /// Returns whether the node should try to connect by itself now, beside a borrowed path, and counts the trial.
    pub fn begin_trial(&mut self, runner: SocketAddr, now_us: u64) -> bool {
        let path = self.runners.entry(runner).or_default();
        let is_due = path.next_trial_us <= now_us;
        if is_due {
            path.used_us = now_us;
            path.next_trial_us = now_us + TRIAL_INTERVAL_US;
        }
        is_due
    }

    /// Begins a search for a lender of the path to a runner. `number` differs between searches, so that lenders are used
    /// in turn.
    pub fn search(&self, members: &[Member], own_zone: &Name, number: u64, now_us: u64) -> Search {
        let rank = |member: &&Member| {
            let lender = self.lenders.get(&member.address).copied();
            let lender = lender.unwrap_or_default();
            let zone_until_us = self.unable_zones.get(&member.zone).copied();
            (
                lender.unable_until_us > now_us,
                zone_until_us.is_some_and(|until_us| until_us > now_us),
                member.zone != *own_zone,
                lender.borrowed,
                Reverse(rendezvous_weight(number, &member.address)),
            )
        };
        let mut ranked: Vec<&Member> = members.iter().collect();
        ranked.sort_by_cached_key(rank);
        let is_other_zone = |member: &&Member| member.zone != *own_zone;
        let first_of_other = ranked.iter().position(is_other_zone);
        if let Some(place) = first_of_other.filter(|place| *place >= MAX_LENDERS) {
            ranked.swap(place, MAX_LENDERS - 1);
        }
        ranked.truncate(MAX_LENDERS);
        let lenders: Vec<Member> = ranked.into_iter().cloned().collect();
        Search {
            lenders: lenders.into_iter(),
            own_zone: Name::clone(own_zone),
            has_other_zone: first_of_other.is_some(),
            is_unreachable: false,
            without_path: Vec::new(),
        }
    }

    /// Records what a lender has answered to a search for the path to a runner. Returns `true` if the path of the node's
    /// own is found broken by it.
    pub fn on_lender_answer(
        &mut self,
        search: &mut Search,
        runner: SocketAddr,
        lender: &Member,
        answer: LenderAnswer,
        now_us: u64,
    ) -> bool {
        match answer {
            LenderAnswer::Connected => {
                self.lenders.entry(lender.address).or_default().borrowed += 1;
                // The runner is up, so those that do not reach it are cut off as well.
                for other in std::mem::take(&mut search.without_path) {
                    self.on_unable(&other, now_us);
                }
                let path = self.runners.entry(runner).or_default();
                path.used_us = now_us;
                path.down_until_us = 0;
                let is_new = !path.is_broken;
                if is_new {
                    path.is_broken = true;
                    path.next_trial_us = now_us + TRIAL_INTERVAL_US;
                }
                is_new
            }
            LenderAnswer::RunnerUnreachable => {
                // The whole zone may be cut off without knowing it yet.
                let is_other_zone = lender.zone != search.own_zone;
                search.is_unreachable |= is_other_zone || !search.has_other_zone;
                search.without_path.push(lender.clone());
                false
            }
            LenderAnswer::Unable => {
                self.on_unable(lender, now_us);
                false
            }
        }
    }

    fn on_unable(&mut self, lender: &Member, now_us: u64) {
        let until_us = now_us + UNABLE_US;
        self.lenders
            .entry(lender.address)
            .or_default()
            .unable_until_us = until_us;
        let zone = Name::clone(&lender.zone);
        self.unable_zones.insert(zone, until_us);
    }

    /// Records that a search has ended without a path.
    pub fn on_not_found(&mut self, search: &Search, runner: SocketAddr, now_us: u64) {
        if search.is_unreachable {
            let path = self.runners.entry(runner).or_default();
            path.used_us = now_us;
            path.down_until_us = now_us + DOWN_US;
        }
    }

    /// Records that a borrowed path is closed.
    pub fn on_returned(&mut self, lender: SocketAddr) {
        if let Some(lender) = self.lenders.get_mut(&lender) {
            lender.borrowed = lender.borrowed.saturating_sub(1);
        }
    }

    /// Forgets what was not used for long.
    pub fn forget_old(&mut self, now_us: u64) {
        self.runners
            .retain(|_runner, path| path.used_us + FORGET_US > now_us);
        self.lenders
            .retain(|_node, lender| lender.borrowed > 0 || lender.unable_until_us > now_us);
        self.unable_zones
            .retain(|_zone, until_us| *until_us > now_us);
    }
}

impl Iterator for Search {
    type Item = Member;

    /// The next node to ask.
    fn next(&mut self) -> Option<Member> {
        self.lenders.next()
    }
}
