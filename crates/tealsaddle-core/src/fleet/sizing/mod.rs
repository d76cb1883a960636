//! Number of runners of a service, by zone and kind.
//!
//! Regular runners stay until the platform is told otherwise. Spot runners cost a fraction of the price, and the platform
//! may take all of a zone away within two seconds. The number follows in four steps, each in a module of its own:
//! [`demand`] adds up what the nodes report of their requests, [`need`] turns it into a number of busy runners with its
//! trend, [`layout`] spreads that number over zones and kinds so that the loss of any one zone can be borne at the lowest
//! price, and [`planner`] derives the few orders that are due.
//!
//! Too few runners cost callers far more than too many cost the operator. Where an input is missing or contradicts another
//! one, the larger number counts, and nothing is scaled down.

pub mod demand;
pub mod layout;
pub mod need;
mod numbers;
pub mod planner;

use std::collections::BTreeMap;

use super::Runner;
use super::config::Scaling;
use crate::name::Name;

/// Kind of a runner by its price.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RunnerKind {
    /// Stays until the platform is told otherwise.
    Regular,
    /// Costs less, and may be taken away with all others of its kind in its zone.
    Spot,
}

impl RunnerKind {
    /// Name of the kind in keys and log records.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Regular => "regular",
            Self::Spot => "spot",
        }
    }
}

/// What an order for a number of runners of one service is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Subject {
    /// Availability zone of the runners.
    pub zone: Name,
    /// Kind of the runners.
    pub kind: RunnerKind,
}

impl Subject {
    /// The subject that a runner counts for.
    pub fn of(runner: &Runner) -> Self {
        Self {
            zone: Name::clone(&runner.zone),
            kind: if runner.is_spot {
                RunnerKind::Spot
            } else {
                RunnerKind::Regular
            },
        }
    }
}

/// Numbers of runners by zone and kind; 0 where nothing is listed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counts(BTreeMap<Subject, u32>);

impl Counts {
    /// Number of runners of a subject.
    pub fn get(&self, subject: &Subject) -> u32 {
        self.0.get(subject).copied().unwrap_or(0)
    }

    /// Sets the number of runners of a subject.
    pub fn set(&mut self, subject: Subject, runners: u32) {
        self.0.insert(subject, runners);
    }

    /// Counts one more runner.
    pub fn add(&mut self, subject: Subject) {
        *self.0.entry(subject).or_default() += 1;
    }

    /// All subjects with their numbers.
    pub fn iter(&self) -> impl Iterator<Item = (&Subject, u32)> {
        self.0.iter().map(|(subject, runners)| (subject, *runners))
    }

    /// Number of all runners.
    pub fn sum(&self) -> u32 {
        self.0.values().sum()
    }

    /// Number of runners of both kinds in a zone.
    pub fn in_zone(&self, zone: &str) -> u32 {
        let of_zone = self.iter().filter(|(subject, _)| *subject.zone == *zone);
        of_zone.map(|(_subject, runners)| runners).sum()
    }

    /// Number of runners that are left after the worst loss: that of one zone, or of the spot runners if there is only one
    /// zone.
    pub fn left_after_loss(&self) -> u32 {
        let mut by_zone: BTreeMap<&Name, u32> = BTreeMap::new();
        for (subject, runners) in self.iter().filter(|(_, runners)| *runners > 0) {
            *by_zone.entry(&subject.zone).or_default() += runners;
        }
        if by_zone.len() > 1 {
            return self.sum() - by_zone.values().max().copied().unwrap_or(0);
        }
        let is_regular = |subject: &Subject| subject.kind == RunnerKind::Regular;
        let regular = self.iter().filter(|(subject, _)| is_regular(subject));
        regular.map(|(_subject, runners)| runners).sum()
    }

    /// Price of the runners for one second, in units of the price list.
    pub fn price(&self, scaling: &Scaling) -> f64 {
        let price =
            |(subject, runners): (&Subject, u32)| f64::from(runners) * price_of(scaling, subject);
        self.iter().map(price).sum()
    }
}

/// Price of one runner of a subject. A zone without a price counts as the dearest one.
fn price_of(scaling: &Scaling, subject: &Subject) -> f64 {
    let dearest = scaling.zone_prices.values().copied().fold(0.0, f64::max);
    let zone_price = scaling.zone_prices.get(&subject.zone);
    let share = match subject.kind {
        RunnerKind::Regular => 1.0,
        RunnerKind::Spot => scaling.spot_price.unwrap_or(1.0),
    };
    zone_price.copied().unwrap_or(dearest) * share
}
