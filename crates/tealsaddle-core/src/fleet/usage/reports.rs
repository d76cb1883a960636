//! Which usage report is due, and what becomes of it.
//!
//! Reports are made one after another, in the order of their windows. The content of a report is fixed once it is counted: it
//! is written to the store before it is sent, is sent again word for word while its outcome is not known, and no other content
//! is ever sent for its window, nor one for an earlier window. The record in the store, and what the other nodes remember of
//! recorded windows, tell a successor where to go on.

use super::Requests;
use super::window::WindowTerms;

/// Counts of a window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WindowUse {
    /// Number of the window.
    pub window: u64,
    /// Requests that began to run in it.
    pub requests: Requests,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Nothing yet.
    Wait,
    /// Count the requests of this window, and pass the result to [`Reports::on_counted`].
    Count(u64),
    /// Write this report to the store, and send it if that has succeeded.
    RecordAndSend(WindowUse),
}

/// Outcome of a call that sends a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// The platform has accepted the report.
    Accepted,
    /// The platform has not carried out the call, and may do so at another time.
    NotNow,
    /// The platform does not take the report.
    Rejected,
    /// The platform may have accepted the report, or may do so later.
    Unknown,
}

/// Windows that are not reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Skipped {
    /// The first one.
    pub from: u64,
    /// The last one.
    pub to: u64,
    /// Why.
    pub reason: SkipReason,
}

/// Why windows are not reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SkipReason {
    /// Their counts are no longer kept by any process.
    TooOld,
    /// Another node has recorded a report of this window or a later one, or may have, and that record is lost.
    RecordLost,
    /// The platform has rejected the report several times.
    Rejected,
}

impl SkipReason {
    /// Name in log records.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::TooOld => "too_old",
            Self::RecordLost => "record_lost",
            Self::Rejected => "rejected",
        }
    }
}

/// Pauses of the reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportPauses {
    /// Time from the end of a window until its requests are counted: clocks differ a little.
    pub settle_us: u64,
    /// Pause after the first failed call. It doubles with each further one.
    pub first_us: u64,
    /// Longest pause between two calls.
    pub longest_us: u64,
}

/// A report is given up after the platform has rejected it so often: a report that it never takes must not hold up the rest.
const MAX_REJECTIONS: u32 = 6;

/// Time before the start of the oldest process from which windows are counted. Estimates of the true time may differ by this,
/// and a window that was reported before a common restart has ended longer ago.
const START_SLACK_US: u64 = 100_000;

#[derive(Debug, Clone, PartialEq, Eq)]
struct Open {
    report: WindowUse,
    /// Whether the store is known to have it.
    is_recorded: bool,
    rejections: u32,
}

/// State of the reports at the node that sends them.
#[derive(Debug)]
pub struct Reports {
    windows: WindowTerms,
    pauses: ReportPauses,
    /// Next window to count; `None` before the record was read and if there was none.
    next: Option<u64>,
    open: Option<Open>,
    /// Own clock when the first of the processes that knew what was recorded was started; `None` before any is known.
    running_since_us: Option<u64>,
    failures: u32,
    /// No call before this time.
    not_before_us: u64,
}

impl Reports {
    /// State of a node that has not read the record yet.
    pub const fn new(windows: WindowTerms, pauses: ReportPauses) -> Self {
        Self {
            windows,
            pauses,
            next: None,
            open: None,
            running_since_us: None,
            failures: 0,
            not_before_us: 0,
        }
    }

    /// Highest window of which no other content may be recorded any more; `None` before any is known.
    pub fn recorded(&self) -> Option<u64> {
        let settled = self.next.and_then(|next| next.checked_sub(1));
        match &self.open {
            Some(open) if open.is_recorded => Some(open.report.window),
            Some(open) => open.report.window.checked_sub(1),
            None => settled,
        }
    }

    /// Takes over the record as the store has it now. To be called at the start of each term, and after a write whose outcome
    /// is not known.
    ///
    /// The record of an earlier window than the node's own is that of a store that came back from an older copy, or was read
    /// before the own one was written; the own report is then kept and written again.
    pub fn on_record(&mut self, stored: Option<WindowUse>) {
        let Some(stored) = stored else {
            return;
        };
        let own = self.open.as_ref().map(|open| open.report.window);
        let own = own.or_else(|| self.next.and_then(|next| next.checked_sub(1)));
        let is_own_content = self.open.as_ref().is_some_and(|o| o.report == stored);
        if is_own_content {
            self.on_recorded();
        } else if own.is_none_or(|own| stored.window > own)
            || (self.open.is_some() && own == Some(stored.window))
        {
            self.next = Some(stored.window + 1);
            self.open = Some(Open {
                report: stored,
                is_recorded: true,
                rejections: 0,
            });
            self.failures = 0;
        }
    }

    /// Drops a report whose record is not known to be in the store, as the store had none when this term began. Nothing of it
    /// was sent, and another node may have counted the window since.
    pub fn drop_unrecorded(&mut self) {
        if let Some(open) = self.open.take_if(|open| !open.is_recorded) {
            self.next = Some(open.report.window);
        }
    }

