//! A zone of three nodes and two engines under random faults, driven by the whole [`Authority`].
//!
//! The model checks the transitions; this drives the state machine around them with clocks, leases,
//! pauses, restarts, outages, and lost, late and doubled messages. After the faults end, the zone has
//! to come back to work.

mod platform;

use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tealsaddle_core::authority::{
    Action, Authority, Change, EngineSpec, Event, HolderState, Identity, OrderReply, Stored,
};
use tealsaddle_core::collections::HashMap;
use tealsaddle_core::drain::RoutingTable;
use tealsaddle_core::inventory::Role;
use tealsaddle_core::name::Name;
use tealsaddle_schema::record::{LeaseRecord, Order, ProcessId, ZoneRecord};

const MS: u64 = 1_000;
const SECOND: u64 = 1_000 * MS;
const TICK: u64 = 200 * MS;
const ENGINES: [&str; 2] = ["ignores-fence", "checks-fence"];

struct Engine {
    role: Role,
    changing_to: Option<Role>,
    fence: u64,
    last_order_id: String,
    /// Node and end of each request.
    requests: Vec<(usize, u64)>,
}

struct Node {
    authority: Authority,
    starts: u32,
    is_up: bool,
    is_leaving: bool,
    /// When the VM list changes over to the VM of this start.
    listed_at: u64,
    paused_until: u64,
    table: Option<RoutingTable>,
}

#[derive(Clone)]
enum Op {
    /// An event for one start of a node.
    Event(usize, u32, Box<Event>),
    /// The platform applies an action of a node.
    Platform(usize, u32, Box<Action>),
    /// An order is before its check, before its send, or on its way.
    Check(usize, u32, Box<Action>),
    Leave(usize, u32, Box<Action>),
    /// With whether the sender still waits for the answer.
    Arrive(usize, u32, Box<Action>, bool),
    Table(usize, u32, RoutingTable),
    EngineDone(usize),
    Restart(usize),
}

struct Sim {
    now: u64,
    rng: ChaCha8Rng,
    has_faults: bool,
    lease: Option<Stored<LeaseRecord>>,
    record: Option<Stored<ZoneRecord>>,
    down_until: u64,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    ops: Vec<(u64, Op)>,
    done_orders: u32,
}

/// A start on a new VM has the next multiple of this as its number.
const STARTS_PER_VM: u32 = 1_000;

fn vm(node: usize, starts: u32) -> String {
    format!("vm{node}-{}", starts / STARTS_PER_VM)
}

fn address(node: usize, starts: u32) -> String {
    format!("a{node}-{}", starts / STARTS_PER_VM)
}

fn process(node: usize, starts: u32) -> ProcessId {
    ProcessId {
        vm: vm(node, starts),
        incarnation: format!("n{node}s{starts}"),
    }
}

fn start(node: usize, starts: u32) -> Authority {
    Authority::new(Identity {
        process: process(node, starts),
        address: address(node, starts),
        zone: "z".into(),
    })
}

fn index(engine: &str) -> usize {
    usize::from(engine == ENGINES[1])
}

impl Sim {
    fn new(seed: u64) -> Self {
        let node = |i| Node {
            authority: start(i, 0),
            starts: 0,
            is_up: true,
            is_leaving: false,
            listed_at: 0,
            paused_until: 0,
            table: None,
        };
        let engine = || Engine {
            role: Role::Prefill,
            changing_to: None,
            fence: 0,
            last_order_id: String::new(),
            requests: Vec::new(),
        };
        Self {
            now: SECOND,
            rng: ChaCha8Rng::seed_from_u64(seed),
            has_faults: true,
            lease: None,
            record: None,
            down_until: 0,
            nodes: (0..3).map(node).collect(),
            engines: vec![engine(), engine()],
            ops: Vec::new(),
            done_orders: 0,
        }
    }

