//! Usage reports: how many requests of each customer began to run in each window of true time.
//!
//! Each node counts by its own monotonic clock ([`log::UsageLog`]). The node that reports asks the others for counts by age,
//! so that it alone has to know the true time ([`true_time::TrueTime`]). Where a window began in the counts of a node is kept
//! ([`window_starts::WindowStarts`]), so that adjoining windows count each request once. Which report is due, and whether it is
//! new, recorded or to be sent again, is decided by [`reports::Reports`].

pub mod clock_difference;
pub mod log;
pub mod reports;
pub mod true_time;
pub mod window;
pub mod window_starts;

use std::collections::BTreeMap;

use crate::name::Name;

/// Numbers of requests by customer, sorted by name.
pub type Requests = BTreeMap<Name, u64>;

/// Adds the counts of `other` to `sum`.
pub fn add(sum: &mut Requests, other: &Requests) {
    for (customer, count) in other {
        *sum.entry(Name::clone(customer)).or_default() += count;
    }
}
