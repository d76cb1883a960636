//! Reporting the usage of each window to the platform, while this node has the duties.
//!
//! Each call to the platform follows a write of its report to the store, on condition that the holder's key and the record are
//! unchanged. So a node that has lost the duties finds out before it sends, and a successor finds the record.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tealsaddle_core::fleet::store_era::StoreEra;
use tealsaddle_core::fleet::usage::Requests;
use tealsaddle_core::fleet::usage::reports::{
    ReportPauses, Reports, SendOutcome, Skipped, Step, WindowUse,
};
use tealsaddle_core::fleet::usage::window::WindowTerms;

use super::KEEP_US;
use super::collector::{Collected, Collector, Range};
use crate::clock;
use crate::control::{CALL_TIMEOUT, Control, with_timeout};
use crate::duties::{DutyConfig, DutyTerm, TermWatch, UsageConfig};
use crate::error::{StoreError, json_problem};
use crate::external::{
    DutyCaller, DutyOutcome, DutyPlatform, Freshness, KeyRevision, Put, Transaction, UsageReport,
};

/// Key of the record of the latest report.
pub const REPORT_KEY: &str = "tealsaddle/usage/report";
/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(200);
/// Time before a report is due until which nodes that do not answer are asked again; the rest is for the store and the
/// platform.
const SEND_TIME_US: u64 = 4_000_000;
/// Shortest time for a collection, also if its report is overdue.
const MIN_COLLECT_US: u64 = 1_500_000;
/// Time from the end of a window until its requests are counted.
const SETTLE_US: u64 = 300_000;
/// Shortest pause after a failed call to the platform.
const FIRST_PAUSE_US: u64 = 250_000;
/// Longest pause between calls to the platform.
const LONGEST_PAUSE_US: u64 = 4_000_000;
/// Share of the platform's rate that the reports take at most. The rest is for other duties.
const RATE_SHARE: f64 = 0.2;

/// Record of a report in the store.
#[derive(Debug, Serialize, Deserialize)]
struct ReportRecord {
    window: u64,
    requests: Requests,
    /// Era of the store in which it was written, if the store told; none from a node of an earlier release.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    era: Option<u64>,
}

/// Reports usage while this node has the duties.
#[derive(Debug)]
pub struct Reporter {
    control: Arc<Control>,
    platform: Arc<dyn DutyPlatform>,
    term: TermWatch,
    windows: WindowTerms,
    collector: Collector,
    reports: Reports,
    /// Fencing token of the term in which the record was read.
    read_in: Option<u64>,
    /// Revision of the record, 0 if there is none; `None` if it has to be read again.
    revision: Option<u64>,
    /// Era in which the record was written that was read or written last. Before a later one, windows may have been reported
    /// that it does not show.
    record_era: Option<u64>,
    /// Window of the latest record that other nodes were told of.
    told: Option<u64>,
    store_era: StoreEra,
    /// Whether this node had the duties when it last looked.
    had_duties: bool,
}

/// Starts the tasks of the usage reports, if they are among the duties.
pub fn spawn(control: &Arc<Control>, term: TermWatch) {
    let Some(duties) = &control.gateway.config.duties else {
        return;
    };
    let Some(usage) = duties.usage else {
        return;
    };
    tokio::spawn(super::copies::run(Arc::clone(control)));
    if let Some(platform) = &control.duty_platform {
        let reporter = Reporter::open(control, Arc::clone(platform), term, duties, usage);
        tokio::spawn(reporter.run());
    }
}

impl Reporter {
    fn open(
        control: &Arc<Control>,
        platform: Arc<dyn DutyPlatform>,
        term: TermWatch,
        duties: &DutyConfig,
        usage: UsageConfig,
    ) -> Self {
        let windows = WindowTerms {
            length_us: (usage.window.as_micros() as u64).max(1),
            due_after_us: usage.due_after.as_micros() as u64,
            keep_us: KEEP_US,
        };
        let pause_by_rate_us = 1e6 / (duties.calls_per_s * RATE_SHARE).max(0.1);
        let pauses = ReportPauses {
            settle_us: SETTLE_US,
            first_us: FIRST_PAUSE_US.max(pause_by_rate_us as u64),
            longest_us: LONGEST_PAUSE_US.max(pause_by_rate_us as u64),
        };
        Self {
            control: Arc::clone(control),
            platform,
            term,
            windows,
            collector: Collector::open(Arc::clone(&control.gateway)),
            reports: Reports::new(windows, pauses),
            read_in: None,
            revision: None,
            record_era: None,
            told: None,
            store_era: StoreEra::default(),
            had_duties: false,
        }
    }

