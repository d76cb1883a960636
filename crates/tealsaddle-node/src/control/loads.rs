//! Load reports: polling of engines and exchange between the nodes of a zone.
//!
//! Two nodes of the zone poll each engine, so that reports continue if one of them fails. The other
//! nodes get the reports with heartbeats.

use tealsaddle_core::collections::HashMap;
use tealsaddle_core::inventory::{Engine, Inventory, Role};
use tealsaddle_core::load::LoadReport;
use tealsaddle_core::name::Name;
use tealsaddle_core::rollout::rendezvous;
use tealsaddle_schema::peer::{EngineReport, ModelLoad};
use tokio::sync::mpsc;

use super::api::LoadStatus;
use super::event::Event;
use crate::clock;
use crate::engine::orders::{EngineLoadAnswer, EngineReader};
use crate::traffic::Snapshot;

/// Nodes of a zone that poll one engine.
const POLLERS_PER_ENGINE: usize = 2;
/// Age from which a report is no longer passed on.
const MAX_REPORT_AGE_US: u64 = 5_000_000;

/// A load report with its sample time by the clock of this node.
#[derive(Debug, Clone)]
pub struct Report {
    /// Time of the sample, by the clock of this node.
    pub sampled_at_us: u64,
    /// The message as passed on to peers, except for its age.
    pub message: EngineReport,
}

/// Load reports of the zone's engines.
#[derive(Debug, Default)]
pub struct LoadReports {
    reports: HashMap<Name, Report>,
    polled: Vec<Name>,
}

/// Reads the load of an engine in a task, which sends the answer as an event.
pub fn request_load(reader: EngineReader, engine: &Engine, events: mpsc::Sender<Event>) {
    let name = Name::clone(&engine.name);
    let address = engine.address;
    let requested_at_us = clock::now_us();
    tokio::spawn(async move {
        let answer = reader.load(address).await;
        let event = Event::LoadRead {
            engine: name,
            requested_at_us,
            answer,
        };
        // The send fails only if the control thread has ended, which happens with the process.
        drop(events.send(event).await);
    });
}

/// Converts a report for the router; `None` if the role is unknown.
pub fn to_load_report(report: &Report) -> Option<LoadReport> {
    let message = &report.message;
    Some(LoadReport {
        sampled_at_us: report.sampled_at_us,
        role: message.role.parse().ok()?,
        is_changing: !message.changing_to.is_empty(),
        running: message.running,
        waiting: message.waiting,
        queued_prefill_tokens: message.queued_prefill_tokens,
        kv_used_tokens: message.kv_used_tokens,
    })
}

impl LoadReports {
    /// Computes which engines of a zone this node polls, and drops reports of engines that the
    /// configuration no longer has.
    pub fn assign_polling(
        &mut self,
        inventory: &Inventory,
        zone: &str,
        own_vm: &str,
        members: &[&str],
    ) {
        self.polled = inventory
            .engines
            .values()
            .filter(|engine| *engine.zone == *zone)
            .filter(|engine| {
                rendezvous(&engine.name, members, POLLERS_PER_ENGINE).contains(&own_vm)
            })
            .map(|engine| Name::clone(&engine.name))
            .collect();
        self.reports
            .retain(|engine, _| inventory.engines.contains_key(engine));
    }

    /// Returns the engines that this node polls.
    pub fn polled(&self) -> &[Name] {
        &self.polled
    }

    /// Stores the answer of an engine to a poll of this node.
    pub fn on_poll_answer(
        &mut self,
        engine: &Name,
        requested_at_us: u64,
        answer: EngineLoadAnswer,
    ) -> Report {
        let age_ms = answer.now_ms.saturating_sub(answer.sampled_at_ms);
        let report = Report {
            sampled_at_us: requested_at_us.saturating_sub(age_ms * 1_000),
            message: EngineReport {
                engine: engine.to_string(),
                sampled_at_ms: answer.sampled_at_ms,
                now_ms: answer.now_ms,
                role: answer.role,
                changing_to: answer.changing_to,
                running: answer.running,
                waiting: answer.waiting,
                queued_prefill_tokens: answer.queued_prefill_tokens,
                kv_used_tokens: answer.kv_used_tokens,
                age_ms: 0,
            },
        };
        self.reports.insert(Name::clone(engine), report.clone());
        report
    }

