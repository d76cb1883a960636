//! Structured logging to standard output, through one bounded queue.
//!
//! The logging thread formats a line and puts it into the queue; a background thread writes the queued
//! lines in batches. If the queue is full the line is dropped and counted, so that no request waits for
//! its log output.

use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use log::kv::{Key, Value, VisitSource};

use crate::{Error, clock};

/// Capacity of the queue, in lines.
const QUEUE_LINES: usize = 4_096;
/// Time for which lines are collected after the first one, to be written in one batch.
const BATCH_TIME: Duration = Duration::from_millis(100);
/// Longest time that [`flush`] waits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Time between two checks of the queue by [`flush`].
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Number of lines that are queued or being written.
static UNWRITTEN_LINES: AtomicU64 = AtomicU64::new(0);

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
    let dropped = Arc::new(AtomicU64::new(0));
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let thread_dropped = Arc::clone(&dropped);
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&receiver, &thread_dropped))
        .map_err(Error::Thread)?;
    fern::Dispatch::new()
        .level(level.min(log::LevelFilter::Warn))
        .level_for("tealsaddle_gateway", level)
        .level_for("tealsaddle_platform", level)
        .level_for("tealsaddle", level)
        .format(|out, message, record| {
            out.finish(format_args!("{}", json_line(message, record)));
        })
        .chain(fern::Output::call(move |record| {
            enqueue(&sender, &dropped, record.args().to_string());
        }))
        .apply()
        .map_err(|error| Error::Log(error.to_string()))
}

fn enqueue(sender: &SyncSender<String>, dropped: &AtomicU64, line: String) {
    UNWRITTEN_LINES.fetch_add(1, Ordering::AcqRel);
    if sender.try_send(line).is_err() {
        UNWRITTEN_LINES.fetch_sub(1, Ordering::AcqRel);
        dropped.fetch_add(1, Ordering::Relaxed);
    }
}

fn write_lines(receiver: &Receiver<String>, dropped: &AtomicU64) {
    let mut out = std::io::stdout().lock();
    while let Ok(first) = receiver.recv() {
        std::thread::sleep(BATCH_TIME);
        let mut text = first + "\n";
        let mut lines = 1;
        while let Ok(line) = receiver.try_recv() {
            text.push_str(&line);
            text.push('\n');
            lines += 1;
        }
        let left_out = dropped.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            writeln!(
                text,
                "{{\"unix_ms\":{},\"level\":\"WARN\",\"message\":\"log lines dropped\",\"lines\":{left_out}}}",
                clock::unix_ms()
            )
            .expect("writing to a string cannot fail");
        }
        // There is no other place to report that standard output is closed.
        drop(out.write_all(text.as_bytes()));
        drop(out.flush());
        UNWRITTEN_LINES.fetch_sub(lines, Ordering::AcqRel);
    }
}

/// Waits until all queued lines are written, up to a limit. To be called before the process exits.
pub fn flush() {
    let started = Instant::now();
    while UNWRITTEN_LINES.load(Ordering::Acquire) > 0 && started.elapsed() < FLUSH_TIMEOUT {
        std::thread::sleep(FLUSH_POLL_INTERVAL);
    }
}
