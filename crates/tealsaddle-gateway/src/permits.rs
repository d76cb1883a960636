//! Permits of a call: which runner it may be sent to, and what becomes of it if there is none.
//!
//! A runner that gets no request now is left out like one that was tried, and the next best is chosen. If all of
//! a service are left out, the call waits if its turn comes soon, and is refused at once otherwise.

use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use tealsaddle_core::fleet::placement::Placement;
use tealsaddle_core::fleet::send_gate::{AnswerObservation, HoldReason};
use tealsaddle_core::fleet::{Runner, Stage};
use tealsaddle_core::name::Name;
use tealsaddle_core::retry::AttemptOutcome;
use tokio::time::Instant;

use crate::answer::{GatewayAnswer, classify_answer};
use crate::call::{Call, OwnAnswer, Refusal};
use crate::clock::{self, jittered};
use crate::send_gate::{SendPermit, Withheld};

/// Number of runners that are asked for a place before the call waits or is refused.
const MAX_ASKED: usize = 3;
/// Longest wait for a turn.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Longest wait for a turn, as a share of the time left.
const WAIT_SHARE: f64 = 1.0 / 3.0;
/// Longest wait for a turn, as a share of the route's objective. A longer one would make answers late while the demand
/// is above a limit, and let no more of them through.
const OBJECTIVE_SHARE: f64 = 0.5;
/// Factor on the longest wait for each step of the priority: the more urgent calls take the places first.
const URGENCY_FACTOR: f64 = 0.6;
/// Time over which calls that have waited for the end of a pause are spread.
const PAUSE_SPREAD: Duration = Duration::from_millis(60);

/// A runner that was chosen, with the permission to send to it.
#[derive(Debug)]
pub struct PermittedPlacement {
    /// The choice.
    pub placement: Placement,
    /// The permission.
    pub permit: SendPermit,
}

/// Result of a choice among the runners that get a request now.
#[derive(Debug)]
enum Choice {
    /// This runner was chosen.
    Placed(PermittedPlacement),
    /// No candidate gets a request now; this one gets one first.
    AllHeld(Arc<Runner>, Withheld),
}

/// The runners among which a call chooses.
#[derive(Debug, Clone, Copy)]
pub struct Candidates<'a> {
    /// Stage that they serve; `None` for a plain service.
    pub stage: Option<Stage>,
    /// Ids of the runners that were tried before.
    pub excluded: &'a [Name],
    /// Whether the call waits for its turn if none of them gets a request now.
    pub may_wait: bool,
}

impl Call {
    /// Chooses a runner and acquires the permission to send to it. `choose` is given the ids of the runners that are
    /// left out.
    pub async fn place<F>(
        &self,
        candidates: Candidates<'_>,
        choose: F,
    ) -> Result<PermittedPlacement, Refusal>
    where
        F: Fn(&[Name]) -> Result<Placement, Refusal>,
    {
        let waits_until = Instant::now() + self.longest_wait(candidates);
        loop {
            match self.place_now(candidates, &choose).await? {
                Choice::Placed(placed) => return Ok(placed),
                Choice::AllHeld(runner, withheld) => {
                    let left = waits_until.saturating_duration_since(Instant::now());
                    let placed = self.wait_for_turn(&runner, withheld, left, &choose);
                    if let Some(placed) = Box::pin(placed).await? {
                        return Ok(placed);
                    }
                }
            }
        }
    }

