//! An estimate of the true time from the wall clocks of many nodes.
//!
//! Wall clocks of some nodes jump. Each reading of a node's wall clock is compared with the monotonic clock of the reader,
//! and the median over the nodes is taken: as long as fewer than half of the clocks are wrong, the estimate lies between two
//! right ones.

use std::net::SocketAddr;

use crate::collections::HashMap;

/// Time for which a reading counts.
const READING_VALID_US: u64 = 60_000_000;

#[derive(Debug, Clone, Copy)]
struct Reading {
    /// Wall clock of the node minus monotonic clock of the reader.
    offset_us: i64,
    read_us: u64,
}

/// The latest readings of the nodes' wall clocks.
#[derive(Debug, Default)]
pub struct TrueTime {
    readings: HashMap<SocketAddr, Reading>,
}

impl TrueTime {
    /// Takes over that the wall clock of a node showed `unix_us` at `now_us` of the own monotonic clock.
    pub fn on_reading(&mut self, node: SocketAddr, unix_us: u64, now_us: u64) {
        let reading = Reading {
            offset_us: unix_us as i64 - now_us as i64,
            read_us: now_us,
        };
        self.readings.insert(node, reading);
    }

    /// True time minus the own monotonic clock; `None` if clocks of fewer than `needed` nodes were read lately.
    pub fn offset_us(&mut self, now_us: u64, needed: usize) -> Option<i64> {
        self.readings
            .retain(|_node, reading| reading.read_us + READING_VALID_US > now_us);
        let mut offsets: Vec<i64> = self.readings.values().map(|r| r.offset_us).collect();
        offsets.sort_unstable();
        let median = offsets.get(offsets.len().saturating_sub(1) / 2).copied();
        median.filter(|_offset| offsets.len() >= needed.max(1))
    }
}
