//! Windows of usage reports.

/// Lengths and limits of the windows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowTerms {
    /// Length of a window. Window K begins K lengths after the start of 1970.
    pub length_us: u64,
    /// Time from the end of a window until its report is due.
    pub due_after_us: u64,
    /// Time for which the counts of a moment are kept.
    pub keep_us: u64,
}

impl WindowTerms {
    /// Number of the window at this true time.
    pub const fn at(&self, true_us: u64) -> u64 {
        true_us / self.length_us
    }

    /// True time at which a window begins.
    pub const fn start_us(&self, window: u64) -> u64 {
        window.saturating_mul(self.length_us)
    }

    /// True time at which a window ends.
    pub const fn end_us(&self, window: u64) -> u64 {
        self.start_us(window.saturating_add(1))
    }

    /// True time at which the report of a window is due.
    pub const fn due_us(&self, window: u64) -> u64 {
        self.end_us(window).saturating_add(self.due_after_us)
    }

    /// First window whose report is not overdue.
    pub const fn first_in_time(&self, true_us: u64) -> u64 {
        self.at(true_us.saturating_sub(self.due_after_us))
    }

    /// First window of which all counts are still kept.
    pub const fn first_kept(&self, true_us: u64) -> u64 {
        true_us
            .saturating_sub(self.keep_us)
            .div_ceil(self.length_us)
    }
}
