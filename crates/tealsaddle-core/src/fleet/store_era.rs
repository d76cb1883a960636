//! The era of the store, a number that rises each time the store comes back from an older copy.
//!
//! Within an era revisions only grow; in a later one they are given out again.

use std::cmp::Ordering;

/// The newest era that was seen; none if the store has not told any.
#[derive(Debug, Clone, Default)]
pub struct StoreEra(Option<u64>);

impl StoreEra {
    /// Returns the newest era that was seen.
    pub const fn current(&self) -> Option<u64> {
        self.0
    }

    /// Takes the era of an answer, as far as the store tells; returns whether it is later than one seen before.
    ///
    /// # Examples
    ///
    /// ```
    /// use tealsaddle_core::fleet::store_era::StoreEra;
    ///
    /// let mut era = StoreEra::default();
    /// assert!(!era.rises_to(Some(3)));
    /// assert!(!era.rises_to(None));
    /// assert!(era.rises_to(Some(4)));
    /// assert!(!era.rises_to(Some(3)));
    /// ```
    pub fn rises_to(&mut self, era: Option<u64>) -> bool {
        let has_risen = self.0.is_some() && era > self.0;
        self.0 = self.0.max(era);
        has_risen
    }
}

/// What the era of an answer says about a value that was obtained in another answer of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EraCheck {
    /// Both are of one era: revisions and leases mean the same in both.
    Same,
    /// The store has come back from an older copy since: the value means nothing any more.
    Later,
    /// The answer tells no era although the store has one, or an earlier one. It proves nothing.
    Uncertain,
}

/// Compares the era of an answer with that in which a value was obtained.
///
/// # Examples
///
/// ```
/// use tealsaddle_core::fleet::store_era::{EraCheck, check};
///
/// assert_eq!(check(None, None), EraCheck::Same);
/// assert_eq!(check(Some(3), Some(3)), EraCheck::Same);
/// assert_eq!(check(Some(3), Some(4)), EraCheck::Later);
/// assert_eq!(check(None, Some(4)), EraCheck::Later);
/// assert_eq!(check(Some(3), None), EraCheck::Uncertain);
/// assert_eq!(check(Some(3), Some(2)), EraCheck::Uncertain);
/// ```
pub fn check(obtained: Option<u64>, answered: Option<u64>) -> EraCheck {
    match answered.cmp(&obtained) {
        Ordering::Equal => EraCheck::Same,
        Ordering::Greater => EraCheck::Later,
        Ordering::Less => EraCheck::Uncertain,
    }
}