    /// Stores a report that a peer passed on. Returns the report if it replaces the stored one.
    pub fn on_peer_report(&mut self, message: EngineReport, now_us: u64) -> Option<Report> {
        let sampled_at_us = now_us.saturating_sub(message.age_ms.saturating_mul(1_000));
        // The engine's own clock orders its samples, since ages include the delays of messages.
        let is_newer_sample = self
            .reports
            .get(message.engine.as_str())
            .is_none_or(|known| message.sampled_at_ms > known.message.sampled_at_ms);
        // A restart resets the clock of an engine, so a stale report is replaced in any case.
        let is_known_stale = self
            .reports
            .get(message.engine.as_str())
            .is_some_and(|known| now_us.saturating_sub(known.sampled_at_us) > MAX_REPORT_AGE_US);
        if !(is_newer_sample || is_known_stale) {
            return None;
        }
        let engine = Name::from(message.engine.as_str());
        let report = Report {
            sampled_at_us,
            message,
        };
        self.reports.insert(engine, report.clone());
        Some(report)
    }

    /// Returns the reports that are fresh enough to pass on; with `only_own`, only those of engines that
    /// this node polls.
    pub fn to_messages(&self, only_own: bool, now_us: u64) -> Vec<EngineReport> {
        self.reports
            .iter()
            .filter(|(engine, _)| !only_own || self.polled.contains(engine))
            .filter(|(_, report)| now_us.saturating_sub(report.sampled_at_us) < MAX_REPORT_AGE_US)
            .map(|(_, report)| EngineReport {
                age_ms: now_us.saturating_sub(report.sampled_at_us) / 1_000,
                ..report.message.clone()
            })
            .collect()
    }

    /// Returns the last report of an engine, for operators.
    pub fn status(&self, engine: &str, now_us: u64) -> Option<LoadStatus> {
        let report = self.reports.get(engine)?;
        Some(LoadStatus {
            age_ms: now_us.saturating_sub(report.sampled_at_us) / 1_000,
            running: report.message.running,
            waiting: report.message.waiting,
            queued_prefill_tokens: report.message.queued_prefill_tokens,
            kv_used_tokens: report.message.kv_used_tokens,
        })
    }

    /// Returns the spare capacity of the zone per model, over the engines that take new work.
    pub fn spare_capacity(&self, inventory: &Inventory, snapshot: &Snapshot) -> Vec<ModelLoad> {
        let mut spare = HashMap::<&str, ModelLoad>::default();
        for (name, role) in &snapshot.open_engines {
            let (Some(engine), Some(report)) =
                (inventory.engines.get(name), self.reports.get(name))
            else {
                continue;
            };
            for model in &engine.models {
                let Some(model_config) = inventory.models.get(model) else {
                    continue;
                };
                let load = spare.entry(model).or_insert_with(|| ModelLoad {
                    model: model.to_string(),
                    ..ModelLoad::default()
                });
                if *role != Role::Decode {
                    let milli_tokens_within_target =
                        u64::from(engine.prefill_tokens_per_s) * model_config.first_token_ms;
                    load.spare_prefill_tokens += (milli_tokens_within_target / 1_000)
                        .saturating_sub(report.message.queued_prefill_tokens);
                }
                if *role != Role::Prefill {
                    let active_requests = report.message.running + report.message.waiting;
                    load.spare_decode_requests +=
                        engine.batch_requests.saturating_sub(active_requests);
                }
            }
        }
        spare.into_values().collect()
    }
}
