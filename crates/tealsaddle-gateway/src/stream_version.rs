//! The software version of a call's stream.

use std::time::Duration;

use tealsaddle_core::fleet::continuation::Continuation;
use tealsaddle_core::fleet::{Runner, Stage};

use crate::answer::GatewayAnswer;
use crate::call::{Call, Refusal};
use crate::timeout::timeout_at;

impl Call {
    /// Binds a stream that the caller takes up to the version that began it, or refuses it.
    pub async fn bind_resumed_version(&self) -> Result<(), Refusal> {
        if self.metadata.last_event_id.is_none() || !self.route.repeat.may_repeat() {
            return Ok(());
        }
        let resumes = self.metadata.resumed_id();
        let versions = &self.gateway.versions;
        let decided = versions.continuation(resumes, &self.service);
        let decided = timeout_at(self.deadline, decided).await;
        let decided = decided.unwrap_or(Continuation::Unknown);
        let answer = match &decided {
            Continuation::At(version) => {
                self.state.bind_version(version);
                let is_served = self.is_version_served();
                (!is_served).then_some(GatewayAnswer::StreamVersionGone)
            }
            Continuation::Unknown | Continuation::Undecided => {
                Some(GatewayAnswer::StreamVersionUnknown)
            }
        };
        log::info!(id:% = self.request_id, resumes:% = resumes.unwrap_or("-"), decided:?,
            is_refused = answer.is_some(); "stream taken up");
        let name = answer.map_or("stream_version.resumed", GatewayAnswer::as_str);
        self.gateway.metrics.increment(name);
        answer.map_or(Ok(()), |answer| Err((answer, Duration::ZERO)))
    }

    /// Whether a runner of the stream's version accepts requests.
    fn is_version_served(&self) -> bool {
        let snapshot = self.gateway.snapshot.load();
        let mut runners = snapshot.runners_of(&self.service).iter();
        runners.any(|runner| {
            self.may_go_on_at(runner) && !runner.is_draining && runner.stage != Some(Stage::Prefill)
        })
    }

    /// Whether a runner is of the version that has begun the stream, if it has begun.
    pub fn may_go_on_at(&self, runner: &Runner) -> bool {
        let version = self.state.version();
        version.is_none_or(|version| *version == runner.version)
    }

    /// Binds the stream to the version of the runner whose events are about to be passed on, and lets others know.
    pub async fn on_first_events(&self, runner: &Runner) {
        if self.state.begin_stream() || !self.route.repeat.may_repeat() {
            return;
        }
        self.state.bind_version(&runner.version);
        let id = self.metadata.resumed_id().unwrap_or(&self.request_id);
        let versions = &self.gateway.versions;
        versions.on_begun(id, &self.service, &runner.version).await;
    }
}
