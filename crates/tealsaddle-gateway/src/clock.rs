//! The node's clock, and pauses.
//!
//! Leases and pauses are judged on a clock that counts suspended time. The monotonic clock of the
//! standard library stops while the VM is suspended, so a holder that slept could believe that its
//! lease still runs.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use rand::RngExt;

/// Microseconds since the VM's boot, suspended time included.
pub fn now_us() -> u64 {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the kernel has a boot-time clock");
    time.tv_sec() as u64 * 1_000_000 + time.tv_nsec() as u64 / 1_000
}

/// Milliseconds since 1970, for records that people read.
pub fn unix_ms() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// A pause between half of it and the whole, so that nodes or callers do not come together.
pub fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.0))
}
