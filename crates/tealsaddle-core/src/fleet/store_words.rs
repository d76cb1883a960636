//! When the store is known to have answered, and which outages that leaves room for.
//!
//! A registration disappears if its runner has left, and also if the store was away for so long that the runner could
//! not renew it. A node that has heard nothing for a while cannot tell one from the other by its own silence: its source
//! among the nodes may have been silent, or it was frozen itself. What tells them apart is whether the store answered
//! *anyone* meanwhile. So each node keeps the times of such answers, its own and those that other nodes tell.

/// Time after the return of the store within which runners register again.
pub const REREGISTRATION_WINDOW_US: u64 = 2_000_000;
/// Age beyond the newest word at which words are dropped.
const HISTORY_US: u64 = 12_000_000;
/// Silence that is left between words where there are more of them.
const SPACING_US: u64 = 300_000;

/// An answer of the store, given at some time of this span on the clock of the node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreWord {
    /// Earliest time at which the store can have given the answer.
    pub from_us: u64,
    /// Latest such time.
    pub to_us: u64,
}

/// The latest answers of the store to any node, as far as this node knows.
#[derive(Debug, Clone)]
pub struct StoreWords {
    /// Shortest outage in which registrations may lapse.
    min_outage_us: u64,
    /// Sorted by their beginnings.
    words: Vec<StoreWord>,
}

impl StoreWords {
    /// Creates an empty list. Runners renew their registrations each `renewal_us`: an outage in which at most one
    /// renewal falls lets none lapse.
    pub const fn open(renewal_us: u64) -> Self {
        Self {
            min_outage_us: renewal_us,
            words: Vec::new(),
        }
    }

    /// Records an answer to a call of this node, or one that another node has told of.
    ///
    /// # Examples
    ///
    /// ```
    /// use tealsaddle_core::fleet::store_words::{StoreWord, StoreWords};
    ///
    /// let word = |us| StoreWord { from_us: us, to_us: us };
    /// let mut words = StoreWords::open(1_200_000);
    /// words.on_word(word(1_000_000));
    /// words.on_word(word(4_000_000));
    /// assert_eq!(words.outage_end_us(), Some(4_000_000));
    /// words.on_word(word(2_000_000));
    /// words.on_word(word(3_000_000));
    /// assert_eq!(words.outage_end_us(), None);
    /// ```
    pub fn on_word(&mut self, word: StoreWord) {
        let place = self.words.partition_point(|other| *other < word);
        self.words.insert(place, word);
        self.drop_needless(place);
        if let Some(before) = place.checked_sub(1) {
            self.drop_needless(before);
        }
        self.drop_old();
    }

    /// Drops a word whose neighbours leave no longer silence without it than the spacing.
    fn drop_needless(&mut self, place: usize) {
        let before = place
            .checked_sub(1)
            .and_then(|before| self.words.get(before));
        let (Some(before), Some(after)) = (before, self.words.get(place + 1)) else {
            return;
        };
        if after.to_us.saturating_sub(before.from_us) < SPACING_US {
            self.words.remove(place);
        }
    }

    /// Drops what is older than the history, but for one word that a silence may be measured from.
    fn drop_old(&mut self) {
        let newest_us = self.words.last().map_or(0, |word| word.from_us);
        let begin_us = newest_us.saturating_sub(HISTORY_US);
        let old = self.words.partition_point(|word| word.from_us < begin_us);
        self.words.drain(..old.saturating_sub(1));
    }

    /// Returns the end of the latest outage that may have let registrations lapse; `None` if there was no room for one.
    pub fn outage_end_us(&self) -> Option<u64> {
        let mut earliest_answer_us = u64::MAX;
        for pair in self.words.windows(2).rev() {
            earliest_answer_us = earliest_answer_us.min(pair[1].to_us);
            if earliest_answer_us.saturating_sub(pair[0].from_us) >= self.min_outage_us {
                return Some(earliest_answer_us);
            }
        }
        None
    }

    /// Returns the time until which a registration that disappears now may come back, or `None` if its runner has left.
    pub fn keep_until_us(&self, now_us: u64) -> Option<u64> {
        let until_us = self.outage_end_us()? + REREGISTRATION_WINDOW_US;
        (until_us > now_us).then_some(until_us)
    }

    /// Returns the answers that were given at `since_us` or later.
    pub fn since(&self, since_us: u64) -> impl Iterator<Item = StoreWord> {
        let words = self.words.iter().copied();
        words.filter(move |word| word.to_us >= since_us)
    }

    /// Returns the beginning of the latest silence that leaves room for an outage; `None` if there was none.
    pub fn silent_since_us(&self) -> Option<u64> {
        let end_us = self.outage_end_us()?;
        let earlier = self.words.iter().rev().find(|word| word.to_us < end_us);
        earlier.map(|word| word.from_us)
    }
}
