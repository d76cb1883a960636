//! Exponential average of a rate.

/// Exponential average of a rate, such as work per second. All calls of one value use the same window.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecayingRate {
    per_s: f64,
    updated_us: u64,
}

impl DecayingRate {
    /// Returns the rate per second, decayed to the given time with the time constant `window_us`.
    pub fn at(&self, now_us: u64, window_us: u64) -> f64 {
        let age = now_us.saturating_sub(self.updated_us) as f64 / window_us as f64;
        self.per_s * (-age).exp()
    }

    /// Adds an amount at the given time.
    pub fn add(&mut self, amount: f64, now_us: u64, window_us: u64) {
        self.per_s = self.at(now_us, window_us) + amount * 1e6 / window_us as f64;
        self.updated_us = self.updated_us.max(now_us);
    }

    /// Returns the time of the last addition; 0 before the first.
    pub const fn updated_us(&self) -> u64 {
        self.updated_us
    }
}