    /// Whether a report of this window may have been recorded by now.
    pub const fn may_be_recorded(&self, window: u64, true_us: u64) -> bool {
        window <= self.windows.at(true_us)
    }

    /// Takes over that some node has recorded a report of this window. A window after the open report is then left out, as
    /// the content of its record is not known.
    pub fn on_recorded_elsewhere(&mut self, window: u64) -> Option<Skipped> {
        let next = self.next.unwrap_or(window.saturating_add(1));
        self.next = Some(next);
        (next <= window).then(|| {
            self.next = Some(window.saturating_add(1));
            Skipped {
                from: next,
                to: window,
                reason: SkipReason::RecordLost,
            }
        })
    }

    /// Takes over that the store came back from an older copy at `true_us`, and that no process is known to have had the duties
    /// until then. Any window that had ended may have been reported, with a content that is lost; none of them is counted again.
    pub fn on_records_lost(&mut self, true_us: u64) -> Option<Skipped> {
        let first = self.windows.at(true_us);
        let next = self.next.unwrap_or(first);
        self.next = Some(next.max(first));
        (next < first).then(|| Skipped {
            from: next,
            to: first - 1,
            reason: SkipReason::RecordLost,
        })
    }

    /// Takes over since when, by the own clock, a process of the fleet has run. No process has counted windows that ended before
    /// the start of the oldest one, and after a power loss none knows whether they were reported, as the record may be lost too.
    /// What the oldest process knew is known to this node once it has answered, so its end changes nothing.
    pub fn on_running_since(&mut self, since_us: u64) {
        let earlier_us = self.running_since_us.unwrap_or(u64::MAX);
        self.running_since_us = Some(since_us.min(earlier_us));
    }

    /// What to do at `now_us`, if the true time is `true_us`; also the windows that are given up.
    pub fn next_step(&mut self, now_us: u64, true_us: u64) -> (Step, Option<Skipped>) {
        if let Some(open) = &self.open {
            let is_due = now_us >= self.not_before_us;
            let step = if is_due {
                Step::RecordAndSend(open.report.clone())
            } else {
                Step::Wait
            };
            return (step, None);
        }
        let next = self.next;
        let window = next.unwrap_or_else(|| self.windows.first_in_time(true_us));
        let first_kept = self.windows.first_kept(true_us);
        let first_kept = first_kept.max(self.first_of_fleet(now_us, true_us));
        // Without a record there is nothing to go on with, so nothing is left out.
        let skipped = (next.is_some() && window < first_kept).then(|| Skipped {
            from: window,
            to: first_kept - 1,
            reason: SkipReason::TooOld,
        });
        let window = window.max(first_kept);
        self.next = Some(window);
        let is_over = true_us >= self.windows.end_us(window) + self.pauses.settle_us;
        let step = if is_over && now_us >= self.not_before_us {
            Step::Count(window)
        } else {
            Step::Wait
        };
        (step, skipped)
    }

    /// The window in which the oldest process was started; 0 before any is known.
    fn first_of_fleet(&self, now_us: u64, true_us: u64) -> u64 {
        let Some(running_since_us) = self.running_since_us else {
            return 0;
        };
        let uptime_us = now_us.saturating_sub(running_since_us) + START_SLACK_US;
        self.windows.at(true_us.saturating_sub(uptime_us))
    }

    /// Takes over the counts of a window; they are its report from now on. Counts of another window than the next one are
    /// left out.
    pub fn on_counted(&mut self, counted: WindowUse) {
        if self.open.is_none() && self.next == Some(counted.window) {
            self.next = Some(counted.window + 1);
            self.failures = 0;
            self.open = Some(Open {
                report: counted,
                is_recorded: false,
                rejections: 0,
            });
        }
    }

    /// Records that the store has the open report.
    pub const fn on_recorded(&mut self) {
        if let Some(open) = &mut self.open {
            open.is_recorded = true;
        }
    }

    /// Records that something failed before a report was sent, such as the write of its record.
    pub fn on_failure(&mut self, now_us: u64) {
        let pause_us = self.pauses.first_us << self.failures.min(16);
        self.not_before_us = now_us + pause_us.min(self.pauses.longest_us);
        self.failures += 1;
    }

    /// Records the outcome of a call that sent the open report.
    pub fn on_sent(&mut self, outcome: SendOutcome, now_us: u64) -> Option<Skipped> {
        match outcome {
            SendOutcome::Accepted => {
                self.open = None;
                self.failures = 0;
                self.not_before_us = now_us + self.pauses.first_us;
                return None;
            }
            SendOutcome::Rejected => {
                if let Some(open) = &mut self.open {
                    open.rejections += 1;
                }
            }
            SendOutcome::NotNow | SendOutcome::Unknown => {}
        }
        self.on_failure(now_us);
        let given_up = self
            .open
            .take_if(|open| open.rejections >= MAX_REJECTIONS)?;
        Some(Skipped {
            from: given_up.report.window,
            to: given_up.report.window,
            reason: SkipReason::Rejected,
        })
    }
}
