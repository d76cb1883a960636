//! Steps of the batch: selection of requests, duration and resulting events.

use tealsaddle_core::inventory::Role;

use super::{AbortReason, Engine, Event, EventKind, FinishReason, KvExport, SimRequest, Stage};

/// An accepted request in the engine.
#[derive(Debug)]
pub(super) struct Job {
    request: SimRequest,
    sequence: u64,
    /// KV cache tokens to reserve for the job.
    pub(super) kv_tokens: u64,
    /// Prompt tokens that are not yet processed.
    pub(super) prefill_left: u64,
    cached_tokens: u64,
    /// Index of the next token to generate.
    next_index: u64,
    /// Whether the current step decodes the job.
    is_in_step: bool,
}

impl Job {
    pub(super) fn new(request: SimRequest, sequence: u64) -> Self {
        let prefill_tokens = (request.prompt_tokens + request.resume_at).max(1);
        let kv_tokens = match request.stage {
            Stage::Prefill => prefill_tokens,
            Stage::Full | Stage::Decode => {
                request.prompt_tokens + request.output_tokens.max(request.resume_at)
            }
        };
        Self {
            sequence,
            kv_tokens,
            prefill_left: if request.stage == Stage::Decode {
                0
            } else {
                prefill_tokens
            },
            cached_tokens: 0,
            next_index: request.resume_at,
            is_in_step: false,
            request,
        }
    }

    pub(super) const fn key(&self) -> (u32, u64) {
        (self.request.priority, self.sequence)
    }

    const fn is_done(&self) -> bool {
        self.next_index >= self.request.output_tokens
    }

    fn finished(&self) -> EventKind {
        EventKind::Finished {
            attempt_id: self.request.attempt_id,
            cached_tokens: self.cached_tokens,
            output_tokens: self.next_index - self.request.resume_at,
            reason: if self.next_index >= self.request.max_tokens {
                FinishReason::Length
            } else {
                FinishReason::Stop
            },
        }
    }
}

/// The step in progress.
#[derive(Debug)]
pub(super) struct Step {
    pub(super) ends_us: u64,
    /// Prompt tokens processed in the step, by the key of the job.
    chunk: Vec<((u32, u64), u64)>,
}

impl Engine {
    /// Starts the next step, unless a step or change is in progress, the engine has crashed, or
    /// there is no work.
    pub(super) fn start_step(&mut self, now_us: u64) {
        if self.step.is_some() || self.change.is_some() || self.is_crashed {
            return;
        }
        self.reserve_kv(now_us);
        // Jobs are sorted by priority and arrival, so the batch consists of the first ones.
        let decoded = self.decoding.len().min(self.config.batch_requests);
        for (i, job) in self.decoding.iter_mut().enumerate() {
            job.is_in_step = i < decoded;
        }
        let mut budget = match self.role {
            Role::Prefill => self.config.prefill_chunk_tokens,
            Role::Mixed => self.config.mixed_chunk_tokens,
            Role::Decode => self.config.decode_chunk_tokens,
        };
        let mut chunk = Vec::new();
        let mut chunk_tokens = 0;
        for (key, job) in &self.prefilling {
            let tokens = job.prefill_left.min(budget);
            chunk.push((*key, tokens));
            budget -= tokens;
            chunk_tokens += tokens;
            if budget == 0 {
                break;
            }
        }
        if decoded == 0 && chunk.is_empty() {
            return;
        }
        let chunk_us = chunk_tokens as f64 * 1e6 / self.config.prefill_tokens_per_s as f64;
        let mut step_us = chunk_us;
        if decoded > 0 {
            step_us += chunk_us * self.config.interference;
            step_us +=
                (self.config.step_us + self.config.step_per_request_us * decoded as u64) as f64;
        }
        let step_us = (step_us as u64).max(1);
        self.busy_us += step_us;
        self.step = Some(Step {
            ends_us: now_us + step_us,
            chunk,
        });
    }

    /// Reserves KV cache for waiting jobs in order, until one does not fit.
    fn reserve_kv(&mut self, now_us: u64) {
        while let Some(entry) = self.waiting.first_entry() {
            if self.kv_used_tokens + entry.get().kv_tokens > self.config.kv_capacity_tokens {
                return;
            }
            let mut job = entry.remove();
            self.kv_used_tokens += job.kv_tokens;
            if job.request.stage == Stage::Decode {
                let tokens = job.request.prompt_tokens + job.request.resume_at;
                let transfer_us = tokens * 1_000_000 / self.config.transfer_tokens_per_s;
                self.importing
                    .push((now_us + self.config.transfer_us + transfer_us, job));
            } else {
                // At least one token is processed, since its processing yields the first output
                // token.
                let cached = self.cache.cached_tokens(&job.request.prefix_blocks);
                job.cached_tokens = cached.min(job.prefill_left - 1);
                job.prefill_left -= job.cached_tokens;
                self.queued_prefill_tokens -= job.cached_tokens;
                self.prefilling.insert(job.key(), job);
            }
        }
    }

