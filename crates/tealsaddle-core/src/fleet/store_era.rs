//! The era of the store, a number that rises each time the store comes back from an older copy.
//!
//! Within an era revisions only grow; in a later one they are given out again.

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
