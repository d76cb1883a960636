//! Shares of the customers of one service at one node.

use super::{CustomerDemand, Report, STALE_US, Summary, largest_first};
use crate::collections::HashMap;
use crate::decaying_rate::DecayingRate;
use crate::name::Name;

/// Time constant of the demand of a customer. With a longer one, a customer that begins would take more than its share
/// for longer than the bounds allow.
const DEMAND_WINDOW_US: u64 = 2_000_000;
/// Time constant of the work that is served, by which the capacity is estimated.
const SERVED_WINDOW_US: u64 = 2_000_000;
/// Time constant of the work that runners turn away.
const TURNED_AWAY_WINDOW_US: u64 = 1_000_000;
/// Burst of a customer, in seconds of its share at this node. The bound on what a customer gets allows for one.
const BURST_S: f64 = 1.0;
/// Share of the burst that is available when a customer becomes limited.
const FIRST_BURST: f64 = 0.5;
/// Largest number of customers in a report.
const MAX_CUSTOMERS: usize = 16;
/// Time after its last request for which a customer is kept.
const IDLE_US: u64 = 30_000_000;
/// Time for which a level that covered most nodes is used although later summaries cover few.
const KEEP_US: u64 = 60_000_000;
/// Ratio of the measured demand of a customer to its share from which the customer is limited. Demand is measured over few
/// requests; without a margin, a customer that asks for no more than its share would be refused now and then.
const MEASURED_ABOVE: f64 = 1.15;
/// The same while nodes are silent, which give the customer a part of its share as well.
const MEASURED_ABOVE_BESIDE_SILENT: f64 = 1.05;
/// Part of the level by which a customer is far above it.
const FAR_ABOVE: f64 = 0.25;
/// Age of a level from which the mean of the last levels is used in its place: summaries come once a second.
const LEVEL_AGE_US: u64 = 1_500_000;
/// Weight of the newest level in the mean of the levels.
const MEAN_WEIGHT: f64 = 0.2;
/// Part of its share here that a customer far above the level gets from a node that hears nothing: the other nodes give it
/// up to two thirds of the level even if most of its callers reach silent nodes.
const UNHEARD_PART: f64 = 0.6;
/// Use of the runners' places below which a node that hears nothing raises the level. Refusals alone don't tell: the other
/// nodes keep the runners just below their capacity.
const UNHEARD_BUSY: f64 = 0.5;
/// Factor per second on [`UNHEARD_PART`] then, and on the level once that is 1.
const UNHEARD_GROWTH: f64 = 1.02;
/// Work that a customer below the level may ask for at a node that hears nothing, beyond what it asked for here before, as a
/// part of the level.
const UNHEARD_MARGIN: f64 = 0.25;
/// Work that a new customer may ask for there, as a factor on an equal part of the level for each node. One that reaches a
/// third of the nodes gets half of the level.
const NEWCOMER_PARTS: f64 = 1.5;
/// Shortest and longest time until a refused customer is asked to return.
const MIN_WAIT_US: f64 = 100_000.0;
const MAX_WAIT_US: f64 = 60_000_000.0;

/// A request of a customer that has used its share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OverShare {
    /// Time until the share at this node has capacity again.
    pub wait_us: u64,
    /// Share of the customer in the fleet, in microseconds of runner time per second.
    pub share_us_per_s: f64,
    /// Part of it that is available at this node.
    pub here_us_per_s: f64,
    /// Work of the customer that was admitted at this node.
    pub used_us_per_s: f64,
    /// Age of the summary that was used.
    pub age_us: u64,
}

#[derive(Debug, Default)]
struct Account {
    asked: DecayingRate,
    used: DecayingRate,
    /// Work left in the token bucket; `None` while the customer is not limited.
    bucket_us: Option<f64>,
    refilled_us: u64,
    /// Work asked for here when the last summary was received.
    asked_when_heard: f64,
}

/// A summary, as a node uses it.
#[derive(Debug)]
struct Known {
    capacity_us_per_s: Option<f64>,
    level_us_per_s: Option<f64>,
    /// Mean of the levels of the last seconds, for the time in which no further one is heard.
    mean_level_us_per_s: Option<f64>,
    silent_ratio: f64,
    /// Work that the customers near or above the level ask for at the other nodes.
    elsewhere: HashMap<Name, f64>,
    /// Whether the summary covered most nodes.
    is_complete: bool,
    /// Part of its share here that a customer far above the level gets while no further summary is heard.
    unheard_part: f64,
    heard_us: u64,
}

/// Shares of the customers of one service at one node.
#[derive(Debug, Default)]
pub struct NodeShares {
    accounts: HashMap<Name, Account>,
    served: DecayingRate,
    tried: DecayingRate,
    turned_away: DecayingRate,
    known: Option<Known>,
    registered: u32,
    /// When the level of a node that hears nothing was last increased.
    grown_us: u64,
}

