//! Counters for requests and for each refusal and retry reason.
//!
//! Every count goes to StatsD through `cadence` and into a map that the administration API shows, so
//! that a deployment without a collector can be read as well.

use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::sync::Mutex;

use cadence::{CountedExt, NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};

use crate::Error;
use crate::settings::MetricsSettings;

/// Counters of one node.
#[derive(Debug)]
pub struct Counters {
    client: StatsdClient,
    counts: Mutex<BTreeMap<String, u64>>,
}

impl Counters {
    /// Opens the counters and, where one is configured, the way to the collector.
    pub fn open(settings: &MetricsSettings) -> Result<Self, Error> {
        let client = match settings.statsd_address {
            None => StatsdClient::from_sink(&settings.prefix, NopMetricSink),
            Some(address) => {
                let socket =
                    UdpSocket::bind("0.0.0.0:0").map_err(|e| Error::Metrics(e.to_string()))?;
                let sink = UdpMetricSink::from(address, socket)
                    .map_err(|error| Error::Metrics(error.to_string()))?;
                StatsdClient::from_sink(&settings.prefix, QueuingMetricSink::from(sink))
            }
        };
        Ok(Self {
            client,
            counts: Mutex::default(),
        })
    }

    /// Adds one to a counter, such as `refused.customer_rate`.
    pub fn increment(&self, name: &str) {
        // A full queue to the collector loses a sample; the map below still has it.
        drop(self.client.incr(name));
        let mut counts = self.counts.lock().expect("no holder of the lock panics");
        match counts.get_mut(name) {
            Some(count) => *count += 1,
            None => {
                counts.insert(name.to_owned(), 1);
            }
        }
    }

    /// All counters by name.
    pub fn snapshot(&self) -> BTreeMap<String, u64> {
        self.counts
            .lock()
            .expect("no holder of the lock panics")
            .clone()
    }
}
