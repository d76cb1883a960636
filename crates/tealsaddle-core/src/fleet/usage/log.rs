//! Counts of requests by customer and by time, on the monotonic clock of one node.

use std::collections::BTreeMap;
use std::ops::Range;

use super::{Requests, add};
use crate::name::Name;

/// Length of a bucket. A window takes whole buckets, so it is off by at most half of this at each end, 1% of 5 s.
pub const BUCKET_US: u64 = 100_000;

/// Counts of the last seconds or minutes, in buckets of [`BUCKET_US`].
#[derive(Debug, Default)]
pub struct UsageLog {
    /// Counts by number of the bucket: its start divided by its length. Buckets without requests are absent.
    buckets: BTreeMap<u64, Requests>,
}

/// Number of the bucket at this time.
pub const fn bucket_at(time_us: u64) -> u64 {
    time_us / BUCKET_US
}

/// Number of the first bucket of a range that begins at this time: the first one whose middle is not before it.
pub const fn first_bucket_from(time_us: u64) -> u64 {
    (time_us + BUCKET_US / 2) / BUCKET_US
}

impl UsageLog {
    /// Counts a request that begins to run now.
    pub fn count(&mut self, customer: &Name, now_us: u64) {
        let bucket = self.buckets.entry(bucket_at(now_us)).or_default();
        *bucket.entry(Name::clone(customer)).or_default() += 1;
    }

    /// Replaces a bucket. Counts that are told twice are therefore taken once.
    pub fn replace(&mut self, bucket: u64, requests: Requests) {
        self.buckets.insert(bucket, requests);
    }

    /// Sum of the counts in a range of buckets.
    pub fn sum(&self, buckets: Range<u64>) -> Requests {
        let mut sum = Requests::default();
        if buckets.is_empty() {
            return sum;
        }
        for requests in self.buckets.range(buckets).map(|(_bucket, r)| r) {
            add(&mut sum, requests);
        }
        sum
    }

    /// The buckets from one number until before another.
    pub fn buckets(&self, from: u64, to: u64) -> BTreeMap<u64, Requests> {
        if from >= to {
            return BTreeMap::default();
        }
        let range = self.buckets.range(from..to);
        range.map(|(bucket, r)| (*bucket, r.clone())).collect()
    }

    /// Drops the buckets before a time.
    pub fn forget_before(&mut self, time_us: u64) {
        self.buckets = self.buckets.split_off(&bucket_at(time_us));
    }

    /// Whether there are no counts.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }
}