impl NodeShares {
    /// Admits or refuses a request of a customer, which is expected to take `work_us` of runner time.
    pub fn on_request(
        &mut self,
        customer: &Name,
        work_us: f64,
        now_us: u64,
    ) -> Result<(), OverShare> {
        let known = self.known.as_ref();
        let level = known.and_then(|known| known.level_at(now_us));
        if !self.accounts.contains_key(customer) {
            let account = Account::default();
            self.accounts.insert(Name::clone(customer), account);
        }
        let account = self.accounts.get_mut(customer);
        let account = account.expect("the account was inserted above");
        account.asked.add(work_us, now_us, DEMAND_WINDOW_US);
        if let (Some(known), Some(level)) = (known, level) {
            let here = known.share_here(customer, account, level, self.registered, now_us);
            account.refill(here, now_us);
            // A request is admitted while the bucket is above zero and may overdraw it. Otherwise a request that is larger
            // than the bucket would always be refused.
            if let (Some(here), Some(bucket_us)) = (here, account.bucket_us)
                && bucket_us <= 0.0
            {
                let wait_us = (1.0 - bucket_us) / here.max(1.0) * 1e6;
                return Err(OverShare {
                    wait_us: wait_us.clamp(MIN_WAIT_US, MAX_WAIT_US) as u64,
                    share_us_per_s: level,
                    here_us_per_s: here,
                    used_us_per_s: account.used.at(now_us, DEMAND_WINDOW_US),
                    age_us: now_us.saturating_sub(known.heard_us),
                });
            }
        } else {
            account.bucket_us = None;
        }
        account.on_used(work_us, now_us);
        self.served.add(work_us, now_us, SERVED_WINDOW_US);
        self.tried.add(work_us, now_us, TURNED_AWAY_WINDOW_US);
        Ok(())
    }

    /// Records that no runner has taken an admitted request, for want of capacity.
    pub fn on_turned_away(&mut self, customer: &Name, work_us: f64, now_us: u64) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.on_used(-work_us, now_us);
        }
        self.served.add(-work_us, now_us, SERVED_WINDOW_US);
        self.turned_away.add(work_us, now_us, TURNED_AWAY_WINDOW_US);
    }

    /// Returns the level by which customers are limited; `None` if none is.
    pub fn level_us_per_s(&self) -> Option<f64> {
        self.known.as_ref().and_then(|known| known.level_us_per_s)
    }

    /// Returns whether there are requests to report.
    pub fn is_in_use(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Returns the report of this node, to be sent once a second. `busy` is the mean use of the runners' places.
    pub fn report(&mut self, busy: f64, now_us: u64) -> Report {
        self.accounts
            .retain(|_customer, account| now_us < account.asked.updated_us() + IDLE_US);
        self.raise_unheard_level(busy, now_us);
        let customers = self.accounts.iter().map(|(customer, account)| {
            let asked_us_per_s = account.asked.at(now_us, DEMAND_WINDOW_US);
            CustomerDemand {
                customer: Name::clone(customer),
                asked_us_per_s,
            }
        });
        let mut customers: Vec<CustomerDemand> = customers.collect();
        let asked_us_per_s = customers.iter().map(|demand| demand.asked_us_per_s).sum();
        let known = self.known.as_ref();
        let capacity_us_per_s = known.and_then(|known| known.capacity_us_per_s);
        if capacity_us_per_s.is_some() {
            largest_first(&mut customers, MAX_CUSTOMERS);
        } else {
            customers.clear();
        }
        let turned_away = self.turned_away.at(now_us, TURNED_AWAY_WINDOW_US);
        Report {
            nodes: 1,
            asked_us_per_s,
            served_us_per_s: self.served.at(now_us, SERVED_WINDOW_US).max(0.0),
            tried_us_per_s: self.tried.at(now_us, TURNED_AWAY_WINDOW_US),
            turned_away_us_per_s: turned_away,
            busy,
            capacity_us_per_s,
            customers,
        }
    }

    /// Applies a summary of a fleet with `registered` nodes; 0 if that is not known. A summary of few nodes is used only
    /// by a node that knows no level of most nodes; returns whether it is used.
    /// One that covers no node is not.
    pub fn on_summary(&mut self, summary: &Summary, registered: u32, now_us: u64) -> bool {
        self.registered = registered;
        if summary.nodes == 0 {
            return false;
        }
        let is_complete = u64::from(summary.nodes) * 3 >= u64::from(registered) * 2;
        let is_better = |known: &Known| {
            let is_recent = now_us < known.heard_us + KEEP_US;
            known.is_complete && known.level_us_per_s.is_some() && is_recent
        };
        if !is_complete && self.known.as_ref().is_some_and(is_better) {
            return false;
        }
        for account in self.accounts.values_mut() {
            account.asked_when_heard = account.asked.at(now_us, DEMAND_WINDOW_US);
        }
        let elsewhere = summary.customers.iter().map(|demand| {
            let account = self.accounts.get(&demand.customer);
            let here = account.map_or(0.0, |account| account.asked_when_heard);
            let elsewhere = (demand.asked_us_per_s - here).max(0.0);
            (Name::clone(&demand.customer), elsewhere)
        });
        let elsewhere = elsewhere.collect();
        let mean = self
            .known
            .as_ref()
            .and_then(|known| known.mean_level_us_per_s);
        let mean_level_us_per_s = summary.level_us_per_s.map(|level| {
            let mean = mean.unwrap_or(level);
            mean + MEAN_WEIGHT * (level - mean)
        });
        self.known = Some(Known {
            capacity_us_per_s: summary.capacity_us_per_s,
            level_us_per_s: summary.level_us_per_s,
            mean_level_us_per_s,
            silent_ratio: summary.silent_ratio,
            elsewhere,
            is_complete,
            unheard_part: UNHEARD_PART,
            heard_us: now_us,
        });
        true
    }

    /// Raises the level of a node that hears nothing while the runners have places, and drops what was known long
    /// ago.
    fn raise_unheard_level(&mut self, busy: f64, now_us: u64) {
        let Some(known) = &mut self.known else {
            return;
        };
        if known.heard_us + KEEP_US <= now_us {
            self.known = None;
            return;
        }
        let turned_away = self.turned_away.at(now_us, TURNED_AWAY_WINDOW_US);
        let has_places = turned_away < 1.0 && busy < UNHEARD_BUSY;
        let elapsed_s = now_us.saturating_sub(self.grown_us).min(1_000_000) as f64 / 1e6;
        self.grown_us = now_us;
        if known.is_silent(now_us)
            && has_places
            && let Some(level) = &mut known.mean_level_us_per_s
        {
            let growth = UNHEARD_GROWTH.powf(elapsed_s);
            if known.unheard_part < 1.0 {
                known.unheard_part = (known.unheard_part * growth).min(1.0);
            } else {
                *level *= growth;
            }
        }
    }
}

