//! Spare capacity of the other zones, as their nodes report it with heartbeats.

use tealsaddle_core::collections::HashMap;
use tealsaddle_core::name::Name;

use crate::traffic::SpareCapacity;

/// Age from which a report no longer counts, equal to that of the other nodes. Heartbeats between two zones
/// are exchanged about once per second.
const REPORT_EXPIRY_US: u64 = 15_000_000;

/// A report with its time of arrival.
#[derive(Debug, Clone, Copy)]
struct Report {
    capacity: SpareCapacity,
    arrived_us: u64,
}

/// Spare capacity that other zones last reported, by zone and model.
#[derive(Debug, Default)]
pub struct ZoneCapacities {
    reports: HashMap<(Name, Name), Report>,
}

impl ZoneCapacities {
    /// Stores a report. Returns whether the capacity has changed.
    pub fn on_report(
        &mut self,
        zone: &Name,
        model: &str,
        capacity: SpareCapacity,
        now_us: u64,
    ) -> bool {
        let key = (Name::clone(zone), Name::from(model));
        let report = Report {
            capacity,
            arrived_us: now_us,
        };
        let known = self.reports.insert(key, report);
        known.map(|known| known.capacity) != Some(capacity)
    }

    /// Removes expired reports. Returns whether there were any.
    pub fn remove_expired(&mut self, now_us: u64) -> bool {
        let known = self.reports.len();
        self.reports
            .retain(|_, report| now_us.saturating_sub(report.arrived_us) <= REPORT_EXPIRY_US);
        self.reports.len() != known
    }

    /// Returns the capacities for a snapshot.
    pub fn to_snapshot(&self) -> HashMap<(Name, Name), SpareCapacity> {
        let reports = self.reports.iter();
        reports
            .map(|(key, report)| (key.clone(), report.capacity))
            .collect()
    }
}
