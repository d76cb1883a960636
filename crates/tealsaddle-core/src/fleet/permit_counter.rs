//! Counts the requests of all nodes to runners that limit them.
//!
//! One node counts for each runner and gives a permit for each request, from a leaky bucket that drains at the
//! runner's limit. While that node cannot be reached, substitutes give a part of the limit.

use super::backpressure::{MEMORY_US, RateObservation};
use crate::collections::HashMap;
use crate::name::Name;

/// Requests that a bucket takes at once.
const BURST: f64 = 2.0;
/// Smallest limit in requests a second: without any request it would not show that a limit has ended.
pub const MIN_LIMIT_PER_S: f64 = 0.1;
/// Share of the limit that all substitutes give together, beside the whole one of the counting node.
const SUBSTITUTE_SHARE: f64 = 0.5;
/// Smallest share of the nodes that a substitute is taken to reach, so that it gives any permit.
const MIN_REACH: f64 = 0.001;
/// Longest time after which a refused request is told to return.
const MAX_RETURN_US: u64 = 10_000_000;

/// What a node knows of a runner and tells the one that counts.
#[derive(Debug, Clone, PartialEq)]
pub struct RunnerTerms {
    /// Id of the runner.
    pub runner: Name,
    /// Start of its process, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Whether the process is about to stop.
    pub is_leaving: bool,
    /// Its limit, by the clock of the node that has this.
    pub rate: RateObservation,
}

/// Position of the node that counts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CounterRole {
    /// It is the first node by its own list.
    First,
    /// It stands in for the first one.
    Substitute {
        /// Share of all nodes that it reaches.
        reach: f64,
    },
}

/// A request for a permit.
#[derive(Debug, Clone)]
pub struct Ask {
    /// Id of the runner.
    pub runner: Name,
    /// Longest time for which the request waits for its permit.
    pub max_wait_us: u64,
}

/// Reply to a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// The request may be sent after this time.
    Granted {
        /// Time to wait; 0 for a runner without a limit.
        wait_us: u64,
    },
    /// There is no place within the time that the request waits.
    Denied {
        /// Time until there is a place again.
        wait_us: u64,
        /// Time after which the caller is to return; each denial gets a later one.
        return_us: u64,
    },
}

/// What a runner's terms changed at the node that counts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TermsChange {
    /// Whether the runner has begun to ask for something, which all nodes should know.
    pub has_begun: bool,
    /// Whether its limit has ended.
    pub has_ended: bool,
}

/// Requests of the nodes to one process of a runner.
#[derive(Debug, Default)]
struct Account {
    started_unix_ms: u64,
    is_leaving: bool,
    rate: RateObservation,
    /// Permits that the limit has not made room for yet.
    level: f64,
    /// Denied requests that were told to return and that the limit has not made room for yet.
    returning: f64,
    updated_us: u64,
    /// When a node last told what it knows.
    told_us: u64,
}

impl Account {
    /// The rate at which permits are given.
    fn rate_per_s(&self, role: CounterRole) -> Option<f64> {
        let limit = self.rate.limit_per_s?.max(MIN_LIMIT_PER_S);
        Some(match role {
            CounterRole::First => limit,
            CounterRole::Substitute { reach } => {
                limit * SUBSTITUTE_SHARE * reach.clamp(MIN_REACH, 1.0)
            }
        })
    }

    /// Lets the buckets drain until now.
    fn drain(&mut self, rate_per_s: f64, now_us: u64) {
        let drained = rate_per_s * now_us.saturating_sub(self.updated_us) as f64 / 1e6;
        self.level = (self.level - drained).max(0.0);
        self.returning = (self.returning - drained).max(0.0);
        self.updated_us = now_us;
    }

    fn on_ask(&mut self, ask: &Ask, role: CounterRole, now_us: u64) -> Reply {
        let Some(rate_per_s) = self.rate_per_s(role) else {
            return Reply::Granted { wait_us: 0 };
        };
        if self.updated_us == 0 && role != CounterRole::First {
            // The counting node may have given all of its burst just before.
            self.level = BURST;
            self.updated_us = now_us;
        }
        self.drain(rate_per_s, now_us);
        let wait_us = (self.level - (BURST - 1.0)).max(0.0) / rate_per_s * 1e6;
        let wait_us = wait_us.ceil() as u64;
        if wait_us <= ask.max_wait_us {
            self.level += 1.0;
            return Reply::Granted { wait_us };
        }
        let return_us = wait_us + (self.returning / rate_per_s * 1e6) as u64;
        self.returning += 1.0;
        Reply::Denied {
            wait_us,
            return_us: return_us.min(wait_us.max(MAX_RETURN_US)),
        }
    }
}

/// The accounts of the runners for which nodes ask this one.
#[derive(Debug, Default)]
pub struct PermitCounter {
    accounts: HashMap<Name, Account>,
}

impl PermitCounter {
    /// Takes over what a node knows of a runner, by the clock of this node.
    pub fn on_terms(&mut self, terms: &RunnerTerms, now_us: u64) -> TermsChange {
        let account = self.accounts.entry(Name::clone(&terms.runner)).or_default();
        if account.started_unix_ms > terms.started_unix_ms {
            // The process has ended since.
            return TermsChange::default();
        }
        if account.started_unix_ms < terms.started_unix_ms {
            *account = Account {
                started_unix_ms: terms.started_unix_ms,
                ..Account::default()
            };
        }
        account.told_us = now_us;
        let (was_leaving, was_limited) = (account.is_leaving, account.rate.limit_per_s.is_some());
        account.is_leaving |= terms.is_leaving;
        account.rate.merge(terms.rate);
        let is_limited = account.rate.limit_per_s.is_some();
        TermsChange {
            has_begun: (is_limited && !was_limited) || (account.is_leaving && !was_leaving),
            has_ended: was_limited && !is_limited,
        }
    }

    /// Gives or denies a permit. A runner of which this node knows nothing is not limited.
    pub fn on_ask(&mut self, ask: &Ask, role: CounterRole, now_us: u64) -> Reply {
        match self.accounts.get_mut(&ask.runner) {
            Some(account) => account.on_ask(ask, role, now_us),
            None => Reply::Granted { wait_us: 0 },
        }
    }

    /// What is known of a runner.
    pub fn terms(&self, runner: &Name) -> Option<RunnerTerms> {
        let account = self.accounts.get(runner)?;
        Some(RunnerTerms {
            runner: Name::clone(runner),
            started_unix_ms: account.started_unix_ms,
            is_leaving: account.is_leaving,
            rate: account.rate,
        })
    }

    /// Drops the accounts of runners that have not been registered for long; `is_registered` tells whether they are.
    pub fn forget<F>(&mut self, is_registered: F, now_us: u64)
    where
        F: Fn(&Name) -> bool,
    {
        let is_recent = |account: &Account| account.told_us + MEMORY_US > now_us;
        self.accounts
            .retain(|runner, account| is_registered(runner) || is_recent(account));
    }
}
