//! Whether this node may send a request to a runner now.
//!
//! The gate keeps what runners ask for in their answers. A runner that is about to stop gets nothing more; one
//! that asked for a pause gets nothing until the pause is over, then one request, and the others once that is
//! answered; one that limits the requests of all nodes together gets those that are counted by
//! [`permit_counter`](super::permit_counter).

use super::Runner;
use super::backpressure::{Backpressure, MEMORY_US, RateObservation, RateSignal};
use super::permit_counter::RunnerTerms;
use crate::collections::HashMap;
use crate::name::Name;

/// Time for which the first request after a pause holds up the others if it is not answered.
const PROBE_US: u64 = 1_000_000;

/// Why a request may not be sent to a runner now, the most lasting reason first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HoldReason {
    /// The runner is about to stop.
    Leaving,
    /// The runner asked this node for a pause.
    Paused,
    /// The runner's limit is used up.
    Limited,
}

impl HoldReason {
    /// Name in log records, counters and answers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "runners_leaving",
            Self::Paused => "runners_paused",
            Self::Limited => "runners_limited",
        }
    }
}

/// A runner that gets no request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    /// What the runner asked for.
    pub reason: HoldReason,
    /// When it may get one; `None` for never.
    pub until_us: Option<u64>,
}

/// Whether a runner gets a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It gets one.
    Open,
    /// It gets one with a permit of the node that counts for it.
    Counted,
    /// It gets none.
    Held(Hold),
}

/// An answer of a runner.
#[derive(Debug, Clone, Copy)]
pub struct AnswerObservation {
    /// What its headers ask for.
    pub backpressure: Backpressure,
    /// Whether the runner turned the request away for now.
    pub is_refusal: bool,
    /// When the request was sent.
    pub sent_us: u64,
    /// When the head of the answer arrived.
    pub seen_us: u64,
}

/// What one process of a runner has asked for.
#[derive(Debug, Default)]
struct Terms {
    started_unix_ms: u64,
    is_leaving: bool,
    rate: RateObservation,
    /// When the limit is known to have room again.
    full_until_us: u64,
    /// End of the pause; 0 if there is none, or it was over when a request was answered.
    paused_until_us: u64,
    /// Until when the first request after a pause holds up the others.
    probed_until_us: u64,
    /// When the runner or another node last told something of it.
    heard_us: u64,
}

impl Terms {
    const fn standing(&self, now_us: u64) -> Standing {
        let (reason, until_us) = if self.is_leaving {
            (HoldReason::Leaving, None)
        } else if now_us < self.paused_until_us {
            (HoldReason::Paused, Some(self.paused_until_us))
        } else if now_us < self.probed_until_us {
            (HoldReason::Paused, Some(self.probed_until_us))
        } else if self.rate.limit_per_s.is_none() {
            return Standing::Open;
        } else if now_us < self.full_until_us {
            (HoldReason::Limited, Some(self.full_until_us))
        } else {
            return Standing::Counted;
        };
        Standing::Held(Hold { reason, until_us })
    }

    /// Whether the process asks for nothing any more.
    const fn is_over(&self) -> bool {
        !self.is_leaving && self.rate.limit_per_s.is_none() && self.paused_until_us == 0
    }
}

/// What the runners have asked of this node.
#[derive(Debug, Default)]
pub struct SendGate {
    terms: HashMap<Name, Terms>,
}

impl SendGate {
    /// Whether a runner gets a request now.
    pub fn standing(&self, runner: &Runner, now_us: u64) -> Standing {
        let terms = self.terms.get(&runner.id);
        let terms = terms.filter(|terms| terms.started_unix_ms == runner.started_unix_ms);
        terms.map_or(Standing::Open, |terms| terms.standing(now_us))
    }

    /// Records that a request is sent to a runner whose standing allows it.
    pub fn on_send(&mut self, runner: &Runner, now_us: u64) {
        if let Some(terms) = self.terms.get_mut(&runner.id)
            && terms.paused_until_us > 0
        {
            terms.probed_until_us = now_us + PROBE_US;
        }
    }

