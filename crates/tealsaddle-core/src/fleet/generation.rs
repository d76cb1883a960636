//! How long a stream takes to generate, learned from the times between its events.
//!
//! A decode step takes a fixed time and a time for each request of the batch, so the time between two events grows
//! with the batch. The times are learned as one factor for all batch sizes; sums over many streams keep a single
//! stream with a wrong estimate from changing it much.

/// Batch at which a decode step takes twice as long as for a single request. Engines differ little in it compared
/// with the length of a step, which is learned.
const DOUBLING_BATCH: f64 = 32.0;
/// Share by which the sums of earlier streams decay with each stream.
const DECAY: f64 = 0.01;
/// Largest ratio, either way, of the times of one stream to those learned before.
const MAX_DEVIATION: f64 = 4.0;

/// A stream that has ended, as seen by the node that passed it on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GeneratedStream {
    /// Output that the caller expected, in tokens; 0 if the caller did not say.
    pub expected_tokens: u64,
    /// Number of events.
    pub events: u64,
    /// Time from the first event to the last.
    pub events_us: u64,
    /// Mean number of requests in the runner's batch meanwhile.
    pub batch: f64,
}

/// Times between events and tokens per event, learned from streams that ended.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct EventTimes {
    /// Sum of the times between events.
    gaps_us: f64,
    /// Sum over the same gaps of the batch, with [`DOUBLING_BATCH`] added.
    batches: f64,
    /// Sum of the expected tokens.
    tokens: f64,
    /// Sum of the events of the same streams.
    events: f64,
}

impl EventTimes {
    /// Records a stream that has ended.
    pub fn on_stream(&mut self, stream: &GeneratedStream) {
        self.on_gaps(stream);
        if stream.expected_tokens > 0 && stream.events > 0 {
            let events = stream.events as f64;
            let per_event = self.tokens / self.events.max(1.0);
            let tokens = bounded(stream.expected_tokens as f64, per_event * events);
            self.tokens += tokens - self.tokens * DECAY;
            self.events += events - self.events * DECAY;
        }
    }

    fn on_gaps(&mut self, stream: &GeneratedStream) {
        let gaps = stream.events.saturating_sub(1) as f64;
        if gaps < 1.0 || stream.events_us == 0 {
            return;
        }
        let expected_us = self.us_per_event(stream.batch).unwrap_or(0.0) * gaps;
        let gaps_us = bounded(stream.events_us as f64, expected_us);
        self.gaps_us += gaps_us - self.gaps_us * DECAY;
        self.batches += (stream.batch + DOUBLING_BATCH) * gaps - self.batches * DECAY;
    }

    /// Returns the expected time between two events at a runner with this batch; `None` until a stream with several
    /// events has ended.
    pub fn us_per_event(&self, batch: f64) -> Option<f64> {
        (self.batches > 0.0).then(|| self.gaps_us / self.batches * (batch + DOUBLING_BATCH))
    }

    /// Returns the expected number of events of an output of `tokens` tokens; 0 until a stream has ended.
    pub fn events_of(&self, tokens: f64) -> f64 {
        if self.tokens > 0.0 {
            tokens * self.events / self.tokens
        } else {
            0.0
        }
    }

    /// Returns the expected time to generate an output of `tokens` tokens at a runner with this batch; 0 until it is
    /// known.
    pub fn generation_us(&self, tokens: u64, batch: f64) -> f64 {
        self.events_of(tokens as f64) * self.us_per_event(batch).unwrap_or(0.0)
    }
}

/// Limits an observation to [`MAX_DEVIATION`] times, and to that share of, what was expected; any observation is taken
/// if nothing was.
fn bounded(observed: f64, expected: f64) -> f64 {
    if expected > 0.0 {
        observed.clamp(expected / MAX_DEVIATION, expected * MAX_DEVIATION)
    } else {
        observed
    }
}
