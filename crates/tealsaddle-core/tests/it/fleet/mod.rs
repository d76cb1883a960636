//! Tests of the decisions for a fleet whose runners register themselves.

mod admission;
mod caller_budget;
mod change_histories;
mod change_sim;
mod config;
mod continuation;
mod customers;
mod events;
mod generation;
mod lease;
mod load;
mod path_histories;
mod permit_histories;
mod placement;
mod pool_sim;
mod quarantine;
mod resumption;
mod send_gate;
mod share_histories;
mod share_sim;
mod sizing;
mod split;
mod stage_histories;
mod stage_sim;
mod store_availability;
mod usage;
mod version_histories;

use std::net::SocketAddr;
use std::sync::Arc;

use tealsaddle_core::fleet::{PromptPart, Runner, Stage};
use tealsaddle_core::name::Name;

pub const SECOND_US: u64 = 1_000_000;

pub fn runner(id: &str, zone: &str, stage: Option<Stage>) -> Arc<Runner> {
    Arc::new(Runner {
        id: Name::from(id),
        service: Name::from("readers"),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        zone: Name::from(zone),
        slots: 4,
        is_draining: false,
        is_spot: false,
        leaves_ms: None,
        stage,
        version: Name::from("v1"),
        started_unix_ms: 0,
    })
}

pub fn draining(runner: &Arc<Runner>) -> Arc<Runner> {
    let mut runner = Runner::clone(runner);
    runner.is_draining = true;
    Arc::new(runner)
}

/// Creates prefill runners `r0`, `r1` and so on, in zones `a`, `b` and `c` in turn.
pub fn prefill_runners(count: usize) -> Vec<Arc<Runner>> {
    let zones = ["a", "b", "c"];
    (0..count)
        .map(|i| runner(&format!("r{i}"), zones[i % 3], Some(Stage::Prefill)))
        .collect()
}

/// Creates a prompt of a shared part and a part of its own.
pub fn prompt(shared: u64, shared_tokens: u64, own: u64, own_tokens: u64) -> Vec<PromptPart> {
    vec![
        PromptPart {
            id: shared,
            tokens: shared_tokens,
        },
        PromptPart {
            id: own,
            tokens: own_tokens,
        },
    ]
}
