//! Arrivals of one request at runners, and what the retry budget has to pay for them.
//!
//! The first arrival of a request is the load that its caller asked for. The first prompt that a runner reads for
//! another one adds none to it, since the run fetches what was read. Every other arrival is a repeat, also if the
//! runner refuses it or never answers: whether a runner that did not answer has accepted a prompt is not known, so
//! such a read counts like a refused one.

/// What a request sends next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextSend {
    /// A runner is to run the request.
    Run,
    /// A runner is to read the prompt for another one, which runs the request afterwards.
    Read,
}

/// What one request has sent to runners.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Arrivals {
    sent: u32,
    has_accepted_read: bool,
    deducted: u32,
}

impl Arrivals {
    /// Counts a send, which may arrive from now on.
    pub const fn on_send(&mut self) {
        self.sent += 1;
    }

    /// Takes back a send of which no byte has left this node.
    pub const fn on_unsent(&mut self) {
        self.sent = self.sent.saturating_sub(1);
    }

    /// Records that a runner has read the prompt for another one.
    pub const fn on_read_accepted(&mut self) {
        self.has_accepted_read = true;
    }

    /// Records that a repeat was taken out of the retry budget.
    pub const fn on_deducted(&mut self) {
        self.deducted += 1;
    }

    /// Number of sends.
    pub const fn sent(&self) -> u32 {
        self.sent
    }

    /// Number of repeats that were taken out of the retry budget.
    pub const fn deducted(&self) -> u32 {
        self.deducted
    }

    /// Number of sends that are repeats.
    pub const fn repeats(&self) -> u32 {
        self.sent.saturating_sub(self.not_repeats())
    }

    /// Number of retries that have to be taken out of the retry budget before the next send. A read is taken out with
    /// the run that follows it: a prompt is not read for a run that may not be sent.
    pub const fn missing_deductions(&self, next: NextSend) -> u32 {
        let repeats = match next {
            NextSend::Run => (self.sent + 1).saturating_sub(self.not_repeats()),
            NextSend::Read => self.sent,
        };
        repeats.saturating_sub(self.deducted)
    }

    const fn not_repeats(&self) -> u32 {
        1 + self.has_accepted_read as u32
    }
}
