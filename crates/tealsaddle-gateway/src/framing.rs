//! How the body of an answer says where it ends.

use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;

/// What tells the end of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The head states the length, or the answer has no body.
    Length,
    /// The body comes in chunks, of which the last one is marked.
    Chunks,
    /// The body ends with its connection, which may also have been broken off.
    UntilClose,
}

impl Framing {
    /// The framing of an answer with this head, which has a body if `has_body` is set.
    pub fn of(head: &Parts, has_body: bool) -> Self {
        if !has_body {
            Self::Length
        } else if let Some(codings) = head.headers.get_all(TRANSFER_ENCODING).iter().next_back() {
            // Only chunks have an end of their own (RFC 9112, section 6.3).
            let last = codings.as_bytes().rsplit(|byte| *byte == b',').next();
            let is_chunked =
                last.is_some_and(|last| last.trim_ascii().eq_ignore_ascii_case(b"chunked"));
            if is_chunked {
                Self::Chunks
            } else {
                Self::UntilClose
            }
        } else if head.headers.contains_key(CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::UntilClose
        }
    }

    /// Name in log records and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::UntilClose => "until_close",
        }
    }
}
