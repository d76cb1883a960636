//! Structured logging to standard output, through one bounded queue.
//!
//! The logging thread formats a line and puts it into the queue; a background thread writes the queued
//! lines in batches. If the queue is full the line is dropped and counted, so that no request waits for
//! its log output.

use std::fmt::Write as _;
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, OnceLock};
use std::thread::{self, Thread};
use std::time::{Duration, Instant};

use log::kv::{Key, Value, VisitSource};

use crate::{Error, clock};

/// Capacity of the queue, in lines.
const QUEUE_LINES: usize = 4_096;
/// Most bytes in the queue. Ordinary lines are far shorter than the average that this allows, but callers choose the ids and
/// paths in them.
const MAX_QUEUED_BYTES: u64 = 4 << 20;
/// Time for which lines are collected after the first one, to be written in one batch.
const BATCH_TIME: Duration = Duration::from_millis(100);
/// Longest time that [`flush`] waits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Time between two checks of the queue by a flush.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Queue of the process's logger.
static PROCESS_QUEUE: OnceLock<LineQueue> = OnceLock::new();

/// State that the queue and its thread share.
#[derive(Debug, Default)]
struct QueueState {
    /// Number of lines that are queued or being written.
    unwritten_lines: AtomicU64,
    /// Bytes of these lines.
    unwritten_bytes: AtomicU64,
    /// Lines dropped since the last batch.
    dropped_lines: AtomicU64,
    /// Whether the current batch is to be written at once.
    is_flush_requested: AtomicBool,
}

/// Bounded queue of lines, which a thread of its own writes in batches.
#[derive(Debug)]
pub struct LineQueue {
    sender: SyncSender<String>,
    state: Arc<QueueState>,
    writer: Thread,
}

impl LineQueue {
    /// Opens a queue of `capacity_lines`. Lines are collected for `batch_time` after the first one.
    pub fn open<W>(output: W, capacity_lines: usize, batch_time: Duration) -> Result<Self, Error>
    where
        W: Write + Send + 'static,
    {
        let state = Arc::new(QueueState::default());
        let (sender, receiver) = sync_channel(capacity_lines);
        let writer_state = Arc::clone(&state);
        let handle = thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(output, &receiver, &writer_state, batch_time))
            .map_err(Error::Thread)?;
        Ok(Self {
            sender,
            state,
            writer: handle.thread().clone(),
        })
    }

    /// Queues a line, or drops and counts it if the queue is full.
    pub fn push(&self, line: String) {
        let bytes = line.len() as u64;
        let queued_bytes = self
            .state
            .unwritten_bytes
            .fetch_add(bytes, Ordering::AcqRel);
        self.state.unwritten_lines.fetch_add(1, Ordering::AcqRel);
        if queued_bytes + bytes > MAX_QUEUED_BYTES || self.sender.try_send(line).is_err() {
            self.state.unwritten_lines.fetch_sub(1, Ordering::AcqRel);
            self.state
                .unwritten_bytes
                .fetch_sub(bytes, Ordering::AcqRel);
            self.state.dropped_lines.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Has all queued lines written without the batch time, and waits for it up to `limit`. Returns
    /// whether they are written.
    pub fn flush(&self, limit: Duration) -> bool {
        let started = Instant::now();
        while self.state.unwritten_lines.load(Ordering::Acquire) > 0 {
            if started.elapsed() >= limit {
                return false;
            }
            // Repeated, since another thread may have started a new batch with its line meanwhile.
            self.state.is_flush_requested.store(true, Ordering::Release);
            self.writer.unpark();
            thread::sleep(FLUSH_POLL_INTERVAL);
        }
        true
    }
}

impl QueueState {
    /// Waits for the end of a batch: until `batch_time` is over or a flush is requested.
    fn wait_for_batch(&self, batch_time: Duration) {
        let started = Instant::now();
        while !self.is_flush_requested.swap(false, Ordering::AcqRel) {
            let Some(left) = batch_time.checked_sub(started.elapsed()) else {
                return;
            };
            thread::park_timeout(left);
        }
    }
}

/// Collects the key-value pairs of a record. Unsigned integers and booleans keep their JSON type; all
/// other values become strings.
#[derive(Debug, Default)]
struct Pairs(Vec<(String, serde_json::Value)>);

impl<'kvs> VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let json = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => number.into(),
            (None, Some(flag)) => flag.into(),
            (None, None) => value.to_string().into(),
        };
        self.0.push((key.to_string(), json));
        Ok(())
    }
}

