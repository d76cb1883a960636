//! The quantities that grow with the size of a deployment.

use std::fmt::Write as _;
use std::hint::black_box;
use std::sync::Arc;

use prost::Message;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tealsaddle_core::admission::{Admission, AdmissionConfig, AdmissionRequest, Estimate, Targets};
use tealsaddle_core::decision::{Alternative, Decision, DecisionKind, DecisionRing};
use tealsaddle_core::inventory::{Inventory, Role};
use tealsaddle_core::load::{CorrectedLoad, EngineLoad, LoadReport};
use tealsaddle_core::name::Name;
use tealsaddle_core::planner::{
    CostConfig, CostPlanner, Demand, EngineView, Limits, Planner, PoolView,
};
use tealsaddle_core::prefix::PrefixCacheEstimate;
use tealsaddle_core::route::{Candidate, MeanRequest, RequestFacts, RouteTable, Router};
use tealsaddle_schema::peer::{
    EngineReport, HeartbeatRequest, PeerInfo, RoutingTable, TableEntry, TableVersion,
};

use super::authority::{SimulatedHolder, address, engine_name, process};
use super::sample::{Quantity, heap_bytes, time_us};

/// Engines of a zone at the design size: 1,900 in 11 zones.
const ZONE_ENGINES: usize = 173;
/// Nodes of a zone at the design size: 360 in 11 zones.
const ZONE_NODES: usize = 33;
/// Engines of one model in one zone at the design size: 1,900 in 11 zones with 17 models.
const POOL_ENGINES: usize = 10;
const ENGINES: usize = 1_900;
const NODES: usize = 360;
const CUSTOMERS: usize = 220;
/// Number of decisions that a node keeps for `explain`.
const DECISIONS_KEPT: usize = 8_192;

const ENGINE_SIZES: [usize; 4] = [16, 64, 173, 512];
const POOL_SIZES: [usize; 4] = [5, 10, 20, 40];
const TARGETS: Targets = Targets {
    first_token_us: 490_000,
    between_tokens_us: 37_000,
};

/// Measures all quantities at their sizes.
pub fn measure() -> Vec<Quantity> {
    vec![
        route(),
        admission_time(),
        admission_state(),
        record_bytes(),
        record_time(),
        tick_time(),
        table_bytes(),
        report_bytes(),
        report_time(),
        peer_bytes(),
        load_state(),
        prefix_state(),
        decision_state(),
        config_bytes(),
        config_time(),
        config_state(),
        planner_time(),
    ]
}

fn inventory_yaml(engines: usize) -> String {
    let mut yaml = String::from("zones: [{name: zone-a, region: r}]\nmodels: [{name: rules}]\n");
    yaml.push_str("engines:\n");
    for i in 0..engines {
        let name = engine_name(i);
        let port = 1_024 + i;
        writeln!(
            yaml,
            "  - {{name: {name}, zone: zone-a, vm: vm-{i}, address: \"10.1.0.1:{port}\", \
             models: [rules], role: mixed, checks_fence: true, prefill_tokens_per_s: 8000, \
             decode_tokens_per_s: 600, batch_requests: 16, kv_capacity_tokens: 60000}}"
        )
        .expect("writing to a string cannot fail");
    }
    yaml
}

fn inventory(engines: usize) -> Inventory {
    Inventory::from_yaml(&inventory_yaml(engines), 1).expect("a valid inventory")
}

fn candidates(engines: usize) -> Vec<Candidate> {
    let inventory = inventory(engines);
    let mut engines: Vec<_> = inventory.engines.values().cloned().collect();
    engines.sort_by(|a, b| a.name.cmp(&b.name));
    let roles = [Role::Prefill, Role::Decode, Role::Decode];
    engines
        .into_iter()
        .enumerate()
        .map(|(i, engine)| Candidate {
            engine,
            role: roles[i % roles.len()],
            load: CorrectedLoad {
                running: (i % 7) as u32,
                ..CorrectedLoad::default()
            },
            cached_tokens: 0,
        })
        .collect()
}

fn route() -> Quantity {
    let name = (
        "route: choice for one request",
        "engine of the model in the zone",
        "us",
    );
    Quantity::measure(name, POOL_ENGINES, &POOL_SIZES, |size| {
        let candidates = candidates(size);
        let table = RouteTable {
            candidates: &candidates,
            other_zones: &[],
            targets: TARGETS,
            mean_request: MeanRequest {
                read_tokens: 2_000.0,
                output_tokens: 300.0,
            },
        };
        let request = RequestFacts {
            model: Name::from("rules"),
            prompt_tokens: 2_000,
            max_output_tokens: 300,
            priority: 0,
            prefix_hash: 0,
            first_token_due_us: 1_490_000,
        };
        let router = Router::default();
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        time_us(2_000, || {
            black_box(router.choose(&table, &request, 1_000_000, &mut rng));
        })
    })
}

