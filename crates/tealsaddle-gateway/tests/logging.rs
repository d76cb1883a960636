//! Tests of the bounded queue of log lines.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tealsaddle_gateway::logging::LineQueue;

/// Limit on a hang; no flush of these tests takes that long.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);
/// A batch time that no test waits out.
const LONG_BATCH_TIME: Duration = Duration::from_secs(3_600);

/// Keeps what is written.
#[derive(Debug, Clone, Default)]
struct Memory(Arc<Mutex<Vec<u8>>>);

impl Memory {
    fn text(&self) -> String {
        let bytes = self.0.lock().expect("the lock is not poisoned").clone();
        String::from_utf8(bytes).expect("log lines are text")
    }
}

impl Write for Memory {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("the lock is not poisoned").write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Reports each write as it begins, and completes it once the test permits it.
#[derive(Debug)]
struct BlockingOutput {
    begun: Sender<()>,
    permits: Receiver<()>,
    written: Memory,
}

impl Write for BlockingOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.begun.send(()).map_err(io::Error::other)?;
        self.permits.recv().map_err(io::Error::other)?;
        self.written.write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against losing the last lines of a process that exits while the log thread collects a batch.
#[test]
fn flush_writes_queued_lines_without_waiting_for_the_batch_time() {
    let written = Memory::default();
    let queue = LineQueue::open(written.clone(), 16, LONG_BATCH_TIME).expect("a thread starts");
    for line in ["first", "last"] {
        queue.push(line.to_owned());
        assert!(queue.flush(HANG_TIMEOUT), "{line}");
    }
    assert_eq!(written.text(), "first\nlast\n");
}

/// Guards against an output that stalls the threads that log, or that loses lines without a count.
#[test]
fn stalled_output_drops_and_counts_lines_in_place_of_blocking() {
    let (begun, begins) = channel();
    let (permit, permits) = channel();
    let written = Memory::default();
    let output = BlockingOutput {
        begun,
        permits,
        written: written.clone(),
    };
    let queue = LineQueue::open(output, 2, Duration::ZERO).expect("a thread starts");
    queue.push("first".to_owned());
    begins.recv().expect("the first line is being written");
    for line in ["second", "third", "fourth", "fifth"] {
        queue.push(line.to_owned());
    }
    assert!(!queue.flush(Duration::ZERO));
    for _write in 0..2 {
        permit.send(()).expect("the log thread waits");
    }
    assert!(queue.flush(HANG_TIMEOUT));
    let text = written.text();
    let lines: Vec<&str> = text.lines().collect();
    let [first, second, third, dropped] = lines.as_slice() else {
        panic!("{lines:?}");
    };
    assert_eq!([*first, *second, *third], ["first", "second", "third"]);
    assert!(
        dropped.contains("\"log lines dropped\",\"lines\":2"),
        "{dropped}"
    );
}

/// Guards against a queue that few long lines fill with far more memory than its usual lines take: callers choose the ids
/// and paths in them.
#[test]
fn long_lines_are_dropped_beyond_the_bytes_of_the_queue() {
    const LONG_LINE_BYTES: usize = 3 << 20;
    let (begun, begins) = channel();
    let (permit, permits) = channel();
    let written = Memory::default();
    let output = BlockingOutput {
        begun,
        permits,
        written: written.clone(),
    };
    let queue = LineQueue::open(output, 16, Duration::ZERO).expect("a thread starts");
    queue.push("first".to_owned());
    begins.recv().expect("the first line is being written");
    for line in [
        "a".repeat(LONG_LINE_BYTES),
        "b".repeat(LONG_LINE_BYTES),
        "last".to_owned(),
    ] {
        queue.push(line);
    }
    for _write in 0..2 {
        permit.send(()).expect("the log thread waits");
    }
    assert!(queue.flush(HANG_TIMEOUT));
    let text = written.text();
    let lines: Vec<&str> = text.lines().collect();
    let [_first, long, last, dropped] = lines.as_slice() else {
        panic!("{} lines", lines.len());
    };
    assert!(long.starts_with('a'));
    assert_eq!(*last, "last");
    assert!(
        dropped.contains("\"log lines dropped\",\"lines\":1"),
        "{dropped}"
    );
}
