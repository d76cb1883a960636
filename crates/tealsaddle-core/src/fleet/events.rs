//! Splits a stream of server-sent events at event boundaries.
//!
//! A runner may stop in the middle of an event. A stream that another runner resumes must contain
//! complete events only, so bytes are buffered until their event is complete.

/// Buffers the bytes of one stream and releases them at event boundaries.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffered: Vec<u8>,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Appends received bytes and returns the bytes of all events that are complete now.
    ///
    /// # Examples
    ///
    /// ```
    /// use tealsaddle_core::fleet::events::EventSplitter;
    ///
    /// let mut splitter = EventSplitter::default();
    /// assert_eq!(splitter.push(b"id: 4\ndata: a\n\nid: 5\nda"), b"id: 4\ndata: a\n\n");
    /// assert_eq!(splitter.last_id(), Some("4"));
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.buffered.extend_from_slice(bytes);
        let Some(end) = end_of_events(&self.buffered) else {
            return Vec::new();
        };
        let incomplete = self.buffered.split_off(end);
        let complete = std::mem::replace(&mut self.buffered, incomplete);
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        complete
    }

    /// Removes and returns the bytes of the event that is not complete.
    pub fn take_incomplete(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.buffered)
    }

    /// Returns the id of the last complete event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Returns the position after the last empty line, which terminates an event.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    (0..bytes.len()).rev().find_map(|at| {
        let line_end = bytes[at] == b'\n';
        let before = bytes[..at].strip_suffix(b"\r").unwrap_or(&bytes[..at]);
        (line_end && before.last() == Some(&b'\n')).then_some(at + 1)
    })
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = String::from_utf8_lossy(ids.next()?);
    Some(id.trim().to_owned())
}