    /// Chooses among the runners that get a request now. While the node may not know which runners are about to stop,
    /// it prefers those that it has had an answer of.
    async fn place_now<F>(&self, candidates: Candidates<'_>, choose: &F) -> Result<Choice, Refusal>
    where
        F: Fn(&[Name]) -> Result<Placement, Refusal>,
    {
        let mut doubtful = self.doubtful_runners(candidates.stage);
        if !doubtful.is_empty() {
            doubtful.extend_from_slice(candidates.excluded);
            let known = Candidates {
                excluded: &doubtful,
                ..candidates
            };
            if let Ok(Choice::Placed(placed)) = self.place_among(known, choose).await {
                return Ok(Choice::Placed(placed));
            }
        }
        self.place_among(candidates, choose).await
    }

    async fn place_among<F>(
        &self,
        candidates: Candidates<'_>,
        choose: &F,
    ) -> Result<Choice, Refusal>
    where
        F: Fn(&[Name]) -> Result<Placement, Refusal>,
    {
        let mut left_out = candidates.excluded.to_vec();
        let mut denied = self.held(candidates);
        left_out.extend(denied.iter().map(|(runner, _hold)| Name::clone(&runner.id)));
        for _asked in 0..MAX_ASKED {
            let placement = match choose(&left_out) {
                Ok(placement) => placement,
                Err((GatewayAnswer::NoRunner, _wait)) if !denied.is_empty() => break,
                Err(refusal) => return Err(refusal),
            };
            match self.acquire(&placement.runner, Duration::ZERO).await {
                Ok(permit) => return Ok(Choice::Placed(PermittedPlacement { placement, permit })),
                Err(withheld) => {
                    left_out.push(Name::clone(&placement.runner.id));
                    denied.push((placement.runner, withheld));
                }
            }
        }
        // A runner that never gets a request again comes last.
        let turn = |withheld: &Withheld| (withheld.wait.is_none(), withheld.wait, withheld.reason);
        let first = denied
            .into_iter()
            .min_by_key(|(_runner, withheld)| turn(withheld));
        let none_left = (GatewayAnswer::NoRunner, Duration::ZERO);
        first
            .map(|(runner, withheld)| Choice::AllHeld(runner, withheld))
            .ok_or(none_left)
    }

    /// The candidates that get no request at this moment.
    fn held(&self, candidates: Candidates<'_>) -> Vec<(Arc<Runner>, Withheld)> {
        if self.gateway.send_gate.is_idle() {
            return Vec::new();
        }
        let snapshot = self.gateway.snapshot.load();
        let runners = snapshot.runners_of(&self.service).iter();
        let runners = runners.filter(|runner| {
            let is_excluded = candidates.excluded.contains(&runner.id);
            runner.stage == candidates.stage && !runner.is_draining && !is_excluded
        });
        let held = runners.filter_map(|runner| {
            let withheld = self.gateway.send_gate.hold(runner)?;
            Some((Arc::clone(runner), withheld))
        });
        held.collect()
    }

    /// Ids of the runners of a stage that may be about to stop without this node's knowledge; none while its knowledge
    /// of the store is up to date.
    pub fn doubtful_runners(&self, stage: Option<Stage>) -> Vec<Name> {
        let gateway = &self.gateway;
        if !gateway.knowledge.is_doubtful() {
            return Vec::new();
        }
        gateway.metrics.increment("knowledge.doubtful");
        let word = Duration::from_micros(gateway.knowledge.terms().word_us);
        let snapshot = gateway.snapshot.load();
        let runners = snapshot.runners_of(&self.service).iter();
        let unheard = runners.filter(|runner| {
            let has_word = gateway.scheduler.has_answered_within(&runner.id, word);
            runner.stage == stage && !has_word
        });
        unheard.map(|runner| Name::clone(&runner.id)).collect()
    }

    /// Ids of the runners of a stage that get no request at this moment.
    pub fn held_runners(&self, stage: Option<Stage>) -> Vec<Name> {
        let candidates = Candidates {
            stage,
            excluded: &[],
            may_wait: false,
        };
        let held = self.held(candidates).into_iter();
        held.map(|(runner, _hold)| Name::clone(&runner.id))
            .collect()
    }

    /// Waits for the turn at the runner that gets a request first, or refuses the call. Returns `None` if the choice
    /// is to be made again.
    async fn wait_for_turn<F>(
        &self,
        runner: &Arc<Runner>,
        withheld: Withheld,
        left: Duration,
        choose: &F,
    ) -> Result<Option<PermittedPlacement>, Refusal>
    where
        F: Fn(&[Name]) -> Result<Placement, Refusal>,
    {
        let Some(wait) = withheld.wait.filter(|wait| *wait < left) else {
            return Err(self.withheld(runner, withheld));
        };
        if withheld.reason != HoldReason::Limited {
            tokio::time::sleep((wait + jittered(PAUSE_SPREAD)).min(left)).await;
            return Ok(None);
        }
        let permit = self.acquire(runner, left).await;
        let permit = permit.map_err(|withheld| self.withheld(runner, withheld))?;
        let snapshot = self.gateway.snapshot.load_full();
        let runners = snapshot.runners_of(&self.service).iter();
        let others = runners.filter(|other| other.id != runner.id);
        let others: Vec<Name> = others.map(|other| Name::clone(&other.id)).collect();
        let placement = choose(&others)?;
        Ok(Some(PermittedPlacement { placement, permit }))
    }

    /// Asks for the permission to send to a runner.
    pub async fn acquire(
        &self,
        runner: &Runner,
        max_wait: Duration,
    ) -> Result<SendPermit, Withheld> {
        let acquired = self.gateway.send_gate.acquire(runner, max_wait).await;
        if let Err(withheld) = &acquired {
            let reason = withheld.reason.as_str();
            self.gateway
                .metrics
                .increment(&format!("withheld.{reason}"));
            log::info!(id:% = self.request_id, runner:% = runner.id, reason,
                wait_ms = withheld.wait.map_or(-1, |wait| wait.as_millis() as i64),
                max_wait_ms = max_wait.as_millis() as u64; "runner gets no request now");
        }
        acquired
    }

    fn withheld(&self, runner: &Runner, withheld: Withheld) -> Refusal {
        log::info!(id:% = self.request_id, service:% = self.service, runner:% = runner.id,
            reason = withheld.reason.as_str(), left_ms = self.remaining().as_millis() as u64,
            wait_ms = withheld.wait.map_or(-1, |wait| wait.as_millis() as i64),
            return_ms = withheld.return_after.as_millis() as u64; "no runner gets a request now");
        (
            GatewayAnswer::Withheld(withheld.reason),
            withheld.return_after,
        )
    }

    /// Longest time for which the call waits for a turn.
    fn longest_wait(&self, candidates: Candidates<'_>) -> Duration {
        if !candidates.may_wait {
            return Duration::ZERO;
        }
        let left = if candidates.stage.is_some() {
            self.first_event_remaining()
        } else {
            self.remaining()
        };
        let urgency = URGENCY_FACTOR.powi(self.priority().min(9) as i32);
        let longest = left.mul_f64(WAIT_SHARE).min(MAX_WAIT);
        let objective = Duration::from_millis(self.route.objective_ms);
        let longest = if objective.is_zero() {
            longest
        } else {
            longest.min(objective.mul_f64(OBJECTIVE_SHARE))
        };
        longest.mul_f64(urgency)
    }

    /// Records what the answer of a runner asks for. An answer by another process than the one that was meant says
    /// nothing of it.
    pub fn on_answer_head(&self, runner: &Runner, answer: &OwnAnswer, sent_us: u64) {
        let status = answer.head.status;
        if status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        let mut backpressure = answer.metadata.backpressure;
        if status != StatusCode::SERVICE_UNAVAILABLE {
            backpressure.pause = None;
        }
        let outcome = classify_answer(status, &answer.metadata, &self.request_id);
        if let Some(pause) = backpressure.pause {
            log::info!(id:% = self.request_id, runner:% = runner.id,
                pause_ms = pause.as_millis() as u64; "runner asks for a pause");
        }
        let observation = AnswerObservation {
            backpressure,
            is_refusal: outcome != AttemptOutcome::Answered,
            sent_us,
            seen_us: clock::now_us(),
        };
        self.gateway.send_gate.on_answer(runner, &observation);
    }
}