    async fn run(mut self) {
        loop {
            tokio::time::sleep(TICK).await;
            self.follow_era();
            let term = self.term.current();
            self.had_duties = term.is_some();
            let Some(term) = term else {
                continue;
            };
            if let Err(error) = self.act(&term).await {
                self.control.gateway.metrics.increment("usage.store_failed");
                log::warn!(error:%; "the record of the usage report is not read or written");
                self.revision = None;
                self.reports.on_failure(clock::now_us());
            }
        }
    }

    /// Notices that the store has come back from an older copy.
    fn follow_era(&mut self) {
        let era = self.control.store.era();
        if !self.store_era.rises_to(era) {
            return;
        }
        if let Some(era) = era {
            let settled = self.reports.recorded().filter(|_window| self.had_duties);
            self.control.gateway.usage.on_store_return(era, settled);
        }
    }

    async fn act(&mut self, term: &DutyTerm) -> Result<(), StoreError> {
        if self.read_in != Some(term.fence()) || self.revision.is_none() {
            self.read_record(term).await?;
        }
        let Some(true_us) = self.true_us().await else {
            return Ok(());
        };
        let (step, skipped) = self.reports.next_step(clock::now_us(), true_us);
        self.log_skipped(skipped);
        match step {
            Step::Wait => Ok(()),
            Step::Count(window) => {
                self.count(window).await;
                Ok(())
            }
            Step::RecordAndSend(report) => self.record_and_send(term, report).await,
        }
    }

    /// Reads the record: at the start of a term, and after a write that may or may not have happened.
    async fn read_record(&mut self, term: &DutyTerm) -> Result<(), StoreError> {
        let list = self.control.store.list(REPORT_KEY, Freshness::Latest);
        let items = with_timeout(CALL_TIMEOUT, list).await?.items;
        let item = items.into_iter().find(|item| item.key == REPORT_KEY);
        let revision = item.as_ref().map_or(0, |item| item.revision);
        // Without its content, a report of a window that was sent before could differ from the first one.
        let record = item.map(|item| serde_json::from_slice::<ReportRecord>(&item.value));
        let record = record.transpose().map_err(|error| {
            let problem = json_problem(&error);
            StoreError::Protocol(format!("record of the usage report: {problem}"))
        })?;
        self.record_era = record.as_ref().and_then(|record| record.era);
        let stored = record.map(|record| WindowUse {
            window: record.window,
            requests: record.requests,
        });
        let is_new_term = self.read_in != Some(term.fence());
        if is_new_term {
            log::info!(fence = term.fence(), recorded = stored.as_ref().map(|r| r.window), revision;
                "this node now reports usage");
        }
        self.reports.on_record(stored);
        if is_new_term {
            self.reports.drop_unrecorded();
            self.read_in = Some(term.fence());
        }
        self.revision = Some(revision);
        Ok(())
    }

    /// The true time; `None` if too few nodes have told theirs.
    async fn true_us(&mut self) -> Option<u64> {
        if self.collector.true_offset_us().is_none() {
            let recorded = self.reports.recorded().unwrap_or(0);
            let (range, now_us) = (Range::empty(), clock::now_us());
            let collected = self.collector.collect(range, recorded, now_us).await;
            self.on_collected(&collected);
        }
        let offset_us = self.collector.true_offset_us();
        if offset_us.is_none() {
            self.control.gateway.metrics.increment("usage.no_true_time");
            self.reports.on_failure(clock::now_us());
        }
        offset_us.map(|offset_us| to_other(clock::now_us(), offset_us))
    }

    async fn count(&mut self, window: u64) {
        let Some(offset_us) = self.collector.true_offset_us() else {
            return;
        };
        let to_own = |true_us| to_other(true_us, -offset_us);
        let range = Range {
            window: Some(window),
            from_us: to_own(self.windows.start_us(window)),
            to_us: to_own(self.windows.end_us(window)),
        };
        let deadline_us = to_own(self.windows.due_us(window)).saturating_sub(SEND_TIME_US);
        let deadline_us = deadline_us.max(clock::now_us() + MIN_COLLECT_US);
        let recorded = self.reports.recorded().unwrap_or(0);
        let collected = self.collector.collect(range, recorded, deadline_us).await;
        self.on_collected(&collected);
        let requests: u64 = collected.requests.values().sum();
        log::info!(window, requests, customers = collected.requests.len(), nodes = collected.nodes,
            missing = collected.missing, offset_us; "usage of a window counted");
        if collected.missing > 0 {
            let metrics = &self.control.gateway.metrics;
            metrics.increment("usage.counted_without_nodes");
        }
        if collected.is_minority() {
            log::warn!(window, missing = collected.missing, nodes = collected.nodes;
                "most nodes do not answer; the window is counted again");
            self.reports.on_failure(clock::now_us());
            return;
        }
        self.reports.on_counted(WindowUse {
            window,
            requests: collected.requests,
        });
    }

