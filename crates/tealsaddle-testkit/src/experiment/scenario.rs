//! Fleets, users and what happens to them.

use std::sync::Arc;

use tealsaddle_core::admission::Targets;
use tealsaddle_core::inventory::{Engine, Role};
use tealsaddle_core::load::CorrectedLoad;
use tealsaddle_core::name::Name;
use tealsaddle_core::planner::{Demand, EngineView, Limits, PoolView, Split, capacity_scale};

use crate::engine::sim::{ModelVersion, SimConfig};

/// Microseconds in a second.
pub const US_PER_S: u64 = 1_000_000;

/// Prompt time that a caller allows on top of the first-token target, per token: twice the time that
/// an engine takes to read it.
pub const ALLOWED_US_PER_PROMPT_TOKEN: u64 = 250;

/// A kind of request; lengths are drawn evenly from the ranges.
#[derive(Debug, Clone)]
pub struct RequestKind {
    /// Name of the kind.
    pub name: &'static str,
    /// Shortest and longest prompt.
    pub prompt_tokens: (u64, u64),
    /// Leading tokens that many prompts share.
    pub shared_tokens: u64,
    /// Different shared beginnings.
    pub shared_variants: u64,
    /// Shortest and longest output.
    pub output_tokens: (u64, u64),
    /// Most tokens that the caller accepts.
    pub max_tokens: u64,
}

impl RequestKind {
    fn mean(range: (u64, u64)) -> f64 {
        (range.0 + range.1) as f64 / 2.0
    }
}

/// A fleet and its users.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: &'static str,
    /// Zones.
    pub zones: Vec<&'static str>,
    /// Engines in each zone.
    pub engines_per_zone: usize,
    /// Engine settings.
    pub engine: SimConfig,
    /// Targets of the model.
    pub targets: Targets,
    /// The two kinds of requests whose mix shifts.
    pub kinds: [RequestKind; 2],
    /// Customers.
    pub customers: usize,
    /// Limits of role planning.
    pub limits: Limits,
    /// Weight of a role change.
    pub role_change_weight: f64,
    /// Splits of a zone whose best one for a mix scales the load.
    pub reference_splits: Vec<Split>,
    /// Split of a zone at the start.
    pub initial_split: Split,
}

/// A stretch of time with one mix and load.
#[derive(Debug, Clone, Copy)]
pub struct Phase {
    /// Its start.
    pub from_us: u64,
    /// Share of the first kind among the requests.
    pub first_kind_share: f64,
    /// Load relative to what the fleet carries in the best split for this mix.
    pub load: f64,
}

/// A disturbance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The first engine that changes after the time crashes one second into the change, and is back
    /// after the given time.
    CrashInChange {
        /// Time until the engine is back.
        down_us: u64,
    },
    /// Load reports show the past.
    ReportsLate {
        /// Their lag.
        lag_us: u64,
    },
    /// No order can be issued anywhere.
    KeyValueDown,
    /// A zone reaches neither the platform nor other zones.
    ZoneCutOff {
        /// The zone.
        zone: usize,
    },
    /// An operator withdraws an engine.
    EngineWithdrawn {
        /// The engine.
        engine: usize,
    },
}

/// What happens in a run.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Name of the scenario.
    pub name: &'static str,
    /// Mix and load.
    pub phases: Vec<Phase>,
    /// End of the arrivals.
    pub length_us: u64,
    /// Fault with its start and end.
    pub fault: Option<(u64, u64, Fault)>,
    /// Whether all policies run, and not just the planners.
    pub runs_all_policies: bool,
}

/// Arrivals before this time are not counted.
pub const WARM_UP_US: u64 = 60 * US_PER_S;

/// Who decides on roles.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PolicyKind {
    /// The cost planner with a weight.
    Cost(f64),
    /// A split that never changes.
    Fixed(Split),
    /// Queue lengths.
    Threshold,
    /// All engines do both.
    Mixed,
    /// Told the coming mix.
    Oracle,
}

impl PolicyKind {
    /// Name of the policy in reports.
    pub fn label(&self) -> String {
        match self {
            Self::Cost(weight) => format!("cost, weight {weight}"),
            Self::Fixed(split) => {
                format!("fixed {}/{}/{}", split.prefill, split.mixed, split.decode)
            }
            Self::Threshold => "threshold".to_owned(),
            Self::Mixed => "all mixed".to_owned(),
            Self::Oracle => "oracle".to_owned(),
        }
    }
}