impl Known {
    const fn is_silent(&self, now_us: u64) -> bool {
        self.heard_us + STALE_US < now_us
    }

    fn level_at(&self, now_us: u64) -> Option<f64> {
        if self.heard_us + LEVEL_AGE_US < now_us {
            self.mean_level_us_per_s
        } else {
            self.level_us_per_s
        }
    }

    fn measured_above(&self) -> f64 {
        if self.silent_ratio > 1.0 {
            MEASURED_ABOVE_BESIDE_SILENT
        } else {
            MEASURED_ABOVE
        }
    }

    /// Work per second of a customer that the nodes of the summary together may admit. With silent nodes, a customer up to
    /// the level gets all that it asks for, since it may reach no silent node. One that asks for much more gets the silent
    /// nodes' part of its share there.
    fn share_of(&self, level: f64, asked: f64) -> f64 {
        let excess = ((asked / level - 1.0) / FAR_ABOVE).clamp(0.0, 1.0);
        level * (1.0 - (1.0 - 1.0 / self.silent_ratio) * excess)
    }

    /// Work per second of a customer for which this node may admit requests; `None` if it is not limited.
    fn share_here(
        &self,
        customer: &Name,
        account: &Account,
        level: f64,
        registered: u32,
        now_us: u64,
    ) -> Option<f64> {
        let here = account.asked.at(now_us, DEMAND_WINDOW_US);
        if let Some(elsewhere) = self.elsewhere.get(customer) {
            let asked = elsewhere + here;
            let part = if self.is_silent(now_us) && asked > level * (1.0 + FAR_ABOVE) {
                self.unheard_part
            } else {
                1.0
            };
            return (asked > level * self.measured_above())
                .then(|| self.share_of(level, asked) * part * here / asked);
        }
        // The customer asked for less than the level, or is new.
        let most = if self.is_silent(now_us) {
            let part = level / f64::from(registered.max(1));
            let known = account.asked_when_heard;
            if known > 0.0 {
                (known + level * UNHEARD_MARGIN).min(level)
            } else {
                part * NEWCOMER_PARTS
            }
        } else {
            level
        };
        (here > most * MEASURED_ABOVE).then_some(most)
    }
}

impl Account {
    fn refill(&mut self, here: Option<f64>, now_us: u64) {
        let elapsed_s = now_us.saturating_sub(self.refilled_us) as f64 / 1e6;
        self.refilled_us = self.refilled_us.max(now_us);
        self.bucket_us = here.map(|here| {
            let first = here * BURST_S * FIRST_BURST;
            let bucket_us = self.bucket_us.unwrap_or(first);
            here.mul_add(elapsed_s, bucket_us).min(here * BURST_S)
        });
    }

    fn on_used(&mut self, work_us: f64, now_us: u64) {
        self.used.add(work_us, now_us, DEMAND_WINDOW_US);
        if let Some(bucket_us) = &mut self.bucket_us {
            *bucket_us -= work_us;
        }
    }
}