    pub(super) fn finish_imports(&mut self, at_us: u64) {
        let arrived = self
            .importing
            .extract_if(.., |(arrives_us, _)| *arrives_us <= at_us);
        let arrived: Vec<Job> = arrived.map(|(_, job)| job).collect();
        for job in arrived {
            self.start_decoding(job);
        }
    }

    fn start_decoding(&mut self, job: Job) {
        let at = self
            .decoding
            .partition_point(|other| other.key() < job.key());
        self.decoding.insert(at, job);
    }

    pub(super) fn finish_step(&mut self, at_us: u64, events: &mut Vec<Event>) {
        let Some(step) = self.step.take() else { return };
        let reports_each_token = self.config.reports_each_token;
        let mut freed = 0;
        self.decoding.retain_mut(|job| {
            if !job.is_in_step {
                return true;
            }
            let attempt_id = job.request.attempt_id;
            let index = job.next_index;
            if reports_each_token || index == job.request.resume_at {
                events.push(Event {
                    at_us,
                    kind: EventKind::Token { attempt_id, index },
                });
            }
            job.next_index += 1;
            if job.is_done() {
                events.push(Event {
                    at_us,
                    kind: job.finished(),
                });
                freed += job.kv_tokens;
            }
            !job.is_done()
        });
        self.kv_used_tokens -= freed;
        for (key, tokens) in step.chunk {
            // A job that was cancelled during the step is no longer listed.
            let Some(job) = self.prefilling.get_mut(&key) else {
                continue;
            };
            job.prefill_left -= tokens;
            self.queued_prefill_tokens -= tokens;
            if job.prefill_left == 0
                && let Some(job) = self.prefilling.remove(&key)
            {
                self.finish_prefill(job, at_us, events);
            }
        }
    }

    fn finish_prefill(&mut self, mut job: Job, at_us: u64, events: &mut Vec<Event>) {
        self.cache.store(&job.request.prefix_blocks, at_us);
        let attempt_id = job.request.attempt_id;
        if job.request.stage == Stage::Prefill {
            let handle = job.sequence;
            self.exports.insert(
                handle,
                KvExport {
                    attempt_id,
                    kv_tokens: job.kv_tokens,
                },
            );
            let cached_tokens = job.cached_tokens;
            let kind = EventKind::PrefillDone {
                attempt_id,
                handle,
                cached_tokens,
            };
            events.push(Event { at_us, kind });
            return;
        }
        if !job.is_done() {
            let index = job.next_index;
            events.push(Event {
                at_us,
                kind: EventKind::Token { attempt_id, index },
            });
            job.next_index += 1;
        }
        if job.is_done() {
            events.push(Event {
                at_us,
                kind: job.finished(),
            });
            self.kv_used_tokens -= job.kv_tokens;
        } else {
            self.start_decoding(job);
        }
    }

    /// Removes an attempt in any state; false if the engine has no such attempt.
    pub(super) fn remove(&mut self, attempt_id: u64) -> bool {
        let is_match = |job: &Job| job.request.attempt_id == attempt_id;
        if let Some(key) = self
            .waiting
            .iter()
            .find(|(_, job)| is_match(job))
            .map(|(key, _)| *key)
        {
            let job = self.waiting.remove(&key).expect("the key was found");
            self.queued_prefill_tokens -= job.prefill_left;
            return true;
        }
        let found = self
            .prefilling
            .iter()
            .find(|(_, job)| is_match(job))
            .map(|(key, _)| *key);
        let job = if let Some(key) = found {
            let job = self.prefilling.remove(&key).expect("the key was found");
            self.queued_prefill_tokens -= job.prefill_left;
            job
        } else if let Some(i) = self.importing.iter().position(|(_, job)| is_match(job)) {
            self.importing.remove(i).1
        } else if let Some(i) = self.decoding.iter().position(is_match) {
            self.decoding.remove(i)
        } else {
            let handle = self
                .exports
                .iter()
                .find(|(_, e)| e.attempt_id == attempt_id);
            let Some(handle) = handle.map(|(handle, _)| *handle) else {
                return false;
            };
            let export = self.exports.remove(&handle).expect("the handle was found");
            self.kv_used_tokens -= export.kv_tokens;
            return true;
        };
        self.kv_used_tokens -= job.kv_tokens;
        true
    }

    /// Aborts all attempts, with an event for each.
    pub(super) fn abort_all(&mut self, reason: AbortReason, at_us: u64) -> Vec<Event> {
        let waiting = std::mem::take(&mut self.waiting).into_values();
        let prefilling = std::mem::take(&mut self.prefilling).into_values();
        let importing = self.importing.drain(..).map(|(_, job)| job);
        let jobs = waiting
            .chain(prefilling)
            .chain(importing)
            .chain(self.decoding.drain(..));
        let mut attempts: Vec<u64> = jobs.map(|job| job.request.attempt_id).collect();
        attempts.extend(self.exports.drain().map(|(_, export)| export.attempt_id));
        attempts.sort_unstable();
        self.step = None;
        self.kv_used_tokens = 0;
        self.queued_prefill_tokens = 0;
        let aborted = |attempt_id| Event {
            at_us,
            kind: EventKind::Aborted { attempt_id, reason },
        };
        attempts.into_iter().map(aborted).collect()
    }
}