const fn split(prefill: usize, mixed: usize, decode: usize) -> Split {
    Split {
        prefill,
        mixed,
        decode,
    }
}

/// Flipperliga's rules assistant: rulings with a rule book in the prompt and short answers, and tilt
/// summaries of a round with short prompts and long answers.
pub fn flipperliga() -> Deployment {
    Deployment {
        name: "flipperliga",
        zones: vec!["buda-hall", "pest-hall", "csepel-hall"],
        engines_per_zone: 6,
        engine: engine("rules"),
        targets: Targets {
            first_token_us: 490_000,
            between_tokens_us: 37_000,
        },
        kinds: [
            RequestKind {
                name: "ruling",
                prompt_tokens: (2_000, 4_000),
                shared_tokens: 768,
                shared_variants: 6,
                output_tokens: (50, 150),
                max_tokens: 160,
            },
            RequestKind {
                name: "tilt summary",
                prompt_tokens: (200, 500),
                shared_tokens: 128,
                shared_variants: 3,
                output_tokens: (300, 600),
                max_tokens: 640,
            },
        ],
        customers: 60,
        // One of three or two of six engines may move at once.
        limits: Limits {
            role_floor: 1,
            max_moving_share: 0.34,
            min_dwell_us: 60 * US_PER_S,
        },
        role_change_weight: 1.0,
        reference_splits: vec![
            split(1, 0, 5),
            split(2, 0, 4),
            split(3, 0, 3),
            split(4, 0, 2),
            split(5, 0, 1),
            split(1, 4, 1),
            split(2, 2, 2),
        ],
        initial_split: split(3, 0, 3),
    }
}

/// Karoo's log readers: photographed pages make long prompts; a clean page gives a short list, a worn
/// one, read in part, a long list of findings.
pub fn karoo() -> Deployment {
    Deployment {
        name: "karoo",
        zones: vec!["midrand-a", "midrand-b", "isando", "centurion"],
        engines_per_zone: 3,
        engine: engine("pages"),
        targets: Targets {
            first_token_us: 490_000,
            between_tokens_us: 37_000,
        },
        kinds: [
            RequestKind {
                name: "page",
                prompt_tokens: (3_500, 6_000),
                shared_tokens: 512,
                shared_variants: 4,
                output_tokens: (60, 180),
                max_tokens: 200,
            },
            RequestKind {
                name: "findings",
                prompt_tokens: (1_200, 2_400),
                shared_tokens: 512,
                shared_variants: 4,
                output_tokens: (350, 700),
                max_tokens: 750,
            },
        ],
        customers: 20,
        limits: Limits {
            role_floor: 1,
            max_moving_share: 0.34,
            min_dwell_us: 60 * US_PER_S,
        },
        role_change_weight: 10.0,
        reference_splits: vec![split(1, 0, 2), split(2, 0, 1), split(1, 1, 1)],
        initial_split: split(1, 0, 2),
    }
}

fn engine(model: &str) -> SimConfig {
    let version = ModelVersion {
        name: Name::from(model),
        version: Name::from("1"),
    };
    SimConfig {
        models: vec![version],
        reports_each_token: false,
        ..SimConfig::default()
    }
}

const fn phase(from_s: u64, first_kind_share: f64, load: f64) -> Phase {
    Phase {
        from_us: from_s * US_PER_S,
        first_kind_share,
        load,
    }
}

/// The scenarios of a deployment.
///
/// The calm hour and the lasting shift are compressed to 15 minutes; the swings of a league night
/// keep their length of four minutes.
pub fn scenarios() -> Vec<Scenario> {
    let plain = |name, phases, length_s: u64| Scenario {
        name,
        phases,
        length_us: length_s * US_PER_S,
        fault: None,
        runs_all_policies: true,
    };
    let swings = |load| {
        let phases = (0..6).map(|i| phase(i * 240, if i % 2 == 0 { 0.92 } else { 0.08 }, load));
        phases.collect()
    };
    let shift = || vec![phase(0, 0.92, 0.8), phase(300, 0.08, 0.8)];
    let faulty = |name, from_s: u64, to_s: u64, fault| Scenario {
        name,
        phases: shift(),
        length_us: 720 * US_PER_S,
        fault: Some((from_s * US_PER_S, to_s * US_PER_S, fault)),
        runs_all_policies: false,
    };
    vec![
        plain("calm", vec![phase(0, 0.5, 0.6)], 900),
        plain("swings", swings(0.8), 1_440),
        plain("swings at 85%", swings(0.85), 1_440),
        plain("shift", shift(), 900),
        plain(
            "overload",
            vec![
                phase(0, 0.5, 0.8),
                phase(240, 0.5, 1.0),
                phase(420, 0.5, 1.2),
                phase(600, 0.5, 1.6),
            ],
            840,
        ),
        faulty(
            "crash in a change",
            300,
            300,
            Fault::CrashInChange {
                down_us: 20 * US_PER_S,
            },
        ),
        faulty(
            "reports late",
            420,
            480,
            Fault::ReportsLate {
                lag_us: 4 * US_PER_S,
            },
        ),
        faulty("key-value service down", 290, 420, Fault::KeyValueDown),
        faulty("zone cut off", 420, 480, Fault::ZoneCutOff { zone: 0 }),
        faulty(
            "engine withdrawn",
            420,
            480,
            Fault::EngineWithdrawn { engine: 0 },
        ),
    ]
}

