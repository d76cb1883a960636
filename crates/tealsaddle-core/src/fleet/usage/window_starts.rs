//! Where the windows begin in the counts of one process.

use std::collections::BTreeMap;
use std::ops::Range;

/// First bucket of each window in the log of a process, as fixed by the first answer for the window or for the one before.
///
/// A window that is asked for later begins where the one before has ended in the answer, even if the question came late or the
/// estimate of the true time has changed.
#[derive(Debug, Default)]
pub struct WindowStarts {
    /// Number of the first bucket by window.
    starts: BTreeMap<u64, u64>,
}

impl WindowStarts {
    /// The buckets of a window. `asked` are those that the question names; they hold where nothing is fixed yet.
    pub fn buckets_of(&mut self, window: u64, asked: Range<u64>) -> Range<u64> {
        let start = *self.starts.entry(window).or_insert(asked.start);
        let next = self.starts.entry(window.saturating_add(1));
        let end = *next.or_insert(asked.end.max(start));
        start..end
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
