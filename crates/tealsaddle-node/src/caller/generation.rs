//! A completion in progress: its attempts, and the output joined from them.
//!
//! An engine that falls silent for a moment is no failure, so its attempt stays open. If the request may
//! run twice, another attempt starts beside it. The attempt that delivers the next token goes on alone, and
//! the others are cancelled. A refusal of another attempt therefore never ends an answer that the silent
//! engine may still give.

use std::future::poll_fn;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use tealsaddle_core::name::Name;
use tealsaddle_core::retry::{AttemptOutcome, Attempts, GiveUp, NotRunReason, UnknownReason};
use tealsaddle_core::stream::StreamJoiner;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::attempt::{self, Attempt, Progress};
use super::completion::{self, Completion, Done, Output};
use super::response::Refusal;
use super::select::{self, AttemptPlan};
use crate::engine::GenerateEvent;
use crate::traffic::Traffic;

/// Time for which an attempt stays open after it was found silent. A sound engine pauses for a second or
/// so; the rest allows for one that is overloaded.
const SILENT_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(45);
/// Interval at which a request with a silent attempt asks the retry budget again, equal to its period.
const BUDGET_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Delay of a timer from which on this node is taken to have been paused, and its engines not to be silent.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(100);
/// Time after which a request is aborted if its caller leaves the output buffer full.
const READER_TIMEOUT: Duration = Duration::from_secs(30);

/// State of a completion in progress.
#[derive(Debug)]
pub struct Generation<'a> {
    traffic: &'a Arc<Traffic>,
    completion: &'a Completion,
    sender: &'a mpsc::Sender<Output>,
    joiner: StreamJoiner,
    attempts: Attempts,
    running: Vec<RunningAttempt<'a>>,
    failed: Vec<Name>,
    may_split: bool,
}

/// An attempt in progress, with the times at which its silence has consequences.
#[derive(Debug)]
struct RunningAttempt<'a> {
    attempt: Attempt<'a>,
    is_split: bool,
    /// When to ask for another attempt beside this one; `None` if one was started or is never allowed.
    ask_at: Option<Instant>,
    give_up_at: Instant,
    /// Whether the attempt counts as failed, since another one was started beside it.
    is_replaced: bool,
}

impl RunningAttempt<'_> {
    /// Restarts the times after the attempt has made progress.
    fn on_progress(&mut self, silence: Duration) {
        let silent_at = Instant::now() + silence;
        self.ask_at = Some(silent_at);
        self.give_up_at = silent_at + SILENT_ATTEMPT_TIMEOUT;
        self.is_replaced = false;
    }

    fn postpone(&mut self, delay: Duration) {
        self.ask_at = self.ask_at.map(|at| at + delay);
        self.give_up_at += delay;
    }

    fn next_time(&self) -> Instant {
        self.ask_at
            .map_or(self.give_up_at, |at| at.min(self.give_up_at))
    }
}

/// What a completion in progress has waited for.
#[derive(Debug)]
enum Wakeup {
    /// An attempt, by its index, received an event or ended.
    Event(usize, Result<GenerateEvent, AttemptOutcome>),
    /// A time of the attempt with this index has come.
    Time(usize),
    /// A planned stop aborts the requests in flight.
    Aborted,
    /// The caller disconnected.
    CallerDisconnected,
}

/// Result of a step that did not fail.
#[derive(Debug)]
enum Step {
    /// The completion goes on.
    Continue,
    /// The output is complete.
    Done(Done),
    /// The caller disconnected or stopped reading.
    CallerDisconnected,
}

impl<'a> Generation<'a> {
    /// Creates the state of a completion without attempts.
    pub fn new(
        traffic: &'a Arc<Traffic>,
        completion: &'a Completion,
        sender: &'a mpsc::Sender<Output>,
    ) -> Self {
        Self {
            traffic,
            completion,
            sender,
            joiner: StreamJoiner::new(completion.max_tokens),
            attempts: Attempts::new(completion.is_repeatable),
            running: Vec::new(),
            failed: Vec::new(),
            may_split: true,
        }
    }

    /// Runs attempts until one completes the output. `None` means that the caller disconnected.
    pub async fn run(mut self, plan: AttemptPlan) -> Result<Option<Done>, Refusal> {
        self.traffic.on_first_attempt(&self.completion.model.name);
        if self.traffic.stop_signals.aborting.is_cancelled() {
            let outcome = AttemptOutcome::NotRun(NotRunReason::NodeStopping);
            return Err(self.give_up(outcome));
        }
        self.start(plan);
        loop {
            let step = match self.wait().await {
                Wakeup::Event(index, Ok(event)) => self.on_event(index, event).await?,
                Wakeup::Event(index, Err(outcome)) => self.on_failure(index, outcome)?,
                Wakeup::Time(index) => self.on_time(index)?,
                Wakeup::Aborted => {
                    let outcome = AttemptOutcome::Unknown(UnknownReason::NodeStopped);
                    return Err(self.give_up(outcome));
                }
                Wakeup::CallerDisconnected => Step::CallerDisconnected,
            };
            match step {
                Step::Continue => {}
                Step::Done(done) => return Ok(Some(done)),
                Step::CallerDisconnected => return Ok(None),
            }
        }
    }

