//! Relaying a stream of events to the caller.
//!
//! Events are passed on as they arrive. If the stream breaks, also by an end inside an event, and the route allows
//! it, another runner resumes it after the last complete event. Otherwise the caller's connection is aborted, so
//! that a broken stream never looks complete. A runner that is only silent keeps the stream until another one has
//! begun to resume it.

use std::sync::Arc;

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use hyper::header;
use tealsaddle_core::fleet::Runner;
use tealsaddle_core::fleet::config::EngineLimits;
use tealsaddle_core::fleet::events::FirstEvent;
use tealsaddle_core::fleet::quarantine::SURVIVAL_US;
use tealsaddle_core::name::Name;
use tealsaddle_core::retry::{AttemptOutcome, Attempts, UnknownReason};

use crate::answer::{Aborted, Body, GatewayAnswer, strip_hop_headers};
use crate::call::Call;
use crate::clock;
use crate::event_stream::EventStream;
use crate::framing::Framing;
use crate::process_check::Outlasting;
use crate::quarantine::losses::LostAttempt;
use crate::scheduler::RunnerAttempt;
use crate::silence::{Resumption, STREAM_SILENCE_LIMIT, Waited};
use crate::stages::{LOST, OpenStream};
use crate::upstream::AnswerBody;

/// Makes the response to the caller from an open stream.
pub fn respond(
    call: Arc<Call>,
    engine: EngineLimits,
    stream: OpenStream,
    attempts: Attempts,
) -> Response<Body> {
    let mut head = stream.head.clone();
    let has_tokens = head.status.is_success();
    strip_hop_headers(&mut head.headers, |_name| false);
    call.gateway.dialect.clean_answer(&mut head.headers);
    let events = EventStream::begin(
        call.route.repeat,
        &head,
        stream.body.framing(),
        call.metadata.last_event_id.as_deref(),
        &call.gateway.held_bytes,
    );
    if events.may_resume() || events.has_events() {
        // The caller would take the stream for complete at this length, whatever is found at its end, and a resumed
        // stream may differ in length.
        head.headers.remove(header::CONTENT_LENGTH);
    }
    let relay = Relay {
        call,
        engine,
        body: Some(stream.body),
        attempt: stream.attempt,
        run: Run::begin(stream.runner, stream.sent_us),
        attempts,
        events,
        has_just_continued: false,
        has_tokens,
    };
    let frames = stream::unfold(Some(relay), |relay| async move { relay?.next().await });
    Response::from_parts(head, StreamBody::new(frames).boxed_unsync())
}

struct Relay {
    call: Arc<Call>,
    engine: EngineLimits,
    /// Body of the runner's answer; `None` once it is closed, which tells the runner to stop.
    body: Option<AnswerBody>,
    attempt: RunnerAttempt,
    run: Run,
    attempts: Attempts,
    events: EventStream,
    /// Whether the runner goes on with the stream of another one and has sent no event yet.
    has_just_continued: bool,
    /// Whether the answer is one of the model: an error of the runner is no run of the request.
    has_tokens: bool,
}

/// What tells whether the runner of the attempt survives the start of the answer.
struct Run {
    runner: Arc<Runner>,
    sent_us: u64,
    /// When the first bytes of the body arrived.
    first_data_us: Option<u64>,
    has_survived: bool,
}

impl Run {
    const fn begin(runner: Arc<Runner>, sent_us: u64) -> Self {
        Self {
            runner,
            sent_us,
            first_data_us: None,
            has_survived: false,
        }
    }

    /// Records that data has arrived, and that the answer survives if it has lasted for long enough.
    fn on_data(&mut self, call: &Call) {
        let now_us = clock::now_us();
        let first_us = *self.first_data_us.get_or_insert(now_us);
        if now_us.saturating_sub(first_us) >= SURVIVAL_US {
            self.on_survived(call);
        }
    }

    /// Records that the answer has survived, if it has begun.
    fn on_survived(&mut self, call: &Call) {
        if let Some(first_us) = self.first_data_us
            && !self.has_survived
        {
            self.has_survived = true;
            call.on_survived(first_us);
        }
    }