    /// Records an answer. Returns what the node that counts should know, if it is new here.
    pub fn on_answer(
        &mut self,
        runner: &Runner,
        answer: &AnswerObservation,
    ) -> Option<RunnerTerms> {
        if !answer.backpressure.is_some() && !self.terms.contains_key(&runner.id) {
            return None;
        }
        let terms = self.terms_of(&runner.id, runner.started_unix_ms)?;
        let asked = &answer.backpressure;
        let pause = asked.pause.filter(|_pause| answer.is_refusal);
        if let Some(pause) = pause {
            let until_us = answer.seen_us + pause.as_micros() as u64;
            terms.paused_until_us = terms.paused_until_us.max(until_us);
            terms.probed_until_us = 0;
        } else if answer.sent_us >= terms.paused_until_us {
            (terms.paused_until_us, terms.probed_until_us) = (0, 0);
        }
        let is_leaving_new = asked.is_leaving && !terms.is_leaving;
        terms.is_leaving |= asked.is_leaving;
        let limit_per_s = match asked.rate {
            RateSignal::PerSecond(limit) => Some(Some(limit)),
            // A refusal may come from a part of the runner that does not know of its need.
            RateSignal::Unlimited if !answer.is_refusal => Some(None),
            RateSignal::Unlimited | RateSignal::Unreadable => None,
        };
        let is_rate_new = limit_per_s.is_some_and(|limit_per_s| {
            terms.rate.merge(RateObservation {
                limit_per_s,
                sent_us: answer.sent_us,
                seen_us: answer.seen_us,
            })
        });
        if is_rate_new {
            terms.full_until_us = 0;
        }
        terms.heard_us = answer.seen_us;
        let is_over = terms.is_over();
        let told = (is_leaving_new || is_rate_new).then(|| self.known(runner));
        if is_over {
            self.terms.remove(&runner.id);
        }
        told
    }

    /// What is known of a runner, for the node that counts.
    pub fn known(&self, runner: &Runner) -> RunnerTerms {
        self.known_of(&runner.id, runner.started_unix_ms)
    }

    /// Like [`known`](Self::known), for a process of a runner.
    pub fn known_of(&self, runner: &Name, started_unix_ms: u64) -> RunnerTerms {
        let terms = self.terms.get(runner);
        let terms = terms.filter(|terms| terms.started_unix_ms == started_unix_ms);
        RunnerTerms {
            runner: Name::clone(runner),
            started_unix_ms,
            is_leaving: terms.is_some_and(|terms| terms.is_leaving),
            rate: terms.map(|terms| terms.rate).unwrap_or_default(),
        }
    }

    /// What is known of all runners that are about to stop or limited, for a node that has just started.
    pub fn all_known(&self) -> Vec<RunnerTerms> {
        let asking = self.terms.iter();
        let asking = asking.filter(|(_id, t)| t.is_leaving || t.rate.limit_per_s.is_some());
        asking
            .map(|(id, terms)| self.known_of(id, terms.started_unix_ms))
            .collect()
    }

    /// Takes over what another node knows, by the clock of this node.
    pub fn on_told(&mut self, told: &RunnerTerms, now_us: u64) {
        let Some(terms) = self.terms_of(&told.runner, told.started_unix_ms) else {
            return;
        };
        terms.heard_us = now_us;
        terms.is_leaving |= told.is_leaving;
        if terms.rate.merge(told.rate) {
            terms.full_until_us = 0;
        }
        if terms.is_over() {
            self.terms.remove(&told.runner);
        }
    }

    /// Takes over the answer of the node that counts, which knew what this node had told it. Its word replaces the
    /// own one, unless the runner has been heard since.
    pub fn on_reply(&mut self, told: &RunnerTerms, reply: &RunnerTerms, now_us: u64) {
        if let Some(terms) = self.terms.get_mut(&reply.runner)
            && terms.started_unix_ms == reply.started_unix_ms
            && terms.rate == told.rate
        {
            terms.rate = RateObservation::default();
        }
        self.on_told(reply, now_us);
    }

    /// Records that the limit of a runner has no room before `until_us`.
    pub fn on_full(&mut self, runner: &Name, until_us: u64) {
        if let Some(terms) = self.terms.get_mut(runner) {
            terms.full_until_us = until_us;
        }
    }

    /// Whether no runner asks for anything.
    pub fn is_empty(&self) -> bool {
        self.terms.is_empty()
    }

    /// Forgets the runners that have not been registered for long; `is_registered` tells whether they are.
    pub fn forget<F>(&mut self, is_registered: F, now_us: u64)
    where
        F: Fn(&Name) -> bool,
    {
        self.terms
            .retain(|runner, terms| is_registered(runner) || terms.heard_us + MEMORY_US > now_us);
    }

    /// The terms of a process; `None` if a later one has begun under the same id.
    fn terms_of(&mut self, runner: &Name, started_unix_ms: u64) -> Option<&mut Terms> {
        let terms = self.terms.entry(Name::clone(runner)).or_default();
        if terms.started_unix_ms > started_unix_ms {
            return None;
        }
        if terms.started_unix_ms < started_unix_ms {
            *terms = Terms {
                started_unix_ms,
                ..Terms::default()
            };
        }
        Some(terms)
    }
}
