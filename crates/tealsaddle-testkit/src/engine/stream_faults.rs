//! Faults injected into the event stream of a response.

use super::wire::GenerateEvent;

/// A fault of the event stream of one response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamFault {
    /// Each event is sent twice.
    Duplicate,
    /// Adjacent tokens are swapped in pairs.
    Reorder,
    /// Each event is preceded by an event of an attempt that does not exist.
    UnknownAttempt,
    /// Each event is preceded by an event of the attempt that the engine accepted before this one.
    PreviousAttempt,
    /// The stream ends without an error after this number of tokens.
    Truncate(u64),
}

/// Applies a fault to a stream, event by event.
#[derive(Debug)]
pub(super) struct StreamFaultInjector {
    fault: Option<StreamFault>,
    earlier_attempt: String,
    delayed: Option<GenerateEvent>,
    tokens: u64,
}

impl StreamFaultInjector {
    pub(super) const fn new(fault: Option<StreamFault>, earlier_attempt: String) -> Self {
        Self {
            fault,
            earlier_attempt,
            delayed: None,
            tokens: 0,
        }
    }

    /// Returns the events to send in place of one event; `None` ends the stream.
    pub(super) fn on_event(&mut self, event: GenerateEvent) -> Option<Vec<GenerateEvent>> {
        let for_attempt = |attempt_id: &str| GenerateEvent {
            attempt_id: attempt_id.to_owned(),
            text: event.text.as_ref().map(|_| "foreign ".to_owned()),
            ..event.clone()
        };
        match self.fault {
            None => Some(vec![event]),
            Some(StreamFault::Duplicate) => Some(vec![event.clone(), event]),
            Some(StreamFault::UnknownAttempt) => Some(vec![for_attempt("no-such-attempt"), event]),
            Some(StreamFault::PreviousAttempt) => {
                Some(vec![for_attempt(&self.earlier_attempt), event])
            }
            Some(StreamFault::Reorder) if event.index.is_none() => {
                Some(self.delayed.take().into_iter().chain([event]).collect())
            }
            Some(StreamFault::Reorder) => {
                if let Some(delayed) = self.delayed.take() {
                    return Some(vec![event, delayed]);
                }
                self.delayed = Some(event);
                Some(Vec::new())
            }
            Some(StreamFault::Truncate(after)) => {
                if self.tokens >= after || event.done {
                    return None;
                }
                self.tokens += 1;
                Some(vec![event])
            }
        }
    }
}
