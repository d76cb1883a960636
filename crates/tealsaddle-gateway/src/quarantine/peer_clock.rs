//! The clock of another node, as far as an exchange of messages can tell.
//!
//! Losses that several nodes have seen are compared by their times, so the times of a report are given on the clock
//! of its collector. A report that is under way for long does not make its losses later.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tealsaddle_schema::fleet::ClockReply;

use crate::clock;
use crate::quarantine::messages;
use crate::upstream::Upstreams;

/// How often a clock is read, if no reading is accurate.
const READINGS: usize = 3;
/// Error of a reading that is accurate enough, in microseconds.
const ACCURATE_US: u64 = 2_000;
/// Time for one reading.
const READING_TIMEOUT: Duration = Duration::from_millis(200);

/// The clock of a node in relation to the own one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClockReading {
    /// How far it is ahead, in microseconds.
    pub ahead_us: i64,
    /// Largest error, in microseconds.
    pub error_us: u64,
}

impl ClockReading {
    /// A reading by a question that was asked and answered at times of the own clock.
    fn new(asked_us: u64, answered_us: u64, now_there_us: u64) -> Self {
        // The time was read at any moment between the question and the answer.
        let error_us = answered_us.saturating_sub(asked_us) / 2;
        Self {
            ahead_us: now_there_us.wrapping_sub(asked_us + error_us).cast_signed(),
            error_us,
        }
    }
}

/// Reads the clock of a node; returns the most accurate reading, or `None` if the node does not answer.
pub async fn read(upstreams: &Arc<Upstreams>, node: SocketAddr) -> Option<ClockReading> {
    let mut best: Option<ClockReading> = None;
    for _reading in 0..READINGS {
        let asked_us = clock::now_us();
        let path = messages::CLOCK_PATH;
        let reply = messages::call(upstreams, node, path, &(), READING_TIMEOUT).await;
        let reply: ClockReply = reply?;
        let reading = ClockReading::new(asked_us, clock::now_us(), reply.now_us);
        if best.is_none_or(|best| reading.error_us < best.error_us) {
            best = Some(reading);
        }
        if reading.error_us <= ACCURATE_US {
            break;
        }
    }
    best
}
