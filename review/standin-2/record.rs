//! The record of a case: what was sent, answered and run, with times.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Debug, Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn open(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self(Arc::new((Instant::now(), Mutex::new(file))))
    }

    /// A record of what need not be kept.
    pub fn none() -> Self {
        Self::open(Path::new("/dev/null"))
    }

    pub fn add(&self, text: &str) {
        let ms = self.0 .0.elapsed().as_millis();
        let line = format!("{:>3}.{:03} {text}\n", ms / 1000, ms % 1000);
        self.0
             .1
            .lock()
            .unwrap()
            .write_all(line.as_bytes())
            .expect("the record can be written");
    }
}
