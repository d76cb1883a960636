//! Where the windows begin in the counts of one process.

use std::collections::BTreeMap;
use std::ops::Range;

/// First bucket of each window in the log of a process, as fixed by the first answer for the window or for the one before.
///
/// A window that is asked for later begins where the one before has ended in the answer, even if the question came late or the
/// estimate of the true time has changed.
#[derive(Debug, Default)]
pub struct WindowStarts {
    /// Bucket in which the process was started; `None` if it is not known.
    first_bucket: Option<u64>,
    /// Number of the first bucket by window.
    starts: BTreeMap<u64, u64>,
}

impl WindowStarts {
    /// The windows of a process that was started in this bucket.
    pub fn since(first_bucket: u64) -> Self {
        Self {
            first_bucket: Some(first_bucket),
            starts: BTreeMap::new(),
        }
    }

    /// The buckets of a window. `asked` are those that the question names; they hold where nothing is fixed yet.
    pub fn buckets_of(&mut self, window: u64, asked: Range<u64>) -> Range<u64> {
        let first = self.first_start(asked.start);
        let start = *self.starts.entry(window).or_insert(first);
        let next = self.starts.entry(window.saturating_add(1));
        let end = *next.or_insert(asked.end.max(start));
        start..end
    }

    /// Start of a window that nothing is fixed for. The process may have been started within the window, but in a bucket that
    /// belongs to the one before; if that one is not asked for, the bucket belongs to this one.
    fn first_start(&self, asked: u64) -> u64 {
        let first_bucket = self.first_bucket.filter(|_first| self.starts.is_empty());
        first_bucket
            .filter(|first| first + 1 == asked)
            .unwrap_or(asked)
    }

    /// The starts of the `count` latest windows.
    pub fn latest(&self, count: usize) -> BTreeMap<u64, u64> {
        let latest = self.starts.iter().rev().take(count);
        latest.map(|(window, start)| (*window, *start)).collect()
    }

    /// Takes over starts that the process itself has told.
    pub fn on_told(&mut self, starts: BTreeMap<u64, u64>) {
        self.starts.extend(starts);
    }

    /// Drops the starts before a bucket.
    pub fn forget_before(&mut self, bucket: u64) {
        self.starts.retain(|_window, start| *start >= bucket);
    }
}
