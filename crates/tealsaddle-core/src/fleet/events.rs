//! Splits a stream of server-sent events at event boundaries.
//!
//! A runner may stop in the middle of an event. A stream that another runner resumes must contain
//! complete events only, so bytes are buffered until their event is complete. A stream that is not resumed is
//! passed on as it arrives; it is complete only if it ends between two events.

/// Byte order mark, with which a stream may begin.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Buffers the bytes of one stream and releases them at event boundaries.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffered: Vec<u8>,
    boundary: EventBoundary,
    last_id: Option<String>,
    has_released: bool,
    /// Whether the next bytes are the start of another runner's stream, whose byte order mark is dropped.
    drops_mark: bool,
    /// Id of the event after which the present runner was asked to go on, until its first event has come.
    goes_on_after: Option<String>,
    is_out_of_order: bool,
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
        self.boundary.push(bytes);
        let end = self.buffered.len() - self.boundary.incomplete_bytes();
        if end == 0 {
            return Vec::new();
        }
        let incomplete = self.buffered.split_off(end);
        let mut complete = std::mem::replace(&mut self.buffered, incomplete);
        if std::mem::take(&mut self.drops_mark) && complete.starts_with(BYTE_ORDER_MARK) {
            complete.drain(..BYTE_ORDER_MARK.len());
        }
        if !self.goes_on(&complete) {
            self.is_out_of_order = true;
            return Vec::new();
        }
        self.has_released = true;
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        complete
    }

    /// Expects that the stream goes on after the event with this id, which the reader has.
    pub fn expect_after(&mut self, id: &str) {
        self.goes_on_after = Some(id.to_owned());
    }

    /// Whether the present runner was asked to go on after an event and has sent none yet.
    pub const fn is_expected_to_go_on(&self) -> bool {
        self.goes_on_after.is_some()
    }

    /// Whether the present runner's stream did not go on where it was expected to. Its events are not released.
    pub const fn is_out_of_order(&self) -> bool {
        self.is_out_of_order
    }

    fn goes_on(&mut self, events: &[u8]) -> bool {
        if let Some(after) = &self.goes_on_after
            && let Some(first) = FirstEvent::find(events)
        {
            if !first.may_follow(after) {
                return false;
            }
            self.goes_on_after = None;
        }
        !self.is_out_of_order
    }

    /// Removes and returns the bytes of the event that is not complete. What is pushed next is the start of
    /// another stream, which goes on after the last event released.
    pub fn take_incomplete(&mut self) -> Vec<u8> {
        self.boundary = EventBoundary::default();
        self.drops_mark = self.has_released;
        self.is_out_of_order = false;
        if let Some(last_id) = &self.last_id {
            self.goes_on_after = Some(last_id.clone());
        }
        std::mem::take(&mut self.buffered)
    }

    /// Returns the number of bytes of the event that is not complete.
    pub const fn incomplete_bytes(&self) -> usize {
        self.buffered.len()
    }

    /// Returns the number of complete events of the present runner's stream.
    pub const fn events(&self) -> u64 {
        self.boundary.events()
    }

    /// Returns the id of the last complete event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Tells whether a stream is between two events: after an empty line, or after a comment that follows one.
///
/// Lines end with LF, CR LF or CR. While a stream has had no bare CR, a line that ends with one is still open: the
/// second half of the line end may be missing.
#[derive(Debug, Default)]
pub struct EventBoundary {
    total_bytes: usize,
    events: u64,
    /// Number of bytes since the last complete event.
    incomplete_bytes: usize,
    line: Line,
    /// Whether the current event has a field.
    has_fields: bool,
    carriage_return: CarriageReturn,
    has_bare_carriage_return: bool,
}

/// What the current line holds so far.
#[derive(Debug, Default, Clone, Copy)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
}

