//! Deployments and scenarios of the experiments.

use std::sync::Arc;

use tealsaddle_core::admission::Targets;
use tealsaddle_core::inventory::{Engine, Role};
use tealsaddle_core::load::CorrectedLoad;
use tealsaddle_core::name::Name;
use tealsaddle_core::planner::{Demand, EngineView, Limits, PoolView, Split, capacity_scale};

use crate::engine::sim::{ModelVersion, SimConfig};

/// Microseconds in a second.
pub const US_PER_S: u64 = 1_000_000;

/// Time per prompt token that a caller allows in addition to the first-token target: twice the time
/// that an engine takes to process the token.
pub const ALLOWED_US_PER_PROMPT_TOKEN: u64 = 250;

/// A kind of request; lengths are drawn uniformly from the inclusive ranges.
#[derive(Debug, Clone)]
pub struct RequestKind {
    /// Name of the kind, for readers only.
    pub name: &'static str,
    /// Minimum and maximum length of the prompt.
    pub prompt_tokens: (u64, u64),
    /// Length of the shared prefix of a prompt.
    pub shared_tokens: u64,
    /// Number of different shared prefixes.
    pub shared_variants: u64,
    /// Minimum and maximum length of the output.
    pub output_tokens: (u64, u64),
    /// Maximum number of output tokens that the caller accepts.
    pub max_tokens: u64,
}

impl RequestKind {
    fn mean(range: (u64, u64)) -> f64 {
        (range.0 + range.1) as f64 / 2.0
    }
}

/// A fleet of engines with its request kinds.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Name of the deployment in reports and file names.
    pub name: &'static str,
    /// Names of the availability zones.
    pub zones: Vec<&'static str>,
    /// Number of engines in each zone.
    pub engines_per_zone: usize,
    /// Configuration of each engine, apart from its role.
    pub engine: SimConfig,
    /// Latency targets of the model.
    pub targets: Targets,
    /// The two kinds of requests, whose mix varies over time.
    pub kinds: [RequestKind; 2],
    /// Number of customers.
    pub customers: usize,
    /// Limits of role planning.
    pub limits: Limits,
    /// Weight of a role change in the cost planner of this deployment.
    pub role_change_weight: f64,
    /// Splits of a zone; the best of them for a mix defines load 1.
    pub reference_splits: Vec<Split>,
    /// Split of a zone at the start of a run.
    pub initial_split: Split,
}

/// A period with a constant mix and load.
#[derive(Debug, Clone, Copy)]
pub struct Phase {
    /// Start of the phase.
    pub from_us: u64,
    /// Fraction of the requests that are of the first kind.
    pub first_kind_share: f64,
    /// Load relative to the capacity of the fleet in the best split for this mix.
    pub load: f64,
}

/// A fault of a scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The first engine that starts a role change after the start of the fault crashes one second
    /// into the change and restarts later.
    CrashInChange {
        /// Time from the crash to the restart.
        down_us: u64,
    },
    /// Load reports are delayed.
    ReportsLate {
        /// Age of the load in a report.
        lag_us: u64,
    },
    /// No order can be issued in any zone.
    KeyValueDown,
    /// A zone is partitioned from the platform and from the other zones.
    ZoneCutOff {
        /// Index of the zone.
        zone: usize,
    },
    /// An operator withdraws an engine.
    EngineWithdrawn {
        /// Index of the engine in the first zone.
        engine: usize,
    },
}

/// Load and fault of a run.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Name of the scenario in reports.
    pub name: &'static str,
    /// Phases of mix and load, in order of time.
    pub phases: Vec<Phase>,
    /// Time of the end of the arrivals.
    pub length_us: u64,
    /// Start, end and kind of the fault.
    pub fault: Option<(u64, u64, Fault)>,
    /// Whether all policies run, including fixed splits; otherwise only the planners run.
    pub runs_all_policies: bool,
}

/// Arrivals before this time are excluded from the counts.
pub const WARM_UP_US: u64 = 60 * US_PER_S;

/// Policy that decides on engine roles.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PolicyKind {
    /// The cost planner with this role change weight.
    Cost(f64),
    /// A fixed split.
    Fixed(Split),
    /// The planner that compares queue lengths with thresholds.
    Threshold,
    /// All engines in the mixed role.
    Mixed,
    /// A planner that knows the future mix and load.
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

/// Flipperliga's rules assistant. Rulings have a rule book in the prompt and short answers; tilt
/// summaries of a round have short prompts and long answers.
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
        // Permits one of three or two of six engines to change at the same time.
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

/// Karoo's log readers. Photographed pages are long prompts: a clean page results in a short list;
/// a worn page is read in part and results in a long list of findings.
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
/// The hour of constant load and the permanent shift are compressed to 15 minutes; the swings of a
/// league night keep their period of four minutes per phase.
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
    /// All splits of a zone with at least one prefill and one decode engine, as baselines.
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

    /// The inventory entry of an engine.
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

    /// Mean demand of one request per second in a mix, assuming that shared prefixes are cached.
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

    /// Maximum request rate of one zone in the best reference split for a mix, and that split.
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
            // The result of `capacity_scale` is bounded, so the demand to be scaled is one request
            // per second per engine, a tenth of what an engine carries.
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