impl Deployment {
    /// All splits of a zone with each of prefill and decode, to compare with.
    pub fn fixed_splits(&self) -> Vec<Split> {
        let engines = self.engines_per_zone;
        let prefill = 1..engines;
        prefill
            .flat_map(|prefill| {
                let decode = 1..=engines - prefill;
                decode.map(move |decode| split(prefill, engines - prefill - decode, decode))
            })
            .collect()
    }

    /// The inventory's form of an engine.
    pub fn inventory_engine(&self, zone: usize, number: usize, role: Role) -> Arc<Engine> {
        let sim = &self.engine;
        let batch = sim.batch_requests as u64;
        let step_us = sim.step_us + sim.step_per_request_us * batch;
        Arc::new(Engine {
            name: Name::from(format!("{}-{number}", self.zones[zone])),
            zone: Name::from(self.zones[zone]),
            vm: None,
            address: ([127, 0, 0, 1], 1).into(),
            models: sim
                .models
                .iter()
                .map(|model| Name::clone(&model.name))
                .collect(),
            initial_role: role,
            checks_fence: sim.checks_fence,
            prefill_tokens_per_s: sim.prefill_tokens_per_s as u32,
            decode_tokens_per_s: (batch * US_PER_S / step_us) as u32,
            batch_requests: batch as u32,
            kv_capacity_tokens: sim.kv_capacity_tokens,
            role_change_ms: sim.role_change_us / 1_000,
            withdrawn: false,
        })
    }

    /// Demand of one request a second in a mix, with the shared beginnings cached.
    pub fn unit_demand(&self, first_kind_share: f64) -> Demand {
        let [first, second] = &self.kinds;
        let mix = |of: fn(&RequestKind) -> f64| {
            first_kind_share * of(first) + (1.0 - first_kind_share) * of(second)
        };
        Demand {
            requests_per_s: 1.0,
            prefill_tokens_per_s: mix(|kind| {
                RequestKind::mean(kind.prompt_tokens) - kind.shared_tokens as f64
            }),
            output_tokens_per_s: mix(|kind| RequestKind::mean(kind.output_tokens)),
        }
    }

    /// Requests a second that one zone carries in the best split for a mix.
    pub fn best_split_rate(&self, first_kind_share: f64) -> (f64, Split) {
        let engines = self.engines_per_zone;
        let view = PoolView {
            engines: (0..engines)
                .map(|i| EngineView {
                    engine: self.inventory_engine(0, i, Role::Mixed),
                    role: Role::Mixed,
                    moving_to: None,
                    role_since_us: None,
                    is_available: true,
                    load: CorrectedLoad::default(),
                })
                .collect(),
            demand: Demand::default(),
            targets: self.targets,
            can_order: true,
        };
        let unit = self.unit_demand(first_kind_share);
        let rated = self.reference_splits.iter().map(|split| {
            // The scale is bounded, so the unit is a tenth of what engines carry.
            let per_engine = Demand {
                requests_per_s: engines as f64,
                prefill_tokens_per_s: unit.prefill_tokens_per_s * engines as f64,
                output_tokens_per_s: unit.output_tokens_per_s * engines as f64,
            };
            (
                capacity_scale(&view, *split, &per_engine) * engines as f64,
                *split,
            )
        });
        let best = rated.max_by(|a, b| a.0.total_cmp(&b.0));
        best.expect("a deployment has splits to compare with")
    }
}