/// Meaning of the byte before the current one, if it was a CR.
#[derive(Debug, Default, Clone, Copy)]
enum CarriageReturn {
    /// It was another byte.
    #[default]
    None,
    /// The next byte tells whether the line has ended.
    Open,
    /// It has ended the line. An LF would belong to it.
    Ended,
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
            self.push_byte(*byte);
        }
    }

    /// Returns the number of bytes since the last complete event.
    pub const fn incomplete_bytes(&self) -> usize {
        self.incomplete_bytes
    }

    /// Returns the number of complete events that had a field.
    pub const fn events(&self) -> u64 {
        self.events
    }

    fn push_byte(&mut self, byte: u8) {
        let before = std::mem::take(&mut self.carriage_return);
        if matches!(before, CarriageReturn::Open) && byte != b'\n' {
            self.has_bare_carriage_return = true;
            self.end_line();
        }
        self.incomplete_bytes += 1;
        match (byte, before) {
            // The line end began with the CR. If that was the end of an event, this byte belongs to the event.
            (b'\n', CarriageReturn::Ended) if self.incomplete_bytes == 1 => {
                self.incomplete_bytes = 0;
            }
            (b'\n', CarriageReturn::Ended) => {}
            (b'\n', _) => self.end_line(),
            (b'\r', _) if self.has_bare_carriage_return => {
                self.end_line();
                self.carriage_return = CarriageReturn::Ended;
            }
            (b'\r', _) => self.carriage_return = CarriageReturn::Open,
            _ => self.push_content(byte),
        }
        self.total_bytes += 1;
    }

    fn push_content(&mut self, byte: u8) {
        if matches!(self.line, Line::Empty) && !self.is_byte_order_mark(byte) {
            self.line = if byte == b':' {
                Line::Comment
            } else {
                Line::Field
            };
        }
    }

    /// Whether a byte continues the byte order mark at the start of the stream.
    fn is_byte_order_mark(&self, byte: u8) -> bool {
        let is_first_line = self.incomplete_bytes == self.total_bytes + 1;
        is_first_line && BYTE_ORDER_MARK.get(self.total_bytes) == Some(&byte)
    }

    fn end_line(&mut self) {
        let ends_event = match std::mem::take(&mut self.line) {
            Line::Empty => true,
            Line::Comment => !self.has_fields,
            Line::Field => false,
        };
        self.events += u64::from(ends_event && self.has_fields);
        self.has_fields = !ends_event;
        if ends_event {
            self.incomplete_bytes = 0;
        }
    }
}

fn last_id(events: &[u8]) -> Option<String> {
    let events = events.strip_prefix(BYTE_ORDER_MARK).unwrap_or(events);
    let mut lines = events.rsplit(|byte| matches!(byte, b'\n' | b'\r'));
    lines.find_map(id_of_line)
}

fn id_of_line(line: &[u8]) -> Option<String> {
    let id = String::from_utf8_lossy(line.strip_prefix(b"id:")?);
    Some(id.trim().to_owned())
}

/// The first event of a stream that has data or an id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FirstEvent {
    /// Its id; `None` if it has none.
    pub id: Option<String>,
}

impl FirstEvent {
    /// Finds the first event with data or an id among complete events.
    ///
    /// # Examples
    ///
    /// ```
    /// use tealsaddle_core::fleet::events::FirstEvent;
    ///
    /// let first = FirstEvent::find(b": ping\n\nid: 4\ndata: a\n\n");
    /// assert_eq!(first, Some(FirstEvent { id: Some("4".to_owned()) }));
    /// ```
    pub fn find(events: &[u8]) -> Option<Self> {
        let events = events.strip_prefix(BYTE_ORDER_MARK).unwrap_or(events);
        let mut id = None;
        let mut has_data = false;
        for line in lines(events) {
            if line.is_empty() && (has_data || id.is_some()) {
                return Some(Self { id });
            }
            has_data |= line == b"data" || line.starts_with(b"data:");
            id = id_of_line(line).or(id);
        }
        None
    }

    /// Whether it may follow the event with id `last_id`. Ids rise; those that are not numbers can only be told apart.
    /// Without an id this cannot be told.
    pub fn may_follow(&self, last_id: &str) -> bool {
        let Some(id) = &self.id else {
            return false;
        };
        match (id.parse::<u64>(), last_id.parse::<u64>()) {
            (Ok(number), Ok(last)) => number > last,
            (Ok(_) | Err(_), Ok(_) | Err(_)) => id != last_id,
        }
    }
}

/// Lines of complete events, which end with LF, CR LF or CR.
fn lines(mut rest: &[u8]) -> impl Iterator<Item = &[u8]> {
    std::iter::from_fn(move || {
        let end = rest.iter().position(|b| matches!(b, b'\n' | b'\r'))?;
        let (line, ended) = rest.split_at(end);
        let line_end = if ended.starts_with(b"\r\n") { 2 } else { 1 };
        rest = &ended[line_end..];
        Some(line)
    })
}
