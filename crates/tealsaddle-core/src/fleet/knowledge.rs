//! How old a node's knowledge of the store is, and when it is in doubt.
//!
//! What the store has acknowledged binds all nodes within a bound, such as that a runner is about to stop. A node
//! that has not heard for long that nothing has changed may not know it, so it keeps the time as of which its
//! knowledge was complete. Silence is no such word: the answer to a waiting call may have been lost.

/// Part of the bound after which the source of the knowledge confirms it, if nothing has changed.
const CONFIRM_SHARE: f64 = 0.25;
/// Part of the bound that a source may take beyond that before it counts as failed.
const LATE_SHARE: f64 = 0.2;
/// Part of the bound that is left for the way of an answer with changes.
const WAY_SHARE: f64 = 0.05;
/// Part of the bound from which a source is overdue whose last word is that old.
const OVERDUE_SHARE: f64 = 0.375;
/// Part of the bound from which the knowledge is in doubt. The rest is for the requests that are under way to a
/// runner by then.
const DOUBT_SHARE: f64 = 0.55;
/// Part of the bound for which a runner's own answer stands for the knowledge.
const WORD_SHARE: f64 = 0.75;

/// Times that follow from the bound within which acknowledged changes bind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreshnessTerms {
    /// Time after which a source answers that nothing has changed.
    pub confirm_us: u64,
    /// Time after which a source that has not answered counts as failed.
    pub source_timeout_us: u64,
    /// Time that is left for the way of an answer with changes.
    pub way_us: u64,
    /// Age of its last word from which a source is overdue.
    pub overdue_us: u64,
    /// Age from which the knowledge is in doubt.
    pub doubt_us: u64,
    /// Age up to which an answer of a runner shows that it is not about to stop.
    pub word_us: u64,
}

impl FreshnessTerms {
    /// The times for a bound.
    ///
    /// # Examples
    ///
    /// ```
    /// use tealsaddle_core::fleet::knowledge::FreshnessTerms;
    ///
    /// let terms = FreshnessTerms::of_bound(2_000_000);
    /// assert_eq!(terms.confirm_us, 500_000);
    /// assert!(terms.source_timeout_us < terms.doubt_us);
    /// ```
    pub fn of_bound(bound_us: u64) -> Self {
        let share = |share: f64| (bound_us as f64 * share) as u64;
        Self {
            confirm_us: share(CONFIRM_SHARE),
            source_timeout_us: share(CONFIRM_SHARE + LATE_SHARE),
            way_us: share(WAY_SHARE),
            overdue_us: share(OVERDUE_SHARE),
            doubt_us: share(DOUBT_SHARE),
            word_us: share(WORD_SHARE),
        }
    }

    /// Returns the time as of which the answer to a call is complete that was sent at `asked_us`, was answered at
    /// `heard_us` with changes, and had waited for them. Such an answer is made as soon as there are any; part of the
    /// bound is left for its way, and more than that makes the call time out before the bound is reached.
    pub fn as_of_changes_us(&self, asked_us: u64, heard_us: u64) -> u64 {
        asked_us.max(heard_us.saturating_sub(self.way_us))
    }

    /// Returns for how long a source may hold back its answer to a node whose knowledge has this age; `None` if the
    /// source is overdue.
    pub const fn patience_us(&self, age_us: u64) -> Option<u64> {
        self.overdue_us.checked_sub(age_us)
    }
}

/// The time as of which a node's knowledge of the store was complete.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[expect(
    clippy::struct_field_names,
    reason = "fields carry their unit as a suffix"
)]
pub struct Knowledge {
    /// On the clock of the node; 0 before the first confirmation.
    as_of_us: u64,
    /// The first such time; `None` before it.
    begun_us: Option<u64>,
    /// The first such time after the knowledge was last in doubt.
    resumed_us: u64,
}

impl Knowledge {
    /// Records at `now_us` that the knowledge was complete at `as_of_us`. An earlier time than one before has no effect.
    pub fn on_confirmed(&mut self, as_of_us: u64, terms: &FreshnessTerms, now_us: u64) {
        if self.begun_us.is_none() || self.is_doubtful(terms, now_us) {
            self.resumed_us = self.resumed_us.max(as_of_us);
        }
        self.begun_us.get_or_insert(as_of_us);
        self.as_of_us = self.as_of_us.max(as_of_us);
    }

    /// Returns the time as of which the knowledge was first complete; `None` before it was.
    pub const fn begun_us(&self) -> Option<u64> {
        self.begun_us
    }

    /// Returns since when the knowledge has not been in doubt. What came and went before that may be missing from it.
    pub const fn resumed_us(&self) -> u64 {
        self.resumed_us
    }

    /// Returns the time as of which the knowledge was complete.
    pub const fn as_of_us(&self) -> u64 {
        self.as_of_us
    }

    /// Returns the age of the knowledge; without any, all the time that the clock has counted.
    pub const fn age_us(&self, now_us: u64) -> u64 {
        now_us.saturating_sub(self.as_of_us)
    }

    /// Returns whether changes may bind by now that the node does not know.
    pub const fn is_doubtful(&self, terms: &FreshnessTerms, now_us: u64) -> bool {
        self.age_us(now_us) > terms.doubt_us
    }
}

/// Returns the time as of which an answer was complete that came after it was held for `held_us`, to a question that
/// was sent at `asked_us`, if the one who answered had knowledge of the age `age_us` then.
///
/// The time on the way counts as age, since it is not known on which way it passed.
pub const fn as_of_answer_us(asked_us: u64, held_us: u64, age_us: u64) -> u64 {
    (asked_us + held_us).saturating_sub(age_us)
}
