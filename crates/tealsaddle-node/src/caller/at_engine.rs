//! Work of one attempt at one engine, from its count to its end.
//!
//! Whatever ends the work early also cancels it at the engine, and the count of the request on that
//! engine is kept until the engine has taken the cancellation, so that a drain waits for it.

use std::sync::Arc;
use std::time::Duration;

use tealsaddle_core::inventory::Engine;
use tealsaddle_core::load::{Completion, Send};
use tealsaddle_core::name::Name;
use tealsaddle_core::retry::AttemptOutcome;
use uuid::Uuid;

use super::select::Counted;
use crate::clock;
use crate::traffic::{InFlightGuard, Traffic};

/// Time for an engine to take a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// What the engine is given to do, for the estimate of its load.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// Prompt tokens to be read.
    pub prefill_tokens: u64,
    /// Whether it also generates.
    pub decodes: bool,
    /// KV cache that it takes.
    pub kv_tokens: u64,
}

/// Work at an engine; dropped before its end, it is cancelled there.
#[derive(Debug)]
pub struct AtEngine {
    traffic: Arc<Traffic>,
    engine: Arc<Engine>,
    attempt_id: String,
    guard: Option<InFlightGuard>,
    work: Work,
    is_running: bool,
}

impl AtEngine {
    /// Counts the work; the caller of this function then sends it.
    pub fn start(traffic: &Arc<Traffic>, counted: Counted, work: Work) -> Self {
        let send = Send {
            at_us: clock::now_us(),
            prefill_tokens: work.prefill_tokens,
            decodes: work.decodes,
            kv_tokens: work.kv_tokens,
        };
        traffic.on_send(&counted.engine.name, send);
        Self {
            traffic: Arc::clone(traffic),
            engine: counted.engine,
            attempt_id: Uuid::new_v4().to_string(),
            guard: Some(counted.guard),
            work,
            is_running: true,
        }
    }

    /// The engine.
    pub const fn engine(&self) -> &Arc<Engine> {
        &self.engine
    }

    /// Id of this attempt at this engine.
    pub fn attempt_id(&self) -> &str {
        &self.attempt_id
    }

    /// Takes note that the prompt has been read.
    pub fn on_first_token(&mut self) {
        let prefill_tokens = std::mem::take(&mut self.work.prefill_tokens);
        if prefill_tokens > 0 {
            self.complete(prefill_tokens, false, 0);
        }
    }

    /// Takes note of a failure; what certainly did not run is not cancelled.
    pub const fn on_failure(&mut self, outcome: AttemptOutcome) {
        self.is_running = !matches!(outcome, AttemptOutcome::NotRun(_));
    }

    /// Ends the work, since the engine has done it.
    pub fn finish(mut self) {
        self.is_running = false;
    }

    fn complete(&self, prefill_tokens: u64, ends_decode: bool, kv_tokens: u64) {
        let completion = Completion {
            at_us: clock::now_us(),
            prefill_tokens,
            ends_decode,
            kv_tokens,
        };
        self.traffic.on_completion(&self.engine.name, completion);
    }
}

impl Drop for AtEngine {
    fn drop(&mut self) {
        let work = self.work;
        self.complete(work.prefill_tokens, work.decodes, work.kv_tokens);
        // Without a runtime the process is ending, and its connections with it.
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        if !self.is_running {
            return;
        }
        self.traffic.counters.increment("engine.cancelled");
        let traffic = Arc::clone(&self.traffic);
        let engine = Arc::clone(&self.engine);
        let attempt_id = std::mem::take(&mut self.attempt_id);
        let guard = self.guard.take();
        let tasks = self.traffic.tasks.clone();
        let cancelling = async move {
            let cancel = traffic.engines.cancel(&engine, &attempt_id);
            let cancel = tokio::time::timeout(CANCEL_TIMEOUT, cancel).await;
            if !matches!(cancel, Ok(Ok(()))) {
                traffic.counters.increment("engine.cancel_failed");
            }
            drop(guard);
        };
        tasks.spawn_on(cancelling, &runtime);
    }
}

/// The promise of the decode part to an engine while another engine reads the prompt.
#[derive(Debug)]
pub struct Promise {
    traffic: Arc<Traffic>,
    engine: Name,
    kv_tokens: u64,
}

impl Promise {
    /// Promises the engine a request until the value is dropped.
    pub fn open(traffic: &Arc<Traffic>, engine: &Name, kv_tokens: u64) -> Self {
        traffic.update_decode_reservation(engine, kv_tokens, true);
        Self {
            traffic: Arc::clone(traffic),
            engine: Name::clone(engine),
            kv_tokens,
        }
    }
}

impl Drop for Promise {
    fn drop(&mut self) {
        self.traffic
            .update_decode_reservation(&self.engine, self.kv_tokens, false);
    }
}
