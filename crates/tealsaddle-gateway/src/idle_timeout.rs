//! Idle timeout of callers' connections.
//!
//! Hyper closes a connection when the head of its next request has not arrived by the end of a timer. The
//! timer here follows the configuration in force, so that a raised limit also holds for connections that are
//! already idle. A lowered one takes effect with the next wait, since the caller may still rely on the
//! earlier limit.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::rt::{Sleep, Timer};
use tokio::time::Instant;

use crate::gateway::Gateway;

/// Timer that hyper starts when it begins to wait for a request. It computes the deadline itself and ignores
/// the one from hyper, which is constant for a connection.
#[derive(Debug)]
pub struct RequestTimer {
    gateway: Arc<Gateway>,
}

impl RequestTimer {
    /// Creates the timer of one connection.
    pub const fn new(gateway: Arc<Gateway>) -> Self {
        Self { gateway }
    }
}

impl Timer for RequestTimer {
    fn sleep(&self, _duration: Duration) -> Pin<Box<dyn Sleep>> {
        let idle_timeout = Duration::from_millis(self.gateway.caller_limits().idle_timeout_ms);
        let deadline = Instant::now() + idle_timeout;
        Box::pin(RequestWait {
            gateway: Arc::clone(&self.gateway),
            idle_timeout,
            sleep: Box::pin(tokio::time::sleep_until(deadline)),
        })
    }

    fn sleep_until(&self, _deadline: std::time::Instant) -> Pin<Box<dyn Sleep>> {
        self.sleep(Duration::ZERO)
    }

    fn now(&self) -> std::time::Instant {
        Instant::now().into()
    }
}

/// Wait for the head of a request, which ends when the caller has taken too long.
#[derive(Debug)]
struct RequestWait {
    gateway: Arc<Gateway>,
    /// Time that the wait may take: the longest idle timeout seen so far.
    idle_timeout: Duration,
    /// Ends at the end of `idle_timeout`.
    sleep: Pin<Box<tokio::time::Sleep>>,
}

impl Sleep for RequestWait {}

impl Future for RequestWait {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.sleep.as_mut().poll(cx));
            let newest = Duration::from_millis(self.gateway.caller_limits().idle_timeout_ms);
            let Some(raised_by) = newest.checked_sub(self.idle_timeout) else {
                return Poll::Ready(());
            };
            if raised_by.is_zero() {
                return Poll::Ready(());
            }
            self.idle_timeout = newest;
            let deadline = self.sleep.deadline() + raised_by;
            self.sleep.as_mut().reset(deadline);
        }
    }
}
