//! Clocks and jittered pauses.
//!
//! Leases are measured with a clock that includes the time for which the VM was suspended. The monotonic
//! clock of the standard library stops during a suspension, so that a lease holder could act on a lease
//! that has ended meanwhile.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use rand::RngExt;

/// Microseconds since the VM booted, including suspended time.
pub fn now_us() -> u64 {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the kernel has a boot-time clock");
    time.tv_sec() as u64 * 1_000_000 + time.tv_nsec() as u64 / 1_000
}

/// Unix time in microseconds, which may jump.
pub fn unix_us() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_micros() as u64)
}

/// Unix time in milliseconds, for logs and stored records; leases and timeouts use [`now_us`].
pub fn unix_ms() -> u64 {
    unix_us() / 1_000
}

/// Returns a random duration between half of `pause` and `pause`, so that nodes or callers do not act at
/// the same time.
pub fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.0))
}