    /// Records that the connection was lost.
    fn on_lost(&self, call: &Call) {
        if !self.has_survived {
            let lost = LostAttempt {
                sent_us: self.sent_us,
                has_begun: self.first_data_us.is_some(),
            };
            call.on_lost_attempt(&self.runner, lost);
        }
    }
}

type NextFrame = Option<(Result<Frame<Bytes>, Aborted>, Option<Relay>)>;

/// What the relay does after a wait for its runner.
enum Step {
    /// Bytes are to be passed on.
    Data(Bytes),
    /// Bytes have arrived, but no complete event.
    Incomplete,
    /// The stream is complete.
    End,
    /// Another runner goes on with the stream.
    Resumed,
    /// The runner has failed.
    Broken(Name, AttemptOutcome),
}

impl Relay {
    async fn next(mut self) -> NextFrame {
        loop {
            match self.step().await {
                Step::Data(data) => {
                    if self.has_tokens {
                        self.call.count_usage();
                    }
                    self.call.on_first_events(&self.run.runner).await;
                    return Some((Ok(Frame::data(data)), Some(self)));
                }
                Step::Incomplete | Step::Resumed => {}
                Step::End => return self.finish(),
                Step::Broken(runner, outcome) => {
                    if let Err(aborted) = self.resume(&runner, outcome).await {
                        return Some((Err(aborted), None));
                    }
                }
            }
        }
    }

    /// Waits for the runner, or for another one if it is silent.
    async fn step(&mut self) -> Step {
        let runner = Name::clone(self.attempt.runner());
        let Some(mut body) = self.body.take() else {
            return Step::Broken(runner, LOST);
        };
        let limit = self.call.deadline;
        let hearing = async move {
            let read = body.next_until(limit).await;
            (body, read)
        };
        let waited = if self.events.may_resume() {
            let resumption = Resumption {
                engine: &self.engine,
                last_event_id: self.events.last_id(),
                runner: &runner,
            };
            let attempts = &mut self.attempts;
            let waited = self.call.wait_or_replace(hearing, resumption, attempts);
            waited.await
        } else {
            Waited::Heard(hearing.await)
        };
        match waited {
            Waited::Heard((body, read)) => {
                let framing = body.framing();
                self.body = Some(body);
                let read = self.check_end(framing, read).await;
                self.on_read(runner, framing, read)
            }
            Waited::Replaced(stream) => {
                self.continue_with(*stream);
                Step::Resumed
            }
            Waited::Failed(other, outcome) => Step::Broken(other, outcome),
        }
    }

    /// Turns an end that is not known to be that of the stream into a failure.
    async fn check_end(
        &self,
        framing: Framing,
        read: Result<Option<Bytes>, UnknownReason>,
    ) -> Result<Option<Bytes>, UnknownReason> {
        if !self.events.may_end() {
            return read;
        }
        let runner = &self.run.runner;
        // All events have been passed on; only the mark of the end waits.
        let checked = self
            .call
            .check_body_end(runner, framing, read, Outlasting::Long);
        let read = checked.await?;
        if read.is_none() && framing == Framing::UntilClose && self.events.is_without_events() {
            return Err(UnknownReason::EndUnconfirmed);
        }
        Ok(read)
    }

    fn on_read(
        &mut self,
        runner: Name,
        framing: Framing,
        read: Result<Option<Bytes>, UnknownReason>,
    ) -> Step {
        let read = match read {
            Ok(Some(data)) => self.on_data(data),
            Ok(None) if self.events.may_end() => {
                let incomplete_bytes = self.events.incomplete_bytes();
                self.call
                    .log_body_end(&runner, framing, incomplete_bytes, true);
                Ok(Step::End)
            }
            // The runner has broken the stream off inside an event.
            Ok(None) => Err(UnknownReason::ConnectionLost),
            Err(reason) => Err(reason),
        };
        read.unwrap_or_else(|reason| {
            let outcome = AttemptOutcome::Unknown(reason);
            let incomplete_bytes = self.events.incomplete_bytes();
            self.call
                .log_body_end(&runner, framing, incomplete_bytes, false);
            if outcome == LOST {
                self.run.on_lost(&self.call);
            }
            if reason == UnknownReason::Timeout
                && let Some(events) = self.events.count()
            {
                let events_time = self.call.progress.events_time();
                self.attempt.on_stream_overdue(events, events_time);
            }
            self.attempt.on_outcome(outcome, false);
            Step::Broken(runner, outcome)
        })
    }

