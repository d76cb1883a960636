//! Spread of a number of runners over zones and kinds.
//!
//! The number has to be there also after the loss of any one zone. Equal numbers in all zones in use need the fewest runners
//! for that; which zones are in use follows from the prices. A small part is regular in each zone, since all spot runners
//! may go one zone after the other faster than others start.

use super::{Counts, RunnerKind, Subject, price_of};
use crate::fleet::config::Scaling;
use crate::name::Name;

/// Share of the number that consists of regular runners.
const REGULAR_SHARE: f64 = 0.15;
/// Largest number of zones over which runners are spread; all subsets of them are compared.
const MAX_ZONES: usize = 6;

/// Cheapest numbers by zone and kind that leave `needed` runners after the worst loss. `limit` tells how many runners of a
/// subject may be had. If there are none such numbers, those that leave the most.
pub fn cheapest<F>(needed: u32, scaling: &Scaling, limit: F) -> Counts
where
    F: Fn(&Subject) -> u32,
{
    let mut zones: Vec<(&Name, f64)> = scaling.zone_prices.iter().map(|(n, p)| (n, *p)).collect();
    zones.sort_by(|(_, a), (_, b)| a.total_cmp(b));
    zones.truncate(MAX_ZONES);
    let spread = Spread {
        needed,
        scaling,
        limit,
    };
    let subsets = 1_u32..1 << zones.len();
    let layouts = subsets.map(|subset| {
        let is_used = |zone: usize| subset & (1 << zone) != 0;
        let used = (0..zones.len()).map(|i| (zones[i].0, is_used(i)));
        spread.over(&used.collect::<Vec<_>>())
    });
    // A layout that leaves enough is better than any other; of those the cheapest is.
    let rating = |counts: &Counts| {
        let left = counts.left_after_loss().min(needed);
        (needed - left, counts.price(scaling))
    };
    let rated = layouts.map(|counts| (rating(&counts), counts));
    let best = rated.min_by(|((lack_a, price_a), _), ((lack_b, price_b), _)| {
        lack_a.cmp(lack_b).then(price_a.total_cmp(price_b))
    });
    best.map(|(_rating, counts)| counts).unwrap_or_default()
}

struct Spread<'a, F> {
    needed: u32,
    scaling: &'a Scaling,
    limit: F,
}

impl<F> Spread<'_, F>
where
    F: Fn(&Subject) -> u32,
{
    /// The smallest equal number in the zones in use that leaves enough, with the minimum in the others.
    fn over(&self, zones: &[(&Name, bool)]) -> Counts {
        let used = zones.iter().filter(|(_zone, is_used)| *is_used).count();
        let regular = f64::from(self.needed) * REGULAR_SHARE / used as f64;
        let regular = (regular.ceil() as u32).max(1);
        // In the only zone, spot runners would be lost together.
        let regular = if zones.len() == 1 {
            self.needed
        } else {
            regular
        };
        let first = self.scaling.min.max(1).min(self.scaling.max);
        let mut counts = Counts::default();
        for each in first..=self.scaling.max {
            for (zone, is_used) in zones {
                let each = if *is_used { each } else { self.scaling.min };
                self.fill(&mut counts, zone, each, regular);
            }
            if counts.left_after_loss() >= self.needed {
                break;
            }
        }
        counts
    }

    fn fill(&self, counts: &mut Counts, zone: &Name, runners: u32, regular: u32) {
        let subject = |kind: RunnerKind| Subject {
            zone: Name::clone(zone),
            kind,
        };
        let (of_regular, of_spot) = (subject(RunnerKind::Regular), subject(RunnerKind::Spot));
        let is_cheaper = price_of(self.scaling, &of_spot) < price_of(self.scaling, &of_regular);
        let most_spot = if is_cheaper {
            (self.limit)(&of_spot)
        } else {
            0
        };
        let most_regular = (self.limit)(&of_regular);
        let spot = runners
            .saturating_sub(regular.min(most_regular))
            .min(most_spot);
        let regular = (runners - spot).min(most_regular);
        counts.set(of_regular, regular);
        counts.set(of_spot, spot);
    }
}
