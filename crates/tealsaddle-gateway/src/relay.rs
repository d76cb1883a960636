//! Relaying a stream of events to the caller.
//!
//! Events are passed on as they arrive. If the stream breaks, and the route allows it, another runner
//! resumes it after the last complete event. Otherwise the caller's connection is aborted, so that a broken
//! stream never looks complete. A runner that is only silent keeps the stream until another one has begun to
//! resume it.

use std::sync::Arc;

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use hyper::header;
use tealsaddle_core::fleet::config::EngineLimits;
use tealsaddle_core::fleet::events::EventSplitter;
use tealsaddle_core::retry::{AttemptOutcome, Attempts, UnknownReason};

use crate::answer::{Aborted, Body, strip_hop_headers};
use crate::call::Call;
use crate::silence::{Resumption, STREAM_SILENCE_LIMIT, Waited};
use crate::stages::OpenStream;

/// Makes the response to the caller from an open stream.
pub fn respond(
    call: Arc<Call>,
    engine: EngineLimits,
    stream: OpenStream,
    attempts: Attempts,
) -> Response<Body> {
    let mut head = stream.head.clone();
    strip_hop_headers(&mut head.headers, |_name| false);
    call.gateway.dialect.clean_answer(&mut head.headers);
    let may_resume = call.route.repeat.may_repeat() && head.status.is_success();
    if may_resume {
        // A resumed stream may differ in length from the one that this header describes.
        head.headers.remove(header::CONTENT_LENGTH);
    }
    let relay = Relay {
        call,
        engine,
        stream,
        attempts,
        splitter: may_resume.then(EventSplitter::default),
    };
    let frames = stream::unfold(Some(relay), |relay| async move { relay?.next().await });
    Response::from_parts(head, StreamBody::new(frames).boxed_unsync())
}

struct Relay {
    call: Arc<Call>,
    engine: EngineLimits,
    stream: OpenStream,
    attempts: Attempts,
    /// Splits the stream after complete events; `None` if the stream must not be resumed.
    splitter: Option<EventSplitter>,
}

type NextFrame = Option<(Result<Frame<Bytes>, Aborted>, Option<Relay>)>;

impl Relay {
    async fn next(mut self) -> NextFrame {
        loop {
            let heard = match self.read().await {
                Waited::Heard(heard) => heard,
                Waited::Replaced(stream) => {
                    self.continue_with(*stream);
                    continue;
                }
            };
            let broken = match heard {
                Ok(Some(data)) => match self.complete_events(data) {
                    Some(events) => return Some((Ok(Frame::data(events)), Some(self))),
                    None => continue,
                },
                Ok(None) => return self.finish(),
                Err(reason) => reason,
            };
            if let Err(aborted) = self.resume(broken).await {
                return Some((Err(aborted), None));
            }
        }
    }

    /// The next bytes of the stream, or the same stream from another runner.
    async fn read(&mut self) -> Waited<Result<Option<Bytes>, UnknownReason>> {
        let Self {
            call,
            engine,
            stream,
            attempts,
            splitter,
        } = self;
        let OpenStream { body, attempt, .. } = stream;
        let read = body.next_until(call.deadline);
        let Some(splitter) = splitter else {
            return Waited::Heard(read.await);
        };
        let resumption = Resumption {
            engine,
            last_event_id: splitter.last_id(),
            runner: attempt.runner(),
        };
        call.wait_or_replace(read, resumption, attempts).await
    }

    /// Goes on with the stream of another runner. Closing the connection stops the previous one.
    fn continue_with(&mut self, stream: OpenStream) {
        if let Some(splitter) = &mut self.splitter {
            drop(splitter.take_incomplete());
        }
        self.call.gateway.metrics.increment("stream.resumed");
        self.stream = stream;
    }

    /// Bytes to pass on now; `None` if there is no complete event yet.
    fn complete_events(&mut self, data: Bytes) -> Option<Bytes> {
        let since_last = self.call.progress.since_last(self.call.started.elapsed());
        if since_last >= STREAM_SILENCE_LIMIT {
            // Ends the avoidance of a runner that was silent.
            self.stream
                .attempt
                .on_outcome(AttemptOutcome::Answered, false);
        }
        self.call.on_events();
        let Some(splitter) = &mut self.splitter else {
            return Some(data);
        };
        let events = splitter.push(&data);
        (!events.is_empty()).then(|| Bytes::from(events))
    }

    fn finish(mut self) -> NextFrame {
        let call = &self.call;
        let events_time = call.progress.events_time();
        self.stream
            .attempt
            .on_stream_end(call.metadata.output_tokens, events_time);
        let runner = self.stream.attempt.runner();
        self.call
            .log_end("answered", runner, self.attempts.failed());
        let rest = self.splitter.as_mut().map(EventSplitter::take_incomplete)?;
        (!rest.is_empty()).then(|| (Ok(Frame::data(Bytes::from(rest))), None))
    }

    /// Resumes the stream at another runner after the last complete event, or fails.
    async fn resume(&mut self, reason: UnknownReason) -> Result<(), Aborted> {
        let outcome = AttemptOutcome::Unknown(reason);
        self.stream.attempt.on_outcome(outcome, false);
        if let Some(stream) = self.open_next(outcome).await {
            self.continue_with(stream);
            return Ok(());
        }
        let runner = self.stream.attempt.runner();
        self.call.log_truncated(reason, runner);
        self.call
            .log_end(reason.as_str(), runner, self.attempts.failed());
        Err(Aborted)
    }

    /// Opens the rest of the stream at another runner, if the route and the retry rules allow it.
    async fn open_next(&mut self, outcome: AttemptOutcome) -> Option<OpenStream> {
        let splitter = self.splitter.as_mut()?;
        // Closing the connection stops the previous runner.
        self.stream.body.close();
        let runner = self.stream.attempt.runner();
        let decision = self
            .call
            .on_failed_attempt(&mut self.attempts, outcome, runner);
        decision.ok()?;
        let last_id = splitter.last_id().map(str::to_owned);
        let next = self
            .call
            .open_stream(&self.engine, &mut self.attempts, last_id.as_deref());
        let stream = next.await.ok()?;
        stream.head.status.is_success().then_some(stream)
    }
}