    /// Whether something of this probability happens; never after the faults have ended.
    fn fault(&mut self, probability: f64) -> bool {
        self.has_faults && self.rng.random_bool(probability)
    }

    fn after(&mut self, most: u64, op: Op) {
        let at = self.now + MS + self.rng.next_u64() % most;
        self.ops.push((at, op));
    }

    fn is_running(&self, node: usize, starts: u32) -> bool {
        self.nodes[node].is_up && self.nodes[node].starts == starts
    }

    fn give(&mut self, node: usize, event: Event) {
        let actions = self.nodes[node].authority.on_event(event, self.now);
        let starts = self.nodes[node].starts;
        for action in actions {
            match action {
                Action::SendOrder { .. } => {
                    self.after(5 * MS, Op::Check(node, starts, Box::new(action)));
                }
                Action::Publish(table) => {
                    for to in 0..self.nodes.len() {
                        let to_starts = self.nodes[to].starts;
                        let is_listed = self.nodes[node]
                            .authority
                            .is_registered(&process(to, to_starts));
                        if is_listed {
                            self.after(2 * SECOND, Op::Table(to, to_starts, table.clone()));
                        }
                    }
                }
                Action::EmitDecision(decision) => {
                    self.done_orders += u32::from(decision.choice == "done");
                }
                _ => self.after(20 * MS, Op::Platform(node, starts, Box::new(action))),
            }
        }
    }

    fn reply(&mut self, node: usize, starts: u32, event: Event) {
        let most = if self.fault(0.05) {
            4 * SECOND
        } else {
            10 * MS
        };
        self.after(most, Op::Event(node, starts, Box::new(event)));
    }

    fn run(&mut self, op: Op) {
        // What a paused process has to do waits until it goes on.
        if let Op::Event(node, ..) | Op::Check(node, ..) | Op::Leave(node, ..) | Op::Table(node, ..) =
            &op
            && self.nodes[*node].paused_until > self.now
        {
            let until = self.nodes[*node].paused_until;
            self.ops.push((until, op));
            return;
        }
        match op {
            Op::Event(node, starts, event) if self.is_running(node, starts) => {
                self.give(node, *event);
            }
            Op::Platform(node, starts, action) => self.platform(node, starts, *action),
            Op::Check(node, starts, action) if self.is_running(node, starts) => {
                let Action::SendOrder { send, .. } = &*action else {
                    return;
                };
                let send = *send;
                if !self.nodes[node].authority.may_send(send, self.now) {
                    let reply = OrderReply::NotSent;
                    self.reply(node, starts, Event::OrderReply { send, reply });
                    return;
                }
                if self.fault(0.2) {
                    let pause = self.rng.random_range(SECOND..25 * SECOND);
                    self.nodes[node].paused_until = self.now + pause;
                }
                self.after(5 * MS, Op::Leave(node, starts, action));
            }
            Op::Leave(node, starts, action) if self.is_running(node, starts) => {
                let Action::SendOrder { send, .. } = &*action else {
                    return;
                };
                // Every copy arrives within the transit bound of 20 s after it has left.
                let is_late = self.fault(0.2);
                if is_late {
                    let (send, reply) = (*send, OrderReply::Unknown);
                    self.reply(node, starts, Event::OrderReply { send, reply });
                }
                let most = if is_late { 15 * SECOND } else { 5 * MS };
                let is_doubled = self.fault(0.2);
                if is_doubled {
                    let copy = Op::Arrive(node, starts, action.clone(), false);
                    self.after(15 * SECOND, copy);
                    let (send, reply) = (*send, OrderReply::Unknown);
                    self.reply(node, starts, Event::OrderReply { send, reply });
                }
                self.after(
                    most,
                    Op::Arrive(node, starts, action, !is_late && !is_doubled),
                );
            }
            Op::Arrive(node, starts, action, is_awaited) => {
                let (send, mut reply) = self.arrive(&action);
                if is_awaited {
                    if self.fault(0.2) {
                        reply = OrderReply::Unknown;
                    }
                    self.reply(node, starts, Event::OrderReply { send, reply });
                }
            }
            Op::Table(node, starts, table) if self.is_running(node, starts) => {
                let mine = &mut self.nodes[node].table;
                if mine.as_ref().is_none_or(|mine| mine.is_replaced_by(&table)) {
                    *mine = Some(table);
                }
            }
            Op::EngineDone(i) => {
                let crashes = self.fault(0.2);
                let engine = &mut self.engines[i];
                if let Some(role) = engine.changing_to.take()
                    && !crashes
                {
                    engine.role = role;
                }
            }
            Op::Restart(node) => {
                let is_new_vm = self.rng.random_bool(0.3);
                let listed_at = self.now + self.rng.random_range(SECOND..4 * SECOND);
                let node_state = &mut self.nodes[node];
                node_state.starts += 1;
                if is_new_vm {
                    node_state.starts = node_state.starts.next_multiple_of(STARTS_PER_VM);
                    node_state.listed_at = listed_at;
                }
                node_state.is_up = true;
                node_state.is_leaving = false;
                node_state.paused_until = 0;
                node_state.authority = start(node, node_state.starts);
            }
            _ => {}
        }
    }

