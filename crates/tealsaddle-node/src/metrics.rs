//! Counters for requests, and for each reason of refusals and retries.
//!
//! Each increment is sent to StatsD through `cadence` and added to a map that the administration API
//! returns, so that counters are also available in a deployment without a collector.

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
    /// Creates the counters and, if a collector is configured, the UDP socket to it.
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
        // If the queue to the collector is full, this sample is lost there but counted in the map.
        drop(self.client.incr(name));
        let mut counts = self.counts.lock().expect("no holder of the lock panics");
        match counts.get_mut(name) {
            Some(count) => *count += 1,
            None => {
                counts.insert(name.to_owned(), 1);
            }
        }
    }

    /// Returns all counters by name.
    pub fn snapshot(&self) -> BTreeMap<String, u64> {
        self.counts
            .lock()
            .expect("no holder of the lock panics")
            .clone()
    }
}
