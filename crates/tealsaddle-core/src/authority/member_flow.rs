//! Registration and resignation of routers, and detection of former senders that have stopped.

use tealsaddle_schema::record::{ProcessId, RouterEntry, ZoneRecord};

use super::event::Action;
use super::{Authority, HolderState, Probe, Registration, routers};
use crate::collections::HashMap;
use crate::name::Name;

impl Authority {
    pub(super) fn on_vms(&mut self, vms: &[(Name, bool)], now_us: u64) {
        self.listed_vms.set(vms);
        self.update_stopped_senders(now_us);
    }

    pub(super) fn on_register(
        &mut self,
        process: ProcessId,
        address: String,
        actions: &mut Vec<Action>,
    ) {
        let Some(record) = self.record.as_ref().map(|stored| &stored.record) else {
            return;
        };
        // A process can only be known to have stopped if the VM list contained its VM before.
        if !matches!(self.state, HolderState::Holder(_))
            || !self.listed_vms.contains(&process.vm)
            || routers::is_registered(record, &process)
        {
            return;
        }
        let occupant = routers::at_address(record, &address).cloned();
        let router = RouterEntry {
            process: Some(process),
            address,
        };
        self.registrations
            .retain(|registration| registration.router != router);
        match occupant {
            None => self.registrations.push(Registration {
                router,
                replaces: None,
            }),
            // The address is probed so that a delayed request of an older process cannot replace
            // the newer one.
            Some(occupant) => {
                let id = self.next_id();
                let address = router.address.clone();
                self.probes.retain(|probe| probe.router != router);
                self.probes.push(Probe {
                    id,
                    router,
                    occupant,
                });
                actions.push(Action::ProbeAddress { probe: id, address });
            }
        }
    }

    pub(super) fn on_probed(&mut self, probe: u64, answered: Option<&ProcessId>) {
        let Some(index) = self.probes.iter().position(|p| p.id == probe) else {
            return;
        };
        let probe = self.probes.remove(index);
        // Both processes had been started when the probe was sent, and only the newer one can
        // answer at the address.
        if answered.is_some() && answered == probe.router.process.as_ref() {
            self.registrations.push(Registration {
                router: probe.router,
                replaces: Some(probe.occupant),
            });
        }
    }

    /// Updates the times since when senders in unreleased lists are known to have stopped.
    ///
    /// A process has stopped if the platform removed its VM, or if a newer process is registered at
    /// its address.
    pub(super) fn update_stopped_senders(&mut self, now_us: u64) {
        let Some(record) = self.record.as_ref().map(|stored| &stored.record) else {
            return;
        };
        let mut stopped_since_us = HashMap::default();
        for unreleased in record.engines.iter().flat_map(|entry| &entry.unreleased) {
            let Some(process) = &unreleased.process else {
                continue;
            };
            let is_replaced = routers::at_address(record, &unreleased.address)
                .is_some_and(|newer| newer != process);
            if is_replaced || self.listed_vms.was_removed(&process.vm) {
                let since_us = self.stopped_since_us.get(process).copied();
                stopped_since_us.insert(process.clone(), since_us.unwrap_or(now_us));
            }
        }
        self.stopped_since_us = stopped_since_us;
    }

    /// Applies registrations, resignations and the removal of VMs to the router list.
    pub(super) fn reconcile_routers(&mut self, next: &mut ZoneRecord) {
        let me = &self.identity.process;
        self.resigned
            .retain(|process| process != me && routers::is_registered(next, process));
        for process in &self.resigned {
            routers::remove(next, process);
        }
        let vms = &self.listed_vms;
        routers::remove_stopped(next, |process| {
            process != me && vms.was_removed(&process.vm)
        });
        self.registrations.retain(|registration| {
            let process = registration.router.process.as_ref();
            process.is_some_and(|process| {
                vms.contains(&process.vm) && !routers::is_registered(next, process)
            })
        });
        for registration in &self.registrations {
            let occupant = routers::at_address(next, &registration.router.address);
            if occupant.is_none() || occupant == registration.replaces.as_ref() {
                routers::register(next, registration.router.clone());
            }
        }
    }
}