    fn tick(&mut self) {
        let listed = |(i, node): (usize, &Node)| {
            let before = node.starts.saturating_sub(STARTS_PER_VM);
            let starts = if self.now < node.listed_at {
                before
            } else {
                node.starts
            };
            (vm(i, starts).into(), false)
        };
        let vms: Vec<(Name, bool)> = self.nodes.iter().enumerate().map(listed).collect();
        let specs: Vec<EngineSpec> = (0..2)
            .map(|i| EngineSpec {
                name: ENGINES[i].into(),
                initial_role: Role::Prefill,
                checks_fence: i == 1,
                is_withdrawn: false,
            })
            .collect();
        let now = self.now;
        for engine in &mut self.engines {
            engine.requests.retain(|(_, end)| *end > now);
        }
        for i in 0..3 {
            if !self.nodes[i].is_up || self.nodes[i].paused_until > self.now {
                continue;
            }
            self.give(i, Event::Vms(vms.clone()));
            self.give(i, Event::Engines(specs.clone()));
            self.give(i, Event::Tick);
            self.route(i);
            self.heartbeat(i);
            self.observe_engines(i);
            if self.fault(0.004) {
                self.nodes[i].paused_until = self.now + self.rng.random_range(SECOND..15 * SECOND);
            }
            if self.fault(0.001) {
                self.nodes[i].is_leaving = true;
                self.give(i, Event::Leaving);
            }
            let has_requests = self
                .engines
                .iter()
                .any(|e| e.requests.iter().any(|r| r.0 == i));
            let node = &self.nodes[i];
            let exits = node.is_leaving && node.authority.may_exit() && !has_requests;
            if exits || self.fault(0.002) {
                let node = &mut self.nodes[i];
                node.is_up = false;
                node.table = None;
                for engine in &mut self.engines {
                    engine.requests.retain(|(node, _)| *node != i);
                }
                self.after(4 * SECOND, Op::Restart(i));
            }
        }
        if self.fault(0.003) {
            self.down_until = self.now + self.rng.random_range(SECOND..10 * SECOND);
        }
    }

