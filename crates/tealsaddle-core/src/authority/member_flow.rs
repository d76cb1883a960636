//! Processes that come and go: registration, resignation, and former holders that are gone.

use tealsaddle_schema::record::{ProcessId, RouterEntry, ZoneRecord};

use super::event::Action;
use super::{Authority, HolderState, Join, Probe, routers};
use crate::collections::HashMap;
use crate::name::Name;

impl Authority {
    pub(super) fn on_vms(&mut self, vms: &[(Name, bool)], now_us: u64) {
        self.vms.set(vms);
        self.note_gone(now_us);
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
        // Only a VM that the list has shown can later be known to be gone.
        if !matches!(self.state, HolderState::Holder(_))
            || !self.vms.shows(&process.vm)
            || routers::is_registered(record, &process)
        {
            return;
        }
        let occupant = routers::at_address(record, &address).cloned();
        let router = RouterEntry {
            process: Some(process),
            address,
        };
        self.joins.retain(|join| join.router != router);
        match occupant {
            None => self.joins.push(Join {
                router,
                replaces: None,
            }),
            // A delayed request of an older process must not push out the newer one.
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
        // Both processes had been started when the probe was begun, and only the later one can answer.
        if answered.is_some() && answered == probe.router.process.as_ref() {
            self.joins.push(Join {
                router: probe.router,
                replaces: Some(probe.occupant),
            });
        }
    }

    /// Notes since when former senders are known to be gone.
    pub(super) fn note_gone(&mut self, now_us: u64) {
        let Some(record) = self.record.as_ref().map(|stored| &stored.record) else {
            return;
        };
        let mut gone_since_us = HashMap::default();
        for unreleased in record.engines.iter().flat_map(|entry| &entry.unreleased) {
            let Some(process) = &unreleased.process else {
                continue;
            };
            let is_replaced = routers::at_address(record, &unreleased.address)
                .is_some_and(|newer| newer != process);
            if is_replaced || self.vms.has_dropped(&process.vm) {
                let since_us = self.gone_since_us.get(process).copied();
                gone_since_us.insert(process.clone(), since_us.unwrap_or(now_us));
            }
        }
        self.gone_since_us = gone_since_us;
    }

    /// Applies joins, resignations and VMs that are gone to the router list.
    pub(super) fn reconcile_routers(&mut self, next: &mut ZoneRecord) {
        let me = &self.me.process;
        self.resigned
            .retain(|process| process != me && routers::is_registered(next, process));
        for process in &self.resigned {
            routers::remove(next, process);
        }
        let vms = &self.vms;
        routers::remove_gone(next, |process| {
            process != me && vms.has_dropped(&process.vm)
        });
        self.joins.retain(|join| {
            let process = join.router.process.as_ref();
            process.is_some_and(|process| {
                vms.shows(&process.vm) && !routers::is_registered(next, process)
            })
        });
        for join in &self.joins {
            let occupant = routers::at_address(next, &join.router.address);
            if occupant.is_none() || occupant == join.replaces.as_ref() {
                routers::register(next, join.router.clone());
            }
        }
    }
}
