//! Joins the token streams of several attempts into one answer.
//!
//! Each token has an index. When an engine fails or falls silent during a stream, the next attempt resumes
//! at [`StreamJoiner::next_index`]. A token that was already delivered is dropped, and a gap ends the
//! attempt, so that the caller never receives a token twice and never misses one. The end of an attempt is
//! checked as well: if the engine counts more tokens than have arrived, tokens were lost. Attempts may
//! overlap, so each keeps the index at which it resumed.

/// Action for a received token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenAction {
    /// Pass the token on to the caller.
    Deliver,
    /// Drop the token, which was delivered before.
    DropDuplicate,
    /// Drop the token, which belongs to another attempt.
    DropForeign,
    /// Give up the attempt, because tokens before this one are missing.
    Gap,
    /// Drop the token, which exceeds the requested length of the answer.
    DropExcess,
}

/// Action for the end of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndAction {
    /// Complete the answer.
    Finish,
    /// Ignore the end, which belongs to another attempt.
    DropForeign,
    /// Give up the attempt, because tokens are missing.
    Gap,
}

/// Position in an answer that several attempts deliver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamJoiner {
    next_index: u64,
    max_tokens: u64,
}

impl StreamJoiner {
    /// Creates the state at the start of an answer of at most `max_tokens` tokens.
    pub const fn new(max_tokens: u64) -> Self {
        Self {
            next_index: 0,
            max_tokens,
        }
    }

    /// Returns the index of the next token to be delivered, at which a new attempt resumes.
    pub const fn next_index(&self) -> u64 {
        self.next_index
    }

    /// Handles a token that arrived with the attempt id `actual` while the attempt `expected` is running.
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

    /// Handles the end of an attempt that resumed at `resumed_at`. `output_tokens` is the engine's own count
    /// for this attempt, if it reports one.
    pub fn on_end(
        &self,
        expected: &str,
        actual: &str,
        resumed_at: u64,
        output_tokens: Option<u64>,
    ) -> EndAction {
        if expected != actual {
            return EndAction::DropForeign;
        }
        let received = self.next_index - resumed_at;
        if output_tokens.is_some_and(|counted| counted > received)
            && self.next_index < self.max_tokens
        {
            return EndAction::Gap;
        }
        EndAction::Finish
    }
}