    /// A node tells the holders of its state, and registers.
    fn heartbeat(&mut self, i: usize) {
        let (me, starts) = (process(i, self.nodes[i].starts), self.nodes[i].starts);
        let table = self.nodes[i].table.clone();
        let in_flight = ENGINES.iter().enumerate().map(|(e, name)| {
            let mine = self.engines[e]
                .requests
                .iter()
                .filter(|(node, _)| *node == i);
            (Name::from(*name), mine.count() as u32)
        });
        let in_flight: HashMap<Name, u32> = in_flight.collect();
        for to in 0..3 {
            let HolderState::Holder(_) = self.nodes[to].authority.state() else {
                continue;
            };
            let to_starts = self.nodes[to].starts;
            if let Some(table) = &table {
                let (process, table) = (me.clone(), table.version);
                let in_flight = in_flight.clone();
                self.reply(
                    to,
                    to_starts,
                    Event::RouterReport {
                        process,
                        table,
                        in_flight,
                    },
                );
            }
            let holder = &self.nodes[to].authority;
            if !holder.is_registered(&me) {
                let (process, address) = (me.clone(), address(i, starts));
                self.reply(to, to_starts, Event::Register { process, address });
            } else if let Some(table) = holder.table().cloned() {
                // A heartbeat's answer brings the table in force.
                self.after(SECOND, Op::Table(i, starts, table));
            }
        }
    }

    /// A holder polls the engines, and its planner wants a change now and then.
    fn observe_engines(&mut self, i: usize) {
        if let HolderState::Holder(_) = self.nodes[i].authority.state() {
            for (e, name) in ENGINES.iter().enumerate() {
                let event = Event::LoadReport {
                    engine: (*name).into(),
                    sampled_at_us: self.now,
                    is_idle: self.engines[e].requests.is_empty(),
                    role: self.engines[e].role,
                };
                self.reply(i, self.nodes[i].starts, event);
                if self.rng.random_bool(0.02) {
                    let role = match self.engines[e].role {
                        Role::Prefill => Role::Decode,
                        _ => Role::Prefill,
                    };
                    let (engine, change) = ((*name).into(), Change::Role(role));
                    self.give(i, Event::ChangeRequested { engine, change });
                }
            }
        }
    }

    /// A node routes a request on its table; counting and looking happen at once here.
    fn route(&mut self, node: usize) {
        let Some(table) = &self.nodes[node].table else {
            return;
        };
        if self.nodes[node].is_leaving {
            return;
        }
        let open: Vec<usize> = table.open.iter().map(|(engine, _)| index(engine)).collect();
        for engine in open {
            if self.engines[engine].changing_to.is_none() && self.rng.random_bool(0.1) {
                let end = self.now + self.rng.random_range(SECOND / 2..2 * SECOND);
                self.engines[engine].requests.push((node, end));
            }
        }
    }

    fn run_for(&mut self, time: u64) {
        let end = self.now + time;
        while self.now < end {
            let next_tick = self.now + TICK;
            loop {
                let due = self
                    .ops
                    .iter()
                    .enumerate()
                    .filter(|(_, (at, _))| *at < next_tick);
                let Some(i) = due.min_by_key(|(_, (at, _))| *at).map(|(i, _)| i) else {
                    break;
                };
                let (at, op) = self.ops.swap_remove(i);
                self.now = at.max(self.now);
                self.run(op);
            }
            self.now = next_tick;
            self.tick();
        }
    }
}

/// Guards against orders that conflict, that are stale or that cut requests under random faults, and
/// against a zone that never again carries out an order afterwards.
#[test]
fn zone_keeps_its_guarantees_under_faults() {
    let config = ProptestConfig {
        cases: 40,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(config, rng)
        .run(&any::<u64>(), |seed| {
            let mut sim = Sim::new(seed);
            sim.run_for(180 * SECOND);
            sim.has_faults = false;
            // A pause and the transit bound may still have to pass.
            sim.run_for(60 * SECOND);
            let before = sim.done_orders;
            sim.run_for(60 * SECOND);
            prop_assert!(sim.done_orders > before, "no order is carried out any more");
            let holders = sim.nodes.iter().filter(|node| {
                node.is_up && matches!(node.authority.state(), HolderState::Holder(_))
            });
            prop_assert_eq!(holders.count(), 1);
            Ok(())
        })
        .expect("the guarantees hold for every seed");
}