fn admit_all(admission: &mut Admission, customers: &[Name], now_us: u64) {
    for customer in customers {
        let request = AdmissionRequest {
            customer: Name::clone(customer),
            priority: 0,
            share: 1.0,
            requests_per_s: Some(50.0),
            targets: TARGETS,
        };
        let estimate = Estimate {
            engine_us: 20_000,
            first_token_us: Some(100_000),
            between_tokens_us: 20_000,
            waiting: 0,
            is_draining: false,
        };
        // Refusals and admissions are measured alike.
        let _outcome = black_box(admission.admit(&request, &estimate, now_us));
    }
}

fn customers(size: usize) -> Vec<Name> {
    (0..size)
        .map(|i| Name::from(format!("customer-{i}")))
        .collect()
}

fn admission_time() -> Quantity {
    let name = ("admission: one request", "customer", "us");
    Quantity::measure(name, CUSTOMERS, &[22, 220, 2_200], |size| {
        let customers = customers(size);
        let mut admission = Admission::new(AdmissionConfig::default());
        let mut now_us = 0;
        // A node receives 8.6 requests per second, so the fair-share level is recomputed for about
        // every second request.
        let per_request_us = 116_000;
        time_us(20, || {
            now_us += per_request_us * size as u64;
            admit_all(&mut admission, &customers, now_us);
        }) / size as f64
    })
}

fn admission_state() -> Quantity {
    let name = ("admission: state", "customer", "bytes");
    Quantity::measure(name, CUSTOMERS, &[22, 220, 2_200], |size| {
        let customers = customers(size);
        heap_bytes(|| {
            let mut admission = Admission::new(AdmissionConfig::default());
            admit_all(&mut admission, &customers, 0);
            admission
        })
    })
}

fn record_bytes() -> Quantity {
    let name = ("zone record: stored", "engine of the zone", "bytes");
    Quantity::measure(name, ZONE_ENGINES, &ENGINE_SIZES, |size| {
        let holder = SimulatedHolder::open(size, ZONE_NODES);
        serde_json::to_vec(holder.record())
            .expect("a record is JSON")
            .len() as f64
    })
}

fn record_time() -> Quantity {
    let name = ("zone record: encode and decode", "engine of the zone", "us");
    Quantity::measure(name, ZONE_ENGINES, &ENGINE_SIZES, |size| {
        let holder = SimulatedHolder::open(size, ZONE_NODES);
        time_us(50, || {
            let bytes = serde_json::to_vec(holder.record()).expect("a record is JSON");
            let record: tealsaddle_schema::record::ZoneRecord =
                serde_json::from_slice(&bytes).expect("a record");
            black_box(record);
        })
    })
}

fn tick_time() -> Quantity {
    let name = ("order holder: one tick", "engine of the zone", "us");
    Quantity::measure(name, ZONE_ENGINES, &ENGINE_SIZES, |size| {
        let mut holder = SimulatedHolder::open(size, ZONE_NODES);
        time_us(200, || holder.tick())
    })
}

fn table_bytes() -> Quantity {
    let name = ("routing table: message", "engine of the zone", "bytes");
    Quantity::measure(name, ZONE_ENGINES, &ENGINE_SIZES, |size| {
        let entries = (0..size).map(|i| TableEntry {
            engine: engine_name(i).to_string(),
            role: "decode".to_owned(),
        });
        let table = RoutingTable {
            version: Some(TableVersion {
                epoch: 40,
                sequence: 300,
            }),
            zone: "zone-a".to_owned(),
            entries: entries.collect(),
        };
        table.encoded_len() as f64
    })
}

fn heartbeat(reports: usize) -> HeartbeatRequest {
    let reports = (0..reports).map(|i| EngineReport {
        engine: engine_name(i).to_string(),
        sampled_at_ms: 86_400_000,
        now_ms: 86_400_250,
        role: "decode".to_owned(),
        changing_to: String::new(),
        running: 14,
        waiting: 3,
        queued_prefill_tokens: 12_000,
        kv_used_tokens: 50_000,
        age_ms: 700,
    });
    HeartbeatRequest {
        process: Some(process(1)),
        zone: "zone-a".to_owned(),
        peer_address: address(1),
        caller_address: address(1),
        config_version: 9_000,
        reports: reports.collect(),
        ..HeartbeatRequest::default()
    }
}

fn report_bytes() -> Quantity {
    let name = ("heartbeat: message", "load report carried", "bytes");
    Quantity::measure(name, ZONE_ENGINES, &ENGINE_SIZES, |size| {
        heartbeat(size).encoded_len() as f64
    })
}

fn report_time() -> Quantity {
    let name = ("heartbeat: encode and decode", "load report carried", "us");
    Quantity::measure(name, ZONE_ENGINES, &ENGINE_SIZES, |size| {
        let heartbeat = heartbeat(size);
        time_us(200, || {
            let bytes = heartbeat.encode_to_vec();
            black_box(HeartbeatRequest::decode(&*bytes).expect("a heartbeat"));
        })
    })
}

