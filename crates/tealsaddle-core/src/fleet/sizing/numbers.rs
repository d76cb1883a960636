//! The numbers of runners among which a decision is made, and the orders that lead from one to another.

use super::planner::{OrderReason, PlannedOrder};
use super::{Counts, RunnerKind, Subject, price_of};
use crate::fleet::config::Scaling;
use crate::name::Name;

/// What is kept beyond the expected need when runners are given up.
const HEADROOM: f64 = 1.1;
/// Part of all runners, as a divisor, that is given up in one step.
const STEP_DIVISOR: u32 = 8;

/// The numbers among which a decision is made.
pub(super) struct Numbers<'a> {
    pub(super) scaling: &'a Scaling,
    /// Runners that accept requests.
    pub(super) ready: Counts,
    /// The same, with those that are still expected and without those that are to leave.
    pub(super) committed: Counts,
    pub(super) expected: u32,
    pub(super) now_us: u64,
}

pub(super) fn with_headroom(expected: u32) -> u32 {
    (f64::from(expected) * HEADROOM).ceil() as u32
}

impl Numbers<'_> {
    /// Whether more runners are needed: after the worst loss too few would be left, or a zone has fewer than the minimum.
    pub(super) fn is_lacking(&self) -> bool {
        let zones = self.scaling.zone_prices.keys();
        let mut below_min = zones
            .filter(|zone| self.committed.in_zone(zone) < self.scaling.min.min(self.scaling.max));
        self.committed.left_after_loss() < self.expected || below_min.next().is_some()
    }

    /// Orders for all numbers that are to rise, within the bound of each zone.
    pub(super) fn raises(&self, aimed: &Counts, reason: OrderReason) -> Vec<PlannedOrder> {
        let raises = aimed.iter().filter_map(|(subject, runners)| {
            let before = self.committed.get(subject);
            let others = self.others_in_zone(subject);
            let runners = runners.min(self.scaling.max.saturating_sub(others));
            (runners > before).then(|| PlannedOrder {
                subject: subject.clone(),
                runners,
                before,
                reason,
            })
        });
        raises.collect()
    }

    /// Runners of the other kind in the zone of a subject; those that are to leave may be there for longer.
    fn others_in_zone(&self, subject: &Subject) -> u32 {
        let other = Subject {
            zone: Name::clone(&subject.zone),
            kind: match subject.kind {
                RunnerKind::Regular => RunnerKind::Spot,
                RunnerKind::Spot => RunnerKind::Regular,
            },
        };
        self.ready.get(&other).max(self.committed.get(&other))
    }

    /// The order that gives up the runners which cost the most; `None` if none can be spared. Only runners that accept
    /// requests count here.
    pub(super) fn lower<F>(&self, aimed: &Counts, is_raised_lately: F) -> Option<PlannedOrder>
    where
        F: Fn(&Subject) -> bool,
    {
        if self.ready != self.committed {
            return None;
        }
        let step = (self.ready.sum() / STEP_DIVISOR).max(1);
        let surplus = self.ready.iter().filter_map(|(subject, present)| {
            let surplus = present.saturating_sub(aimed.get(subject));
            let saved = price_of(self.scaling, subject) * f64::from(surplus.min(step));
            let may_fall = surplus > 0 && !is_raised_lately(subject);
            may_fall.then_some((subject, present, surplus, saved))
        });
        let mut surplus: Vec<_> = surplus.collect();
        surplus.sort_by(|(.., a), (.., b)| b.total_cmp(a));
        let needed = with_headroom(self.expected);
        surplus
            .into_iter()
            .find_map(|(subject, present, surplus, _)| {
                let fits = |given_up: &u32| {
                    let mut left = self.ready.clone();
                    left.set(subject.clone(), present - given_up);
                    left.left_after_loss() >= needed
                        && left.in_zone(&subject.zone) >= self.scaling.min
                };
                let given_up = (1..=surplus.min(step)).rev().find(fits)?;
                Some(PlannedOrder {
                    subject: subject.clone(),
                    runners: present - given_up,
                    before: present,
                    reason: OrderReason::Surplus,
                })
            })
    }
}
