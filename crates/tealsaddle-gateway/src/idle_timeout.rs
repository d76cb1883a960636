//! Idle timeout of callers' connections.
//!
//! Hyper closes a connection when the head of its next request has not arrived by the end of a timer. The
//! timer here follows the configuration in force, so that a raised limit also holds for connections that are
//! already idle; a lowered one takes effect with the next wait, since the caller may still rely on the
//! earlier limit. Once the first bytes of a head have arrived, the caller has the header timeout to complete
//! it. Before the timer ends, the socket is read again: after the process was paused, the timer is due
//! although the request has arrived.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::rt::{Sleep, Timer};
use tealsaddle_core::fleet::config::CallerLimits;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::caller_memory::{ConnectionShare, Part};
use crate::gateway::Gateway;
use crate::timeout::{LATE, READ_GRACE};

/// Pause after the grace before the timer ends. Hyper looks at the timer before it reads: without this pause, a head that
/// the runtime finds in the same turn in which the grace is over would not be read.
const LAST_READ: Duration = Duration::from_millis(1);

/// When the first bytes of the next request arrived on a connection.
#[derive(Debug)]
struct FirstRead {
    opened: Instant,
    /// Time since `opened`; 0 before the first bytes.
    at_us: AtomicU64,
    /// Bytes that have arrived since the wait for a request began.
    bytes: AtomicUsize,
}

impl FirstRead {
    fn clear(&self) {
        self.bytes.store(0, Ordering::Relaxed);
        self.at_us.store(0, Ordering::Relaxed);
    }

    fn on_read(&self, bytes: usize) {
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
        let now_us = (self.opened.elapsed().as_micros() as u64).max(1);
        let order = Ordering::Relaxed;
        // Later bytes of the same request change nothing.
        let _is_later = self.at_us.compare_exchange(0, now_us, order, order);
    }

    fn get(&self) -> Option<Instant> {
        let at_us = self.at_us.load(Ordering::Relaxed);
        (at_us > 0).then(|| self.opened + Duration::from_micros(at_us))
    }
}

/// Makes the stream and the timer of one caller connection.
///
/// `buffer_bytes` is the largest size of the buffer into which the stream is read.
pub fn watch(
    stream: TcpStream,
    gateway: Arc<Gateway>,
    share: Arc<ConnectionShare>,
    buffer_bytes: usize,
) -> (WatchedStream, RequestTimer) {
    let first_read = Arc::new(FirstRead {
        opened: Instant::now(),
        at_us: AtomicU64::new(0),
        bytes: AtomicUsize::new(0),
    });
    let timer = RequestTimer {
        gateway,
        first_read: Arc::clone(&first_read),
    };
    let stream = WatchedStream {
        stream,
        first_read,
        share,
        buffer_bytes,
        free_bytes: 0,
    };
    (stream, timer)
}

/// Timer that hyper starts when it begins to wait for a request. It computes the deadline itself and ignores
/// the one from hyper, which is constant for a connection.
#[derive(Debug)]
pub struct RequestTimer {
    gateway: Arc<Gateway>,
    first_read: Arc<FirstRead>,
}

impl Timer for RequestTimer {
    fn sleep(&self, _duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.first_read.clear();
        let limits = self.gateway.caller_limits();
        let began = Instant::now();
        let idle_timeout = Duration::from_millis(limits.idle_timeout_ms);
        Box::pin(RequestWait {
            gateway: Arc::clone(&self.gateway),
            first_read: Arc::clone(&self.first_read),
            limits,
            began,
            sleep: Box::pin(tokio::time::sleep_until(began + idle_timeout)),
            late_reads: 0,
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
    first_read: Arc<FirstRead>,
    /// Limits at the start of the wait.
    limits: CallerLimits,
    began: Instant,
    sleep: Pin<Box<tokio::time::Sleep>>,
    /// How often the socket has been read since the deadline.
    late_reads: u32,
}

impl Sleep for RequestWait {}

impl RequestWait {
    fn deadline(&self) -> Instant {
        let newest = self.gateway.caller_limits();
        let longest = |limit: fn(&CallerLimits) -> u64| {
            Duration::from_millis(limit(&self.limits).max(limit(&newest)))
        };
        let idle_end = self.began + longest(|limits| limits.idle_timeout_ms);
        let head_end = self.first_read.get().map(|first_read| {
            let header_timeout = longest(|limits| limits.header_timeout_ms);
            first_read + header_timeout
        });
        head_end.map_or(idle_end, |head_end| idle_end.max(head_end))
    }
}

impl Future for RequestWait {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.sleep.as_mut().poll(cx));
            let now = Instant::now();
            let deadline = self.deadline();
            let is_busy = now - self.sleep.deadline() > LATE;
            let pause = match self.late_reads {
                _ if deadline > now => {
                    self.late_reads = 0;
                    deadline - now
                }
                0 => READ_GRACE,
                1 => LAST_READ,
                // There are still more sockets to poll than the runtime polls in one turn.
                _ if is_busy => LAST_READ,
                _ => return Poll::Ready(()),
            };
            self.late_reads += u32::from(deadline <= now);
            self.sleep.as_mut().reset(now + pause);
        }
    }
}

/// Stream of a caller that records when the first bytes of a request arrive, and what the connection holds.
#[derive(Debug)]
pub struct WatchedStream {
    stream: TcpStream,
    first_read: Arc<FirstRead>,
    share: Arc<ConnectionShare>,
    /// Largest size of the buffer into which the stream is read.
    buffer_bytes: usize,
    /// Most free space that the buffer had.
    free_bytes: usize,
}

impl WatchedStream {
    fn on_read(&mut self, bytes: usize) {
        self.first_read.on_read(bytes);
        self.share.on_moved(bytes);
        let unread_bytes = self.first_read.bytes.load(Ordering::Relaxed);
        // The head of a request that runs keeps the buffer in which it arrived, beside the one for the next request.
        let buffers = 2 * self.free_bytes + unread_bytes.min(self.buffer_bytes);
        // A connection that is dropped for it learns so by its signal.
        let _may_hold = self.share.set(Part::Buffers, buffers);
    }

    /// Records the result of a write of this many bytes, which are held until the caller reads.
    fn on_write(&self, bytes: usize, result: &Poll<io::Result<usize>>) {
        let unread_bytes = match result {
            Poll::Pending => bytes,
            Poll::Ready(written) => {
                let written = written.as_ref().copied().unwrap_or(0);
                self.share.on_moved(written);
                0
            }
        };
        let _may_hold = self.share.set(Part::Unread, unread_bytes);
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        self.free_bytes = self.free_bytes.max(buf.remaining());
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read_bytes = buf.filled().len() - filled_before;
        if read_bytes > 0 {
            self.on_read(read_bytes);
        }
        result
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.on_write(buf.len(), &result);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        let bytes = bufs.iter().map(|buf| buf.len()).sum();
        self.on_write(bytes, &result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
