//! Counters, gauges and latency histograms, served as text.
//!
//! Metrics are emitted through `cadence` into a sink that keeps the sums in memory. The platform scrapes
//! them from the metrics address; the process pushes no metrics.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cadence::{CountedExt, Gauged, MetricSink, StatsdClient, Timed};

/// Upper bounds of the latency buckets, in milliseconds.
const BUCKETS_MS: [u64; 12] = [5, 10, 25, 50, 100, 200, 300, 500, 800, 1_500, 3_000, 8_000];

#[derive(Debug, Default, Clone)]
struct Histogram {
    buckets: [u64; BUCKETS_MS.len()],
    count: u64,
    sum_ms: u64,
}

#[derive(Debug, Default)]
struct Sums {
    counters: BTreeMap<String, u64>,
    gauges: BTreeMap<String, u64>,
    latencies: BTreeMap<String, Histogram>,
}

/// Sums up the metrics that the `cadence` client emits.
#[derive(Debug, Clone, Default)]
struct MemorySink(Arc<Mutex<Sums>>);

impl MetricSink for MemorySink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let invalid = || io::Error::from(io::ErrorKind::InvalidData);
        let (name, rest) = metric.split_once(':').ok_or_else(invalid)?;
        let (value, kind) = rest.split_once('|').ok_or_else(invalid)?;
        let value: u64 = value.parse().map_err(|_error| invalid())?;
        let mut sums = self.0.lock().expect("no holder of the lock panics");
        if kind.starts_with("ms") {
            let histogram = sums.latencies.entry(name.to_owned()).or_default();
            for (bucket, bound) in histogram.buckets.iter_mut().zip(BUCKETS_MS) {
                *bucket += u64::from(value <= bound);
            }
            histogram.count += 1;
            histogram.sum_ms += value;
        } else if kind.starts_with('g') {
            sums.gauges.insert(name.to_owned(), value);
        } else if let Some(sum) = sums.counters.get_mut(name) {
            *sum += value;
        } else {
            sums.counters.insert(name.to_owned(), value);
        }
        Ok(metric.len())
    }
}

/// Counters and latency histograms of the process.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
    sink: MemorySink,
}

impl Metrics {
    /// Creates metrics without any values; a name appears with its first value.
    pub fn open() -> Arc<Self> {
        let sink = MemorySink::default();
        Arc::new(Self {
            client: StatsdClient::from_sink("tealsaddle", sink.clone()),
            sink,
        })
    }

    /// Adds one to a counter, such as `refused.no_runner`.
    pub fn increment(&self, name: &str) {
        // The sink rejects only malformed names, and names come from constants of this workspace.
        drop(self.client.incr(name));
    }

    /// Sets a gauge, such as `sizing.last_order.readers.a.spot`. Other characters than letters, digits and dots become
    /// underscores, as names of the configuration may be part of the name.
    pub fn set(&self, name: &str, value: u64) {
        let is_plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_');
        let name = name.replace(|c: char| !is_plain(c), "_");
        drop(self.client.gauge(&name, value));
    }

    /// Adds a duration to a latency histogram, such as `request.total`.
    pub fn latency(&self, name: &str, took: Duration) {
        drop(self.client.time(name, took.as_millis() as u64));
    }

    /// All metrics in the text format of Prometheus, one value per line.
    pub fn text(&self) -> String {
        let sums = self.sink.0.lock().expect("no holder of the lock panics");
        let mut text = String::new();
        let plain = |name: &str| name.replace('.', "_");
        for (name, sum) in &sums.counters {
            writeln!(text, "{}_total {sum}", plain(name)).expect("writing to a string cannot fail");
        }
        for (name, value) in &sums.gauges {
            writeln!(text, "{} {value}", plain(name)).expect("writing to a string cannot fail");
        }
        for (name, histogram) in &sums.latencies {
            let name = plain(name);
            for (bucket, bound) in histogram.buckets.iter().zip(BUCKETS_MS) {
                writeln!(text, "{name}_ms_bucket{{le=\"{bound}\"}} {bucket}")
                    .expect("writing to a string cannot fail");
            }
            let Histogram { count, sum_ms, .. } = histogram;
            writeln!(text, "{name}_ms_count {count}\n{name}_ms_sum {sum_ms}")
                .expect("writing to a string cannot fail");
        }
        text
    }
}
