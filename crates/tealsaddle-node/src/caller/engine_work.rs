//! The work of one attempt on one engine.
//!
//! Work that ends early is cancelled at the engine. The request stays in the in-flight count of the
//! engine until the engine has confirmed the cancellation or the cancellation has failed, so that a
//! drain waits for it.

use std::sync::Arc;
use std::time::Duration;

use tealsaddle_core::inventory::Engine;
use tealsaddle_core::load::{Completion, SentRequest};
use tealsaddle_core::name::Name;
use tealsaddle_core::retry::AttemptOutcome;
use uuid::Uuid;

use super::select::CountedEngine;
use crate::clock;
use crate::traffic::{InFlightGuard, Traffic};

/// Time limit of a cancellation request to an engine.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Size of the work given to an engine, for the estimate of its load.
#[derive(Debug, Clone, Copy)]
pub struct WorkEstimate {
    /// Prompt tokens that the engine has to process; 0 if it imports the KV cache.
    pub prefill_tokens: u64,
    /// Whether the engine generates output.
    pub decodes: bool,
    /// KV cache that the request occupies, in tokens.
    pub kv_tokens: u64,
}

/// Work in progress on an engine. Dropping the value before [`Self::finish`] cancels the work there.
#[derive(Debug)]
pub struct EngineWork {
    traffic: Arc<Traffic>,
    engine: Arc<Engine>,
    attempt_id: String,
    in_flight: Option<InFlightGuard>,
    estimate: WorkEstimate,
    needs_cancel: bool,
}

impl EngineWork {
    /// Adds the work to the load estimate of the engine, just before the request is sent.
    pub fn start(traffic: &Arc<Traffic>, counted: CountedEngine, estimate: WorkEstimate) -> Self {
        let send = SentRequest {
            at_us: clock::now_us(),
            prefill_tokens: estimate.prefill_tokens,
            decodes: estimate.decodes,
            kv_tokens: estimate.kv_tokens,
        };
        traffic.on_send(&counted.engine.name, send);
        Self {
            traffic: Arc::clone(traffic),
            engine: counted.engine,
            attempt_id: Uuid::new_v4().to_string(),
            in_flight: Some(counted.in_flight),
            estimate,
            needs_cancel: true,
        }
    }

    /// The engine that the work was assigned to.
    pub const fn engine(&self) -> &Arc<Engine> {
        &self.engine
    }

    /// Id sent to the engine with the request, and named again in its cancellation.
    pub fn attempt_id(&self) -> &str {
        &self.attempt_id
    }

    /// Records that the engine has processed the prompt.
    pub fn on_first_token(&mut self) {
        let prefill_tokens = std::mem::take(&mut self.estimate.prefill_tokens);
        if prefill_tokens > 0 {
            self.report_completion(prefill_tokens, false, 0);
        }
    }

    /// Records a failure; an attempt that is known not to have run is not cancelled.
    pub const fn on_failure(&mut self, outcome: AttemptOutcome) {
        self.needs_cancel = !matches!(outcome, AttemptOutcome::NotRun(_));
    }

    /// Ends the work after the engine has completed it, without a cancellation.
    pub fn finish(mut self) {
        self.needs_cancel = false;
    }

    fn report_completion(&self, prefill_tokens: u64, ends_decode: bool, kv_tokens: u64) {
        let completion = Completion {
            at_us: clock::now_us(),
            prefill_tokens,
            ends_decode,
            kv_tokens,
        };
        self.traffic.on_completion(&self.engine.name, completion);
    }
}

impl Drop for EngineWork {
    fn drop(&mut self) {
        let estimate = self.estimate;
        self.report_completion(
            estimate.prefill_tokens,
            estimate.decodes,
            estimate.kv_tokens,
        );
        // Without a runtime the process is exiting, which closes its connections to engines.
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        if !self.needs_cancel {
            return;
        }
        self.traffic.counters.increment("engine.cancelled");
        let traffic = Arc::clone(&self.traffic);
        let engine = Arc::clone(&self.engine);
        let attempt_id = std::mem::take(&mut self.attempt_id);
        let in_flight = self.in_flight.take();
        let tasks = self.traffic.tasks.clone();
        let cancel_task = async move {
            let cancel = traffic.engines.cancel(&engine, &attempt_id);
            let cancel = tokio::time::timeout(CANCEL_TIMEOUT, cancel).await;
            if !matches!(cancel, Ok(Ok(()))) {
                traffic.counters.increment("engine.cancel_failed");
            }
            drop(in_flight);
        };
        tasks.spawn_on(cancel_task, &runtime);
    }
}

/// Capacity reserved on a decode engine while another engine processes the prompt.
#[derive(Debug)]
pub struct DecodeReservation {
    traffic: Arc<Traffic>,
    engine: Name,
    kv_tokens: u64,
}

impl DecodeReservation {
    /// Reserves capacity for one request on the engine until the value is dropped.
    pub fn open(traffic: &Arc<Traffic>, engine: &Name, kv_tokens: u64) -> Self {
        traffic.update_decode_reservation(engine, kv_tokens, true);
        Self {
            traffic: Arc::clone(traffic),
            engine: Name::clone(engine),
            kv_tokens,
        }
    }
}

impl Drop for DecodeReservation {
    fn drop(&mut self) {
        self.traffic
            .update_decode_reservation(&self.engine, self.kv_tokens, false);
    }
}
