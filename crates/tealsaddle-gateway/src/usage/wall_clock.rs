//! The wall clock of a node, which may jump.

use std::fmt::Debug;

use crate::clock;

/// A source of the wall-clock time.
pub trait WallClock: Debug + Send + Sync {
    /// Microseconds since the start of 1970.
    fn unix_us(&self) -> u64;
}

/// The clock of the operating system.
#[derive(Debug)]
pub struct SystemWallClock;

impl WallClock for SystemWallClock {
    fn unix_us(&self) -> u64 {
        clock::unix_us()
    }
}