fn pairs(record: &log::Record<'_>) -> Vec<(String, serde_json::Value)> {
    let mut pairs = Pairs::default();
    // A value that cannot be formatted is left out; the line is still worth writing.
    drop(record.key_values().visit(&mut pairs));
    pairs.0
}

/// Formats a log record as text: time in Unix milliseconds, level, message, then `key=value` pairs.
pub fn text_line(message: &std::fmt::Arguments<'_>, record: &log::Record<'_>) -> String {
    let mut line = format!("{} {} {message}", clock::unix_ms(), record.level());
    for (key, value) in pairs(record) {
        let value = value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned);
        write!(line, " {key}={value}").expect("writing to a string cannot fail");
    }
    line
}

/// Formats a log record as one JSON object, with its key-value pairs as further fields.
pub fn json_line(message: &std::fmt::Arguments<'_>, record: &log::Record<'_>) -> String {
    let mut object = serde_json::Map::new();
    object.insert("unix_ms".to_owned(), clock::unix_ms().into());
    object.insert("level".to_owned(), record.level().as_str().into());
    object.insert("target".to_owned(), record.target().into());
    object.insert("message".to_owned(), message.to_string().into());
    for (key, value) in pairs(record) {
        object.insert(key, value);
    }
    serde_json::Value::Object(object).to_string()
}

/// Installs the logger of the process, which writes JSON lines to standard output.
///
/// `level` applies to the gateway, the platform adapter and the program; all other crates log warnings and
/// errors at most.
pub fn open(level: log::LevelFilter) -> Result<(), Error> {
    let queue = LineQueue::open(std::io::stdout(), QUEUE_LINES, BATCH_TIME)?;
    let queue = PROCESS_QUEUE.get_or_init(|| queue);
    fern::Dispatch::new()
        .level(level.min(log::LevelFilter::Warn))
        .level_for("tealsaddle_gateway", level)
        .level_for("tealsaddle_platform", level)
        .level_for("tealsaddle", level)
        .format(|out, message, record| {
            out.finish(format_args!("{}", json_line(message, record)));
        })
        .chain(fern::Output::call(|record| {
            queue.push(record.args().to_string());
        }))
        .apply()
        .map_err(|error| Error::Log(error.to_string()))
}

fn write_lines<W>(
    mut output: W,
    receiver: &Receiver<String>,
    state: &QueueState,
    batch_time: Duration,
) where
    W: Write,
{
    while let Ok(first) = receiver.recv() {
        state.wait_for_batch(batch_time);
        let mut bytes = first.len();
        let mut text = first + "\n";
        let mut lines = 1;
        while let Ok(line) = receiver.try_recv() {
            bytes += line.len();
            text.push_str(&line);
            text.push('\n');
            lines += 1;
        }
        let left_out = state.dropped_lines.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            writeln!(
                text,
                "{{\"unix_ms\":{},\"level\":\"WARN\",\"message\":\"log lines dropped\",\"lines\":{left_out}}}",
                clock::unix_ms()
            )
            .expect("writing to a string cannot fail");
        }
        // There is no other place to report that the output is closed.
        drop(output.write_all(text.as_bytes()));
        drop(output.flush());
        state
            .unwritten_bytes
            .fetch_sub(bytes as u64, Ordering::AcqRel);
        state.unwritten_lines.fetch_sub(lines, Ordering::AcqRel);
    }
}

/// Waits until all queued lines of the process's logger are written, up to a limit. To be called before
/// the process exits.
pub fn flush() {
    if let Some(queue) = PROCESS_QUEUE.get() {
        // Lines left after the limit are lost; there is no other place to report them.
        let _is_complete = queue.flush(FLUSH_TIMEOUT);
    }
}
