//! Which VMs and processes take part.
//!
//! Two sources are merged: the platform's VM list, which lags but never omits a live VM that it has
//! shown before, and what the processes say of themselves. A VM is leaving as soon as either source
//! says so, and gone when the list has shown it and shows it no more. A process that does not answer is
//! not gone: it may be paused and go on later.

use std::collections::VecDeque;

use tealsaddle_schema::record::ProcessId;

use crate::collections::HashMap;
use crate::name::Name;

/// State of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Liveness {
    /// Takes work.
    Live,
    /// Takes no new work.
    Leaving,
    /// Was shown by the list before and is no more; nothing runs there.
    Gone,
}

/// A change that a call has brought about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LivenessChange {
    /// Name of the VM.
    pub vm: Name,
    /// Its state from now on.
    pub liveness: Liveness,
}

/// A process as its peers know it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerState {
    /// The newest process known at this address.
    pub process: ProcessId,
    /// Zone of the process.
    pub zone: Name,
    /// Whether it said that it is stopping.
    pub is_leaving: bool,
    /// When it was last heard itself.
    pub last_answer_at_us: u64,
}

/// What the VM list says.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Listing {
    /// It has not shown the VM yet.
    #[default]
    NotYet,
    Live,
    Leaving,
    /// It has shown the VM and shows it no more.
    Dropped,
}

#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct VmState {
    listing: Listing,
    /// Incarnation that was heard last.
    heard: Option<String>,
    /// Whether that incarnation said that it is stopping.
    is_said_leaving: bool,
}

impl VmState {
    const fn liveness(&self) -> Liveness {
        match self.listing {
            Listing::Dropped => Liveness::Gone,
            Listing::Leaving => Liveness::Leaving,
            Listing::NotYet | Listing::Live if self.is_said_leaving => Liveness::Leaving,
            Listing::NotYet | Listing::Live => Liveness::Live,
        }
    }
}

/// VMs and processes, merged from the VM list and the peers.
#[derive(Debug, Clone, Default)]
pub struct Members {
    vms: HashMap<Name, VmState>,
    /// Peers by peer address.
    peers: HashMap<String, PeerState>,
    /// VMs that went last, so that a late answer does not bring one back.
    gone: VecDeque<Name>,
}

/// Gone VMs that are remembered, more than the 800 that come and go on an ordinary day.
const MAX_GONE: usize = 1_024;

impl Members {
    /// Takes the whole VM list; `true` marks a leaving VM.
    pub fn on_vm_list(&mut self, list: &[(Name, bool)]) -> Vec<LivenessChange> {
        let mut changes = Vec::new();
        let shown: HashMap<&Name, bool> = list.iter().map(|(vm, leaving)| (vm, *leaving)).collect();
        for vm in shown.keys() {
            if !self.vms.contains_key(*vm) {
                self.gone.retain(|gone| gone != *vm);
                self.vms.insert(Name::clone(vm), VmState::default());
                changes.push(Name::clone(vm));
            }
        }
        for (vm, state) in &mut self.vms {
            let before = state.liveness();
            state.listing = match (shown.get(vm), state.listing) {
                (Some(true), _) => Listing::Leaving,
                (Some(false), _) => Listing::Live,
                (None, Listing::NotYet) => Listing::NotYet,
                (None, _) => Listing::Dropped,
            };
            if state.liveness() != before {
                changes.push(Name::clone(vm));
            }
        }
        changes.sort_unstable();
        changes.dedup();
        let changes = changes.into_iter().map(|vm| LivenessChange {
            liveness: self.vms[&vm].liveness(),
            vm,
        });
        let changes: Vec<LivenessChange> = changes.collect();
        for change in changes.iter().filter(|c| c.liveness == Liveness::Gone) {
            self.vms.remove(&change.vm);
            self.peers.retain(|_, peer| *peer.process.vm != *change.vm);
            if self.gone.len() == MAX_GONE {
                self.gone.pop_front();
            }
            self.gone.push_back(Name::clone(&change.vm));
        }
        changes
    }

    /// Takes what a process says of itself, in an answer to a call that this node began to `address`.
    ///
    /// A push is no proof of the newest process at an address, since it may be delayed.
    pub fn on_peer_answer(
        &mut self,
        address: &str,
        zone: &Name,
        process: &ProcessId,
        is_leaving: bool,
        now_us: u64,
    ) -> Option<LivenessChange> {
        if self.gone.iter().any(|vm| **vm == *process.vm) {
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
        if state.heard.as_ref() != Some(&process.incarnation) {
            state.heard = Some(process.incarnation.clone());
            state.is_said_leaving = false;
        }
        state.is_said_leaving |= is_leaving;
        let liveness = state.liveness();
        (!is_known || liveness != before).then_some(LivenessChange { vm, liveness })
    }

    /// State of a VM; `None` for one that no source has named.
    pub fn liveness(&self, vm: &str) -> Option<Liveness> {
        if self.gone.iter().any(|gone| **gone == *vm) {
            return Some(Liveness::Gone);
        }
        self.vms.get(vm).map(VmState::liveness)
    }

    /// Whether a process is the newest known at its address and its VM is not gone.
    pub fn is_live(&self, process: &ProcessId) -> bool {
        self.peers.values().any(|peer| peer.process == *process)
    }

    /// Known peers with their addresses.
    pub fn peers(&self) -> impl Iterator<Item = (&str, &PeerState)> {
        self.peers.iter().map(|(a, peer)| (a.as_str(), peer))
    }

    /// VMs that are leaving.
    pub fn leaving(&self) -> impl Iterator<Item = &Name> {
        let leaving =
            |(vm, state): (_, &VmState)| (state.liveness() == Liveness::Leaving).then_some(vm);
        self.vms.iter().filter_map(leaving)
    }
}
