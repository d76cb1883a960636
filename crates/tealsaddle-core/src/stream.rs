//! Joins the token streams of several attempts into one answer.
//!
//! Tokens carry their index. When an engine fails in mid-stream the next attempt resumes at
//! [`StreamJoiner::next_index`]; a token that was already delivered is dropped, and a gap ends the
//! attempt, so that the caller never sees a token twice and never misses one.

/// What to do with a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenAction {
    /// Pass it on to the caller.
    Deliver,
    /// It was delivered before.
    DropDuplicate,
    /// It belongs to another attempt.
    DropForeign,
    /// Tokens before it are missing; the attempt is not usable any more.
    Gap,
}

/// Position in an answer over several attempts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StreamJoiner {
    next_index: u64,
}

impl StreamJoiner {
    /// Index of the next token that the caller needs.
    pub const fn next_index(&self) -> u64 {
        self.next_index
    }

    /// Judges a token of the attempt `expected` that arrived under the attempt id `actual`.
    pub fn on_token(&mut self, expected: &str, actual: &str, index: u64) -> TokenAction {
        if expected != actual {
            return TokenAction::DropForeign;
        }
        if index < self.next_index {
            return TokenAction::DropDuplicate;
        }
        if index > self.next_index {
            return TokenAction::Gap;
        }
        self.next_index += 1;
        TokenAction::Deliver
    }
}
