//! Timeout that allows for a paused process.
//!
//! After a pause the timers of the runtime are due before it has polled its sockets, since the signal that
//! continues the process interrupts the poll. What arrived during the pause must not count as missing.

use std::time::Duration;

use tokio::time::Instant;
use tokio::time::error::Elapsed;

/// A timer that fires later than this after its deadline does so because the process was paused or busy.
pub const LATE: Duration = Duration::from_millis(5);
/// Time after a deadline in which the runtime reads what has arrived before it. It takes several turns of the
/// runtime to poll many sockets and to pass the data on between tasks.
pub const READ_GRACE: Duration = Duration::from_millis(20);

/// Waits for a future until `limit`. If the process notices the limit late, the future has [`READ_GRACE`] to
/// take what arrived in the meantime.
pub async fn timeout_at<F>(limit: Instant, future: F) -> Result<F::Output, Elapsed>
where
    F: Future,
{
    tokio::pin!(future);
    match tokio::time::timeout_at(limit, future.as_mut()).await {
        Ok(output) => Ok(output),
        Err(_elapsed) if limit.elapsed() > LATE => tokio::time::timeout(READ_GRACE, future).await,
        Err(elapsed) => Err(elapsed),
    }
}
