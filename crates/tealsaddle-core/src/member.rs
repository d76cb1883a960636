//! Membership of VMs and processes.
//!
//! Two sources are merged: the platform's VM list and the answers of the processes themselves. The
//! list lags, but never omits a live VM that it contained before. A VM is leaving as soon as either
//! source reports it, and counts as removed only when the list contained it before and no longer
//! does. A process that does not answer is not treated as removed, since it may be paused and
//! resume later.

use std::collections::VecDeque;

use tealsaddle_schema::record::ProcessId;

use crate::collections::HashMap;
use crate::name::Name;

/// Liveness of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Liveness {
    /// The VM accepts new work.
    Live,
    /// The VM accepts no new work, because it is being removed or its process is stopping.
    Leaving,
    /// The list contained the VM before and no longer does; no process runs there.
    Gone,
}

/// A new VM or a VM whose liveness changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LivenessChange {
    /// Name of the VM.
    pub vm: Name,
    /// Liveness after the change.
    pub liveness: Liveness,
}

/// Last known state of a peer process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerState {
    /// Newest process known at this peer address.
    pub process: ProcessId,
    /// Zone of the process.
    pub zone: Name,
    /// Whether the process reported that it is stopping.
    pub is_leaving: bool,
    /// Time of the last answer of the process itself.
    pub last_answer_at_us: u64,
}

/// State of a VM in the VM list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Listing {
    /// The list has not contained the VM yet.
    #[default]
    NeverListed,
    Live,
    Leaving,
    /// The list contained the VM before and no longer does.
    Removed,
}

/// State of a VM, merged from both sources.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct VmState {
    listing: Listing,
    /// Incarnation of the last process that answered.
    incarnation: Option<String>,
    /// Whether that process reported that it is stopping.
    has_reported_leaving: bool,
}

impl VmState {
    const fn liveness(&self) -> Liveness {
        match self.listing {
            Listing::Removed => Liveness::Gone,
            Listing::Leaving => Liveness::Leaving,
            Listing::NeverListed | Listing::Live if self.has_reported_leaving => Liveness::Leaving,
            Listing::NeverListed | Listing::Live => Liveness::Live,
        }
    }
}

/// VMs and processes, merged from the VM list and the answers of peers.
#[derive(Debug, Clone, Default)]
pub struct Members {
    vms: HashMap<Name, VmState>,
    /// Peers by peer address.
    peers: HashMap<String, PeerState>,
    /// Most recently removed VMs, remembered so that a late answer does not add one again.
    removed: VecDeque<Name>,
}

/// Removed VMs that are remembered, more than the 800 that are added and removed on a usual day.
const MAX_REMOVED: usize = 1_024;

impl Members {
    /// Handles the complete VM list, in which `true` marks a leaving VM. Returns the changes,
    /// sorted by VM name.
    pub fn on_vm_list(&mut self, list: &[(Name, bool)]) -> Vec<LivenessChange> {
        let mut changed_vms = Vec::new();
        let listed: HashMap<&Name, bool> =
            list.iter().map(|(vm, leaving)| (vm, *leaving)).collect();
        for vm in listed.keys() {
            if !self.vms.contains_key(*vm) {
                self.removed.retain(|removed| removed != *vm);
                self.vms.insert(Name::clone(vm), VmState::default());
                changed_vms.push(Name::clone(vm));
            }
        }
        for (vm, state) in &mut self.vms {
            let before = state.liveness();
            state.listing = match (listed.get(vm), state.listing) {
                (Some(true), _) => Listing::Leaving,
                (Some(false), _) => Listing::Live,
                (None, Listing::NeverListed) => Listing::NeverListed,
                (None, _) => Listing::Removed,
            };
            if state.liveness() != before {
                changed_vms.push(Name::clone(vm));
            }
        }
        changed_vms.sort_unstable();
        changed_vms.dedup();
        let changes = changed_vms.into_iter().map(|vm| LivenessChange {
            liveness: self.vms[&vm].liveness(),
            vm,
        });
        let changes: Vec<LivenessChange> = changes.collect();
        for change in changes.iter().filter(|c| c.liveness == Liveness::Gone) {
            self.vms.remove(&change.vm);
            self.peers.retain(|_, peer| *peer.process.vm != *change.vm);
            if self.removed.len() == MAX_REMOVED {
                self.removed.pop_front();
            }
            self.removed.push_back(Name::clone(&change.vm));
        }
        changes
    }

    /// Handles an answer of a process to a call that this node made to `address`.
    ///
    /// A message that a process sends unasked must not be passed in: it may be delayed, so it does
    /// not prove which process is the newest at an address.
    ///
    /// Returns the new liveness of the VM if the VM is new or its liveness changed. An answer from
    /// a VM that was removed is ignored.
    pub fn on_peer_answer(
        &mut self,
        address: &str,
        zone: &Name,
        process: &ProcessId,
        is_leaving: bool,
        now_us: u64,
    ) -> Option<LivenessChange> {
        if self.removed.iter().any(|vm| **vm == *process.vm) {
            return None;
        }
        let peer = PeerState {
            process: process.clone(),
            zone: Name::clone(zone),
            is_leaving,
            last_answer_at_us: now_us,
        };
        self.peers.insert(address.to_owned(), peer);
        let vm = Name::from(process.vm.as_str());
        let is_known = self.vms.contains_key(&vm);
        let state = self.vms.entry(Name::clone(&vm)).or_default();
        let before = state.liveness();
        if state.incarnation.as_ref() != Some(&process.incarnation) {
            state.incarnation = Some(process.incarnation.clone());
            state.has_reported_leaving = false;
        }
        state.has_reported_leaving |= is_leaving;
        let liveness = state.liveness();
        (!is_known || liveness != before).then_some(LivenessChange { vm, liveness })
    }

    /// Returns the liveness of a VM, or `None` if neither source has reported it.
    pub fn liveness(&self, vm: &str) -> Option<Liveness> {
        if self.removed.iter().any(|removed| **removed == *vm) {
            return Some(Liveness::Gone);
        }
        self.vms.get(vm).map(VmState::liveness)
    }

    /// Returns whether a process is the newest known at its address and its VM was not removed.
    pub fn is_live(&self, process: &ProcessId) -> bool {
        self.peers.values().any(|peer| peer.process == *process)
    }

    /// Iterates over the known peers with their peer addresses.
    pub fn peers(&self) -> impl Iterator<Item = (&str, &PeerState)> {
        self.peers
            .iter()
            .map(|(address, peer)| (address.as_str(), peer))
    }

    /// Iterates over the VMs that are leaving.
    pub fn leaving(&self) -> impl Iterator<Item = &Name> {
        let leaving =
            |(vm, state): (_, &VmState)| (state.liveness() == Liveness::Leaving).then_some(vm);
        self.vms.iter().filter_map(leaving)
    }
}
