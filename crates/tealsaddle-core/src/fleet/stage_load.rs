//! Load of the stages of a model service, as one node observes it from the requests that it places.
//!
//! The counts on answers are averaged over all runners of a stage and over some seconds: the runner of a single report
//! may be idle or busy by chance, and a burst of a second or two is over before a runner has changed its stage. What the
//! streams need is kept as a distribution over their tokens, since few long answers need far shorter times between
//! events than all others.

use super::load::ReportedLoad;

/// Half-life of the observations of load.
const HALF_LIFE_US: f64 = 2e6;
/// Half-life of what streams need. It changes with the callers rather than with the load, and what streams have needed is
/// known only when they end.
const DEMAND_HALF_LIFE_US: f64 = 15e6;
/// Age from which an observation no longer tells the present load.
pub(super) const STALE_US: u64 = 4_000_000;

/// Mean of observations that decay with time.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct DecayingMean {
    sum: f64,
    count: f64,
    at_us: u64,
}

impl DecayingMean {
    /// Records an observation.
    pub fn push(&mut self, value: f64, now_us: u64) {
        let decay = decay(self.at_us, now_us, HALF_LIFE_US);
        self.sum = self.sum * decay + value;
        self.count = self.count * decay + 1.0;
        self.at_us = now_us;
    }

    /// Returns the mean; `None` if there is no recent observation.
    pub fn get(&self, now_us: u64) -> Option<f64> {
        let is_recent = now_us.saturating_sub(self.at_us) < STALE_US;
        (self.count > 0.0 && is_recent).then(|| self.sum / self.count)
    }
}

fn decay(since_us: u64, now_us: u64, half_life_us: f64) -> f64 {
    0.5_f64.powf(now_us.saturating_sub(since_us) as f64 / half_life_us)
}

/// Number of classes of [`StreamDemand`]; the last one has times of ten seconds between events.
const CLASSES: usize = 54;
/// Number of classes over which the time between events doubles.
const CLASSES_PER_DOUBLING: f64 = 4.0;
/// Time between events of the first class.
const FIRST_CLASS_US: f64 = 1_000.0;
/// Share of all events in streams that need shorter times than [`StreamDemand::tightest`]. The rest is left out since
/// callers' estimates of their output are often twice too long.
const TIGHTEST_SHARE: f64 = 0.1;

/// What streams need: their events, and the time between events within which they end by their deadlines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StreamDemand {
    classes: [DemandClass; CLASSES],
    at_us: u64,
}

/// Decaying sums over the streams whose events may take about equally long.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
struct DemandClass {
    streams: f64,
    events: f64,
    allowed_us: f64,
}

/// A stream, by its length and its deadline.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StreamNeed {
    /// Number of events.
    pub events: f64,
    /// Time from the first event to the deadline.
    pub allowed_us: f64,
}

impl Default for StreamDemand {
    fn default() -> Self {
        Self {
            classes: [DemandClass::default(); CLASSES],
            at_us: 0,
        }
    }
}

impl StreamDemand {
    /// Records a stream that is placed, with its expected events, or that has ended or is overdue, with the actual ones,
    /// which tell what callers have estimated wrongly, but late.
    pub fn push(&mut self, need: StreamNeed, now_us: u64) {
        if need.events <= 0.0 || need.allowed_us <= 0.0 {
            return;
        }
        let decay = decay(self.at_us, now_us, DEMAND_HALF_LIFE_US);
        for class in &mut self.classes {
            class.streams *= decay;
            class.events *= decay;
            class.allowed_us *= decay;
        }
        self.at_us = now_us;
        let doublings = (need.allowed_us / need.events / FIRST_CLASS_US).log2();
        let index = (doublings * CLASSES_PER_DOUBLING).max(0.0) as usize;
        let class = &mut self.classes[index.min(CLASSES - 1)];
        class.streams += 1.0;
        class.events += need.events;
        class.allowed_us += need.allowed_us;
    }

    /// Returns the stream that needs shorter times between events than nine tenths of the output; `None`
    /// if none was recorded lately.
    pub fn tightest(&self, now_us: u64) -> Option<StreamNeed> {
        if now_us.saturating_sub(self.at_us) >= STALE_US {
            return None;
        }
        let all: f64 = self.classes.iter().map(|class| class.events).sum();
        let mut tighter = 0.0;
        for class in &self.classes {
            tighter += class.events;
            if class.streams > 0.0 && tighter >= all * TIGHTEST_SHARE {
                return Some(StreamNeed {
                    events: class.events / class.streams,
                    allowed_us: class.allowed_us / class.streams,
                });
            }
        }
        None
    }
}

/// Load of both stages of a model service.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct StageLoad {
    /// Share of time in which a prefill runner reads prompts.
    pub reading: DecayingMean,
    /// Objective, in microseconds, for the time to the first event.
    pub objective_us: DecayingMean,
    /// What the streams need.
    pub demand: StreamDemand,
}

impl StageLoad {
    /// Records the counts of a prefill runner.
    pub fn on_reads(&mut self, report: ReportedLoad, now_us: u64) {
        let reads = f64::from(report.running + report.waiting);
        // Bounded, so that one full queue does not hide idle runners.
        self.reading.push(reads / (reads + 1.0), now_us);
    }
}