    async fn wait(&mut self) -> Wakeup {
        let times = self.running.iter().map(RunningAttempt::next_time);
        let next_time = times.enumerate().min_by_key(|(_, at)| *at);
        let (index, at) = next_time.expect("a completion in progress has an attempt");
        let running = &mut self.running;
        let next_event = poll_fn(|cx| {
            let mut attempts = running.iter_mut().enumerate();
            let event = attempts.find_map(|(i, running)| match running.attempt.poll_event(cx) {
                Poll::Ready(event) => Some(Wakeup::Event(i, event)),
                Poll::Pending => None,
            });
            event.map_or(Poll::Pending, Poll::Ready)
        });
        tokio::select! {
            () = self.sender.closed() => Wakeup::CallerDisconnected,
            () = self.traffic.stop_signals.aborting.cancelled() => Wakeup::Aborted,
            event = next_event => event,
            () = tokio::time::sleep_until(at) => Wakeup::Time(index),
        }
    }

    fn start(&mut self, plan: AttemptPlan) {
        let is_split = matches!(plan, AttemptPlan::Split { .. });
        let mut running = RunningAttempt {
            attempt: Attempt::start(self.traffic, self.completion, plan, &self.joiner),
            is_split,
            ask_at: None,
            give_up_at: Instant::now(),
            is_replaced: false,
        };
        running.on_progress(attempt::first_token_silence(self.completion));
        self.running.push(running);
    }

    async fn on_event(&mut self, index: usize, event: GenerateEvent) -> Result<Step, Refusal> {
        let running = &mut self.running[index];
        match running.attempt.on_event(event, &mut self.joiner) {
            Progress::None => Ok(Step::Continue),
            Progress::Prefilled => {
                running.on_progress(attempt::first_token_silence(self.completion));
                Ok(Step::Continue)
            }
            Progress::Token(text) => {
                self.keep_only(index);
                let sent = self
                    .sender
                    .send_timeout(Output::Token(text), READER_TIMEOUT);
                if sent.await.is_err() {
                    self.traffic.counters.increment("caller.not_reading");
                    return Ok(Step::CallerDisconnected);
                }
                let silence = attempt::between_tokens_silence(self.completion);
                self.running[0].on_progress(silence);
                Ok(Step::Continue)
            }
            Progress::Done(last) => {
                let running = self.running.swap_remove(index);
                Ok(Step::Done(running.attempt.finish(last, &self.joiner)))
            }
            Progress::Failed(outcome) => self.on_failure(index, outcome),
        }
    }

    /// Cancels all attempts but one, which goes on.
    fn keep_only(&mut self, index: usize) {
        self.running.swap(0, index);
        self.running.truncate(1);
    }

    fn on_time(&mut self, index: usize) -> Result<Step, Refusal> {
        let running = &mut self.running[index];
        let delay = running.next_time().elapsed();
        if delay > MAX_TIMER_DELAY {
            // What the engine has sent during the pause is yet to be read.
            running.postpone(delay);
            return Ok(Step::Continue);
        }
        if Instant::now() >= running.give_up_at {
            return self.on_failure(index, AttemptOutcome::Unknown(UnknownReason::Timeout));
        }
        self.on_silence(index);
        Ok(Step::Continue)
    }

    /// Starts another attempt beside a silent one, if that is allowed and an engine takes it.
    fn on_silence(&mut self, index: usize) {
        let outcome = AttemptOutcome::Unknown(UnknownReason::Timeout);
        self.avoid_engine(index, outcome);
        let model = &self.completion.model.name;
        let id = &self.completion.request_id;
        let next = self.traffic.on_silence(model, id, &mut self.attempts);
        let running = &mut self.running[index];
        running.ask_at = match next {
            Err(GiveUp::Budget) => Some(Instant::now() + BUDGET_POLL_INTERVAL),
            _ => None,
        };
        if next.is_ok()
            && let Some(plan) = self.select()
        {
            self.running[index].is_replaced = true;
            self.start(plan);
        }
    }

    /// Ends a failed attempt, and starts another one unless a silent one is to be waited for.
    fn on_failure(&mut self, index: usize, outcome: AttemptOutcome) -> Result<Step, Refusal> {
        self.avoid_engine(index, outcome);
        let failed = self.running.remove(index);
        // The failure of a replaced attempt was counted when the other one was started.
        let is_allowed = !failed.is_replaced && {
            let model = &self.completion.model.name;
            let id = &self.completion.request_id;
            let next = self
                .traffic
                .on_failure(model, id, &mut self.attempts, outcome);
            next.is_ok()
        };
        drop(failed);
        if is_allowed && let Some(plan) = self.select() {
            self.start(plan);
        }
        if !self.running.is_empty() {
            return Ok(Step::Continue);
        }
        let last = if is_allowed {
            AttemptOutcome::NotRun(NotRunReason::NoTarget)
        } else {
            outcome
        };
        Err(completion::refusal(self.attempts.outcome(last)))
    }

    /// Keeps further attempts away from the engine of an attempt.
    fn avoid_engine(&mut self, index: usize, outcome: AttemptOutcome) {
        let running = &self.running[index];
        let engine = running.attempt.engine();
        self.traffic.recent_failures.on_failure(engine, outcome);
        if !self.failed.contains(engine) {
            self.failed.push(Name::clone(engine));
        }
        self.may_split &= !running.is_split;
    }

    fn select(&self) -> Option<AttemptPlan> {
        select::for_retry(self.traffic, self.completion, &self.failed, self.may_split)
    }

    /// Returns the refusal of a request that a planned stop has aborted.
    fn give_up(&mut self, outcome: AttemptOutcome) -> Refusal {
        let model = &self.completion.model.name;
        let id = &self.completion.request_id;
        let next = self
            .traffic
            .on_failure(model, id, &mut self.attempts, outcome);
        debug_assert!(next.is_err(), "a stopping node starts no attempt");
        completion::refusal(self.attempts.outcome(outcome))
    }
}
