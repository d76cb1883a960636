//! Joins the token streams of several attempts into one answer.
//!
//! Tokens carry their index. When an engine fails in mid-stream the next attempt resumes at
//! [`StreamJoiner::next_index`]; a token that was already delivered is dropped, and a gap ends the
//! attempt, so that the caller never sees a token twice and never misses one. The end of an attempt
//! is checked as well: an engine that counts more tokens than have arrived has lost some.

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
    /// It lies beyond the length that was asked for.
    DropExcess,
}

/// What to do with the end of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndAction {
    /// The answer is whole.
    Finish,
    /// It belongs to another attempt.
    DropForeign,
    /// Tokens are missing; the attempt is not usable any more.
    Gap,
}

/// Position in an answer over several attempts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamJoiner {
    next_index: u64,
    max_tokens: u64,
    resumed_at: u64,
}

impl StreamJoiner {
    /// The start of an answer of at most `max_tokens` tokens.
    pub const fn new(max_tokens: u64) -> Self {
        Self {
            next_index: 0,
            max_tokens,
            resumed_at: 0,
        }
    }

    /// Index of the next token that the caller needs.
    pub const fn next_index(&self) -> u64 {
        self.next_index
    }

    /// Starts an attempt and gives the index at which it resumes.
    pub const fn begin_attempt(&mut self) -> u64 {
        self.resumed_at = self.next_index;
        self.resumed_at
    }

    /// Judges a token of the attempt `expected` that arrived under the attempt id `actual`.
    pub fn on_token(&mut self, expected: &str, actual: &str, index: u64) -> TokenAction {
        if expected != actual {
            return TokenAction::DropForeign;
        }
        if index < self.next_index {
            return TokenAction::DropDuplicate;
        }
        if self.next_index >= self.max_tokens {
            return TokenAction::DropExcess;
        }
        if index > self.next_index {
            return TokenAction::Gap;
        }
        self.next_index += 1;
        TokenAction::Deliver
    }

    /// Judges the end of an attempt; `output_tokens` is the engine's own count for this attempt.
    pub fn on_end(&self, expected: &str, actual: &str, output_tokens: Option<u64>) -> EndAction {
        if expected != actual {
            return EndAction::DropForeign;
        }
        let arrived = self.next_index - self.resumed_at;
        if output_tokens.is_some_and(|counted| counted > arrived)
            && self.next_index < self.max_tokens
        {
            return EndAction::Gap;
        }
        EndAction::Finish
    }
}
