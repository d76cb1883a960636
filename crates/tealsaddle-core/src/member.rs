//! Which VMs and processes take part.
//!
//! Two sources are merged: the platform's VM list, which lags but never omits a live VM that it has
//! shown before, and what the processes say of themselves. A VM is leaving as soon as either source
//! says so, and gone when the list has shown it and shows it no more. A process that does not answer is
//! not gone: it may be paused and go on later.

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
pub struct Change {
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
    pub heard_at_us: u64,
}

#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct VmState {
    was_shown: bool,
    is_shown: bool,
    is_shown_leaving: bool,
    /// Incarnation that said it is stopping; a later process on the VM is not bound by it.
    leaving_incarnation: Option<String>,
}

impl VmState {
    fn liveness(&self) -> Liveness {
        if self.was_shown && !self.is_shown {
            Liveness::Gone
        } else if self.is_shown_leaving || self.leaving_incarnation.is_some() {
            Liveness::Leaving
        } else {
            Liveness::Live
        }
    }
}

/// VMs and processes, merged from the VM list and the peers.
#[derive(Debug, Clone, Default)]
pub struct Members {
    vms: HashMap<Name, VmState>,
    /// Peers by peer address.
    peers: HashMap<String, PeerState>,
}

impl Members {
    /// Takes the whole VM list; `true` marks a leaving VM.
    pub fn on_list(&mut self, list: &[(Name, bool)]) -> Vec<Change> {
        let mut changes = Vec::new();
        for (vm, _) in list {
            self.vms.entry(Name::clone(vm)).or_default();
        }
        let shown: HashMap<&Name, bool> = list.iter().map(|(vm, leaving)| (vm, *leaving)).collect();
        for (vm, state) in &mut self.vms {
            let is_new = *state == VmState::default();
            let before = state.liveness();
            let entry = shown.get(vm);
            state.is_shown = entry.is_some();
            state.was_shown |= state.is_shown;
            // The list lags: a VM that was shown as leaving does not come back.
            state.is_shown_leaving |= entry.copied().unwrap_or(false);
            let liveness = state.liveness();
            if is_new || liveness != before {
                changes.push(Change {
                    vm: Name::clone(vm),
                    liveness,
                });
            }
        }
        changes.sort_by(|a, b| a.vm.cmp(&b.vm));
        // Names of VMs are not used again, and a gone VM is of no more interest.
        self.vms
            .retain(|_, state| state.liveness() != Liveness::Gone);
        let vms = &self.vms;
        self.peers.retain(|_, peer| {
            let is_gone = changes
                .iter()
                .any(|c| c.liveness == Liveness::Gone && *c.vm == *peer.process.vm);
            !is_gone || vms.contains_key(peer.process.vm.as_str())
        });
        changes
    }

    /// Takes what a process says of itself, in an answer to a call that this node began to `address`.
    ///
    /// A push is no proof of the newest process at an address, since it may be delayed.
    pub fn on_peer(
        &mut self,
        address: &str,
        zone: &Name,
        process: &ProcessId,
        is_leaving: bool,
        now_us: u64,
    ) -> Option<Change> {
        let peer = PeerState {
            process: process.clone(),
            zone: Name::clone(zone),
            is_leaving,
            heard_at_us: now_us,
        };
        self.peers.insert(address.to_owned(), peer);
        let vm = Name::from(process.vm.as_str());
        let is_known = self.vms.contains_key(&vm);
        let state = self.vms.entry(Name::clone(&vm)).or_default();
        let before = state.liveness();
        if is_leaving {
            state.leaving_incarnation = Some(process.incarnation.clone());
        } else if state.leaving_incarnation.as_ref() != Some(&process.incarnation) {
            state.leaving_incarnation = None;
        }
        let liveness = state.liveness();
        (!is_known || liveness != before).then_some(Change { vm, liveness })
    }

    /// State of a VM; `None` for one that no source has named, or that is gone.
    pub fn liveness(&self, vm: &str) -> Option<Liveness> {
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
