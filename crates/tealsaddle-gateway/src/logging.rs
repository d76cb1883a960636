//! Structured lines to standard output, through one bounded queue.
//!
//! A line is formatted where it is written and put into a queue; a thread of its own writes what has
//! gathered. When the queue is full the line is dropped and counted, so that no request ever waits for
//! its log.

use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use log::kv::{Key, Value, VisitSource};

use crate::{Error, clock};

/// Lines that wait to be written.
const QUEUE_LINES: usize = 4_096;
/// Time that lines gather before they are written together.
const GATHER: Duration = Duration::from_millis(100);
/// Longest time for the last lines of a process.
const FLUSH_TIME: Duration = Duration::from_millis(200);
/// Time between two looks at the lines that wait.
const FLUSH_INTERVAL: Duration = Duration::from_millis(5);

/// Lines that were queued and are not written yet.
static WAITING_LINES: AtomicU64 = AtomicU64::new(0);

/// Collects the key-value pairs of a record; numbers stay numbers.
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
    // A value that cannot be shown is left out; the line itself is still worth writing.
    drop(record.key_values().visit(&mut pairs));
    pairs.0
}

/// A line as text.
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

/// A line as JSON.
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

/// Opens the log for the whole process: JSON lines to standard output.
pub fn open(level: log::LevelFilter) -> Result<(), Error> {
    let dropped = Arc::new(AtomicU64::new(0));
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let of_thread = Arc::clone(&dropped);
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&receiver, &of_thread))
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
    WAITING_LINES.fetch_add(1, Ordering::AcqRel);
    if sender.try_send(line).is_err() {
        WAITING_LINES.fetch_sub(1, Ordering::AcqRel);
        dropped.fetch_add(1, Ordering::Relaxed);
    }
}

fn write_lines(receiver: &Receiver<String>, dropped: &AtomicU64) {
    let mut out = std::io::stdout().lock();
    while let Ok(first) = receiver.recv() {
        std::thread::sleep(GATHER);
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
        // Standard output that is gone leaves nowhere to say so.
        drop(out.write_all(text.as_bytes()));
        drop(out.flush());
        WAITING_LINES.fetch_sub(lines, Ordering::AcqRel);
    }
}

/// Waits until the last lines of a process are written.
pub fn flush() {
    let started = Instant::now();
    while WAITING_LINES.load(Ordering::Acquire) > 0 && started.elapsed() < FLUSH_TIME {
        std::thread::sleep(FLUSH_INTERVAL);
    }
}
