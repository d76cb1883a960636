//! Splits a stream of server-sent events at event boundaries.
//!
//! A runner may stop in the middle of an event. A stream that another runner resumes must contain
//! complete events only, so bytes are buffered until their event is complete. A stream that is not resumed is
//! passed on as it arrives; it is complete only if it ends between two events.

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

    /// Returns the number of bytes of the event that is not complete.
    pub const fn incomplete_bytes(&self) -> usize {
        self.buffered.len()
    }

    /// Returns the id of the last complete event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Tells whether a stream that is passed on as it arrives is between two events.
#[derive(Debug, Default)]
pub struct EventBoundary {
    /// Number of bytes since the last complete event.
    incomplete_bytes: usize,
    /// Number of bytes in the current line, without carriage returns.
    line_bytes: usize,
}

impl EventBoundary {
    /// Takes the next bytes of the stream.
    ///
    /// # Examples
    ///
    /// ```
    /// use tealsaddle_core::fleet::events::EventBoundary;
    ///
    /// let mut boundary = EventBoundary::default();
    /// boundary.push(b"id: 4\ndata: a\n\nid: 5\n");
    /// assert_eq!(boundary.incomplete_bytes(), 6);
    /// ```
    pub fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.incomplete_bytes += 1;
            match byte {
                b'\n' if self.line_bytes == 0 => self.incomplete_bytes = 0,
                b'\n' => self.line_bytes = 0,
                b'\r' => {}
                _ => self.line_bytes += 1,
            }
        }
    }

    /// Returns the number of bytes since the last complete event.
    pub const fn incomplete_bytes(&self) -> usize {
        self.incomplete_bytes
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
