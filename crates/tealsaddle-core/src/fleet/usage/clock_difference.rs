//! Estimating how far the clock of this node is ahead of that of another process.

use std::collections::VecDeque;

/// Number of latest messages that are considered. If one of them arrived in good time, late ones do no harm; a few are enough, so
/// that the estimate follows clocks that drift.
const READINGS: usize = 4;

/// Difference between two monotonic clocks, from messages that tell when they were sent.
#[derive(Debug, Default)]
pub struct ClockDifference {
    /// Own clock at the arrival of a message minus the other clock when it was sent, oldest first.
    readings_us: VecDeque<i64>,
}

impl ClockDifference {
    /// Takes over a message that was sent at one time of the other clock and has arrived at one of the own clock.
    pub fn on_message(&mut self, sent_us: u64, arrived_us: u64) {
        if self.readings_us.len() == READINGS {
            self.readings_us.pop_front();
        }
        let reading_us = (arrived_us as i64).saturating_sub(sent_us as i64);
        self.readings_us.push_back(reading_us);
    }

    /// Own clock minus the other clock; too high by the shortest time that a message has taken.
    fn ahead_us(&self) -> i64 {
        self.readings_us.iter().min().copied().unwrap_or(0)
    }

    /// A time of the other clock on the own one.
    pub fn to_own(&self, time_us: u64) -> u64 {
        time_us.saturating_add_signed(self.ahead_us())
    }

    /// A time of the own clock on the other one.
    pub fn to_other(&self, time_us: u64) -> u64 {
        time_us.saturating_add_signed(self.ahead_us().saturating_neg())
    }
}