fn peer_bytes() -> Quantity {
    let name = ("membership: list of peers", "node", "bytes");
    Quantity::measure(name, NODES, &[7, 33, 120, 360], |size| {
        let peers = (0..size).map(|i| PeerInfo {
            process: Some(process(i)),
            zone: "zone-a".to_owned(),
            peer_address: address(i),
            caller_address: address(i),
            registered: true,
            ..PeerInfo::default()
        });
        peers.map(|peer| peer.encoded_len() as f64 + 3.0).sum()
    })
}

fn load_state() -> Quantity {
    let name = ("corrected loads: state", "engine of the zone", "bytes");
    Quantity::measure(name, ZONE_ENGINES, &ENGINE_SIZES, |size| {
        heap_bytes(|| {
            let loads = (0..size).map(|_| {
                let mut load = EngineLoad::default();
                load.on_report(LoadReport {
                    sampled_at_us: 1,
                    role: Role::Decode,
                    is_changing: false,
                    running: 14,
                    waiting: 3,
                    queued_prefill_tokens: 12_000,
                    kv_used_tokens: 50_000,
                });
                load
            });
            loads.collect::<Vec<_>>()
        })
    })
}

fn prefix_state() -> Quantity {
    let name = ("prefix knowledge: state", "engine of the zone", "bytes");
    Quantity::measure(name, ZONE_ENGINES, &[16, 64, 173], |size| {
        heap_bytes(|| {
            let mut estimate = PrefixCacheEstimate::default();
            for i in 0..size as u64 {
                // Fills the cache of each engine.
                let blocks: Vec<u64> = (0..1_000).map(|block| i * 1_000 + block).collect();
                estimate.on_read(&engine_name(i as usize), 60_000, &blocks);
            }
            estimate
        })
    })
}

fn decision_state() -> Quantity {
    let name = ("decision ring: state", "decision kept", "bytes");
    Quantity::measure(name, DECISIONS_KEPT, &[512, 2_048, 8_192], |size| {
        let alternatives = (0..5).map(|i| Alternative {
            name: format!("rules-runner-{i:04} -> rules-runner-{i:04}"),
            score: 120.0,
            reason: "split, on time, 24 ms between tokens, 0 tokens cached".to_owned(),
        });
        let decision = Decision {
            at_us: 0,
            kind: DecisionKind::Route,
            subject: process(0).incarnation,
            choice: "rules-runner-0001 -> rules-runner-0002".to_owned(),
            reason: "KV cache moves: earliest first token of two drawn".to_owned(),
            inputs: vec![("model".to_owned(), "rules".to_owned())],
            alternatives: alternatives.collect(),
        };
        heap_bytes(|| {
            let mut ring = DecisionRing::with_capacity(size);
            (0..size).for_each(|_| ring.push(decision.clone()));
            ring
        })
    })
}

fn config_bytes() -> Quantity {
    let name = ("configuration: stored", "engine", "bytes");
    Quantity::measure(name, ENGINES, &[190, 570, 1_900], |size| {
        inventory_yaml(size).len() as f64
    })
}

fn config_time() -> Quantity {
    let name = ("configuration: read and check", "engine", "us");
    Quantity::measure(name, ENGINES, &[190, 570, 1_900], |size| {
        let yaml = inventory_yaml(size);
        time_us(2, || {
            black_box(Inventory::from_yaml(&yaml, 1).expect("a valid inventory"));
        })
    })
}

fn config_state() -> Quantity {
    let name = ("configuration: state", "engine", "bytes");
    Quantity::measure(name, ENGINES, &[190, 570, 1_900], |size| {
        let yaml = inventory_yaml(size);
        heap_bytes(|| Inventory::from_yaml(&yaml, 1).expect("a valid inventory"))
    })
}

fn planner_time() -> Quantity {
    let name = ("planner: one round", "engine of the pool", "us");
    Quantity::measure(name, POOL_ENGINES, &POOL_SIZES, |size| {
        let engines = candidates(size).into_iter().map(|candidate| EngineView {
            engine: Arc::clone(&candidate.engine),
            role: candidate.role,
            moving_to: None,
            role_since_us: None,
            is_available: true,
            load: candidate.load,
        });
        let view = PoolView {
            engines: engines.collect(),
            demand: Demand {
                requests_per_s: 2.0 * size as f64,
                prefill_tokens_per_s: 2_000.0 * size as f64,
                output_tokens_per_s: 300.0 * size as f64,
            },
            targets: TARGETS,
            can_order: true,
        };
        let limits = Limits {
            role_floor: 1,
            max_moving_share: 0.25,
            min_dwell_us: 60_000_000,
        };
        let mut planner = CostPlanner::new(limits, CostConfig::default());
        let mut now_us = 0;
        time_us(20, || {
            now_us += 1_000_000;
            black_box(planner.plan(&view, now_us));
        })
    })
}
