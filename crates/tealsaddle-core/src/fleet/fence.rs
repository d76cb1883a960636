//! Fencing tokens that grow although the store may come back from an older copy.
//!
//! A holder's token follows from the revision at which its key was written. Revisions grow within an era of the store and
//! are given out again in a later one, so each era adds a step that exceeds what the store can have lost. While the store
//! has never come back, the token is the bare revision, as holders of earlier builds have it: two builds side by side give
//! tokens of one sequence. For that the first era of the system is recorded beside the holder's key.

/// What each era adds: more changes than are ever lost with a copy. A store that makes 3,200 changes a second needs 15 days
/// for as many.
pub const ERA_STEP: u64 = 1 << 32;
/// Largest token: readers that take JSON numbers as double-precision floats tell all whole numbers up to it apart.
pub const MAX_FENCE: u64 = (1 << 53) - 1;

/// Where a holder's key was written, and since when the system counts eras.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct HolderPosition {
    /// Revision of the key.
    pub revision: u64,
    /// Era of the store in which it was written; `None` if the store does not tell.
    pub era: Option<u64>,
    /// Era in which the system began to order; `None` if the store does not tell.
    pub first_era: Option<u64>,
}

impl HolderPosition {
    /// The fencing token; `None` if it would be larger than [`MAX_FENCE`], or the era lies before the first one.
    ///
    /// # Examples
    ///
    /// ```
    /// use tealsaddle_core::fleet::fence::{ERA_STEP, HolderPosition};
    ///
    /// let position = HolderPosition { revision: 900, era: Some(7), first_era: Some(7) };
    /// assert_eq!(position.fence(), Some(900));
    /// let later = HolderPosition { revision: 850, era: Some(8), ..position };
    /// assert_eq!(later.fence(), Some(850 + ERA_STEP));
    /// ```
    pub fn fence(&self) -> Option<u64> {
        let eras = match (self.era, self.first_era) {
            (Some(era), Some(first)) => era.checked_sub(first)?,
            (None, None) => 0,
            (Some(_), None) | (None, Some(_)) => return None,
        };
        let fence = ERA_STEP.checked_mul(eras)?.checked_add(self.revision)?;
        (fence <= MAX_FENCE).then_some(fence)
    }
}