    /// Takes over what the nodes know of earlier reports.
    fn on_collected(&mut self, collected: &Collected) {
        let Some(offset_us) = self.collector.true_offset_us() else {
            return;
        };
        self.reports.on_running_since(collected.running_since_us);
        let true_us = to_other(clock::now_us(), offset_us);
        if !self.reports.may_be_recorded(collected.recorded, true_us) {
            log::warn!(window = collected.recorded; "a node tells of a record of a window that has not begun");
            return;
        }
        if collected.recorded > self.reports.recorded().unwrap_or(0) {
            let skipped = self.reports.on_recorded_elsewhere(collected.recorded);
            self.log_skipped(skipped);
        }
        if let Some(lost) = collected.store_return
            && lost.settled.is_none()
            && self.record_era < Some(lost.era)
        {
            let lost_us = to_other(lost.seen_us, offset_us);
            let skipped = self.reports.on_records_lost(lost_us);
            self.log_skipped(skipped);
        }
    }

    /// Writes the record and sends the report, if this node still has the duties then.
    async fn record_and_send(
        &mut self,
        term: &DutyTerm,
        report: WindowUse,
    ) -> Result<(), StoreError> {
        let WindowUse { window, requests } = report;
        let recorded_us = clock::now_us();
        let record = ReportRecord {
            window,
            requests,
            era: self.control.store.era(),
        };
        let revision = self.write_record(term, &record).await?;
        self.revision = Some(revision);
        self.record_era = record.era;
        self.reports.on_recorded();
        if self.told.replace(window) != Some(window) {
            let told = self.collector.tell_recorded(window).await;
            log::info!(window, revision, told; "usage report recorded");
        }
        if !self.term.may_send(term, recorded_us) {
            self.control.gateway.metrics.increment("usage.not_sent");
            log::warn!(window, fence = term.fence(); "usage report is recorded too late to be sent");
            self.reports.on_failure(clock::now_us());
            return Ok(());
        }
        let report = UsageReport {
            window,
            requests: record.requests,
        };
        let caller = DutyCaller {
            node: &self.control.gateway.config.node,
            fence: term.fence(),
        };
        let outcome = self.platform.report_usage(caller, &report).await;
        log::info!(window, fence = term.fence(), outcome:?; "usage report sent");
        let metrics = &self.control.gateway.metrics;
        metrics.increment(counter_of(outcome));
        let skipped = self.reports.on_sent(judge(outcome), clock::now_us());
        self.log_skipped(skipped);
        Ok(())
    }

    async fn write_record(
        &self,
        term: &DutyTerm,
        record: &ReportRecord,
    ) -> Result<u64, StoreError> {
        let unchanged = KeyRevision {
            key: REPORT_KEY.to_owned(),
            revision: self.revision.unwrap_or(0),
        };
        let put = Put {
            key: REPORT_KEY.to_owned(),
            value: serde_json::to_vec(record).expect("a record has a JSON form"),
            lease: None,
        };
        let transaction = Transaction {
            conditions: vec![term.condition(), unchanged],
            puts: vec![put],
            removes: Vec::new(),
        };
        let written = with_timeout(CALL_TIMEOUT, self.control.store.commit(transaction));
        Ok(written.await?.value)
    }

    fn log_skipped(&self, skipped: Option<Skipped>) {
        if let Some(Skipped { from, to, reason }) = skipped {
            let metrics = &self.control.gateway.metrics;
            metrics.increment(&format!("usage.skipped.{}", reason.as_str()));
            log::warn!(from, to, reason = reason.as_str(); "usage of windows is not reported");
        }
    }
}

/// A time on another clock that is ahead by `offset_us`.
fn to_other(time_us: u64, offset_us: i64) -> u64 {
    time_us.saturating_add_signed(offset_us)
}

const fn judge(outcome: DutyOutcome) -> SendOutcome {
    match outcome {
        DutyOutcome::Accepted => SendOutcome::Accepted,
        // Not reached, timed out, or too many calls.
        DutyOutcome::Refused(0 | 408 | 429) => SendOutcome::NotNow,
        DutyOutcome::Refused(_) => SendOutcome::Rejected,
        DutyOutcome::Unknown => SendOutcome::Unknown,
    }
}

const fn counter_of(outcome: DutyOutcome) -> &'static str {
    match outcome {
        DutyOutcome::Accepted => "usage.accepted",
        DutyOutcome::Refused(_) => "usage.refused",
        DutyOutcome::Unknown => "usage.unknown",
    }
}