    fn on_data(&mut self, data: Bytes) -> Result<Step, UnknownReason> {
        self.run.on_data(&self.call);
        let since_last = self.call.progress.since_last(self.call.started.elapsed());
        if since_last >= STREAM_SILENCE_LIMIT {
            // Ends the avoidance of a runner that was silent.
            self.attempt.on_outcome(AttemptOutcome::Answered, false);
        }
        self.call.on_events();
        let events = self
            .events
            .push(data)
            .inspect_err(|_reason| self.log_out_of_order())?;
        if let Some(events) = &events
            && std::mem::take(&mut self.has_just_continued)
        {
            let first_event_id = FirstEvent::find(events).and_then(|first| first.id);
            log::info!(id:% = self.call.request_id, runner:% = self.run.runner.id, first_event_id:?;
                "first events of the runner that goes on");
        }
        Ok(events.map_or(Step::Incomplete, Step::Data))
    }

    fn log_out_of_order(&self) {
        if self.events.is_out_of_order() {
            self.call.gateway.metrics.increment("stream.out_of_order");
            log::warn!(id:% = self.call.request_id, runner:% = self.run.runner.id,
                last_event_id:? = self.events.last_id(); "runner does not go on after the last event");
        }
    }

    /// Goes on with the stream of another runner. Closing the connection stops the previous one.
    fn continue_with(&mut self, stream: OpenStream) {
        log::info!(id:% = self.call.request_id, from:% = self.run.runner.id, runner:% = stream.runner.id,
            last_event_id:? = self.events.last_id(), version:% = stream.runner.version;
            "stream goes on at another runner");
        self.events
            .continue_with(&stream.head, stream.body.framing());
        self.has_just_continued = true;
        self.call.gateway.metrics.increment("stream.resumed");
        self.body = Some(stream.body);
        self.attempt = stream.attempt;
        self.run = Run::begin(stream.runner, stream.sent_us);
    }

    fn finish(mut self) -> NextFrame {
        self.run.on_survived(&self.call);
        let call = &self.call;
        if let Some(events) = self.events.count() {
            let expected_tokens = call.metadata.expected_output_tokens();
            let events_time = call.progress.events_time();
            self.attempt
                .on_stream_end(expected_tokens, events, events_time, call.remaining());
        }
        let runner = self.attempt.runner();
        call.log_end("answered", runner, self.attempts.failed());
        let rest = self.events.take_rest()?;
        Some((Ok(Frame::data(rest)), None))
    }

    /// Resumes the stream at another runner after the last complete event, or fails.
    async fn resume(&mut self, runner: &str, outcome: AttemptOutcome) -> Result<(), Aborted> {
        // Closing the connection stops the previous runner.
        self.body = None;
        if let Some(stream) = self.open_next(runner, outcome).await {
            self.continue_with(stream);
            return Ok(());
        }
        let reason = GatewayAnswer::from_outcome(outcome).as_str();
        self.call.log_truncated(reason, runner);
        self.call.log_end(reason, runner, self.attempts.failed());
        Err(Aborted)
    }

    /// Opens the rest of the stream at another runner, if the route and the retry rules allow it.
    async fn open_next(&mut self, runner: &str, outcome: AttemptOutcome) -> Option<OpenStream> {
        if !self.events.may_resume() {
            return None;
        }
        let decision = self
            .call
            .on_failed_attempt(&mut self.attempts, outcome, runner);
        decision.ok()?;
        let last_event_id = self.events.last_id();
        let next = self
            .call
            .open_stream(&self.engine, &mut self.attempts, last_event_id);
        let stream = next.await.ok()?;
        stream.head.status.is_success().then_some(stream)
    }
}
