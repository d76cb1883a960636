//! Simulation of a zone of three nodes and two engines under random faults.
//!
//! The nodes run the whole [`Authority`]. The model checks its transitions; the simulation adds
//! clocks, leases, pauses, restarts, outages, and lost, late and duplicated messages. After the
//! faults end, the zone has to carry out orders again.

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

const MILLISECOND_US: u64 = 1_000;
const SECOND_US: u64 = 1_000 * MILLISECOND_US;
const TICK_US: u64 = 200 * MILLISECOND_US;
const ENGINES: [&str; 2] = ["ignores-fence", "checks-fence"];

struct Engine {
    role: Role,
    changing_to: Option<Role>,
    fence: u64,
    last_order_id: String,
    /// Node and end time of each request.
    requests: Vec<(usize, u64)>,
}

struct Node {
    authority: Authority,
    incarnation: u32,
    is_up: bool,
    is_leaving: bool,
    /// Time from which the VM list contains the VM of this incarnation.
    listed_at_us: u64,
    paused_until_us: u64,
    table: Option<RoutingTable>,
}

#[derive(Clone)]
enum Op {
    /// An event reaches one incarnation of a node.
    Event(usize, u32, Box<Event>),
    /// The platform or an engine applies an action of a node.
    Apply(usize, u32, Box<Action>),
    /// A node checks whether it may send an order.
    CheckOrder(usize, u32, Box<Action>),
    /// A node sends an order that passed the check.
    SendOrder(usize, u32, Box<Action>),
    /// An order arrives at its engine. The flag tells whether the sender still waits for the
    /// answer.
    ReceiveOrder(usize, u32, Box<Action>, bool),
    /// A routing table reaches a node.
    ReceiveTable(usize, u32, RoutingTable),
    /// An engine completes its change of role.
    EngineDone(usize),
    /// A node starts again.
    Restart(usize),
}

struct Sim {
    now_us: u64,
    rng: ChaCha8Rng,
    has_faults: bool,
    lease: Option<Stored<LeaseRecord>>,
    record: Option<Stored<ZoneRecord>>,
    /// End of the last outage of the platform.
    down_until_us: u64,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    /// Scheduled operations with their times.
    ops: Vec<(u64, Op)>,
    done_orders: u32,
}

/// Number of incarnation numbers that belong to one VM. The first incarnation on a new VM has the
/// next multiple as its number.
const INCARNATIONS_PER_VM: u32 = 1_000;

fn vm(node: usize, incarnation: u32) -> String {
    format!("vm{node}-{}", incarnation / INCARNATIONS_PER_VM)
}

fn address(node: usize, incarnation: u32) -> String {
    format!("a{node}-{}", incarnation / INCARNATIONS_PER_VM)
}

fn process(node: usize, incarnation: u32) -> ProcessId {
    ProcessId {
        vm: vm(node, incarnation),
        incarnation: format!("n{node}s{incarnation}"),
    }
}

fn start(node: usize, incarnation: u32) -> Authority {
    Authority::new(Identity {
        process: process(node, incarnation),
        address: address(node, incarnation),
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
            incarnation: 0,
            is_up: true,
            is_leaving: false,
            listed_at_us: 0,
            paused_until_us: 0,
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
            now_us: SECOND_US,
            rng: ChaCha8Rng::seed_from_u64(seed),
            has_faults: true,
            lease: None,
            record: None,
            down_until_us: 0,
            nodes: (0..3).map(node).collect(),
            engines: vec![engine(), engine()],
            ops: Vec::new(),
            done_orders: 0,
        }
    }

    /// Returns whether a fault of this probability occurs; none occurs after the faults have ended.
    fn fault(&mut self, probability: f64) -> bool {
        self.has_faults && self.rng.random_bool(probability)
    }

    /// Schedules an operation after a delay of 1 ms plus a random time below `max_extra_us`.
    fn schedule(&mut self, max_extra_us: u64, op: Op) {
        let at = self.now_us + MILLISECOND_US + self.rng.next_u64() % max_extra_us;
        self.ops.push((at, op));
    }

    fn is_running(&self, node: usize, incarnation: u32) -> bool {
        self.nodes[node].is_up && self.nodes[node].incarnation == incarnation
    }

    /// Delivers an event to a node and schedules the resulting actions.
    fn deliver(&mut self, node: usize, event: Event) {
        let actions = self.nodes[node].authority.on_event(event, self.now_us);
        let incarnation = self.nodes[node].incarnation;
        for action in actions {
            match action {
                Action::SendOrder { .. } => {
                    self.schedule(
                        5 * MILLISECOND_US,
                        Op::CheckOrder(node, incarnation, Box::new(action)),
                    );
                }
                Action::Publish(table) => {
                    for to in 0..self.nodes.len() {
                        let to_incarnation = self.nodes[to].incarnation;
                        let is_listed = self.nodes[node]
                            .authority
                            .is_registered(&process(to, to_incarnation));
                        if is_listed {
                            self.schedule(
                                2 * SECOND_US,
                                Op::ReceiveTable(to, to_incarnation, table.clone()),
                            );
                        }
                    }
                }
                Action::EmitDecision(decision) => {
                    self.done_orders += u32::from(decision.choice == "done");
                }
                _ => self.schedule(
                    20 * MILLISECOND_US,
                    Op::Apply(node, incarnation, Box::new(action)),
                ),
            }
        }
    }

    /// Schedules an event for a node, sometimes with a long delay.
    fn reply(&mut self, node: usize, incarnation: u32, event: Event) {
        let max_extra_us = if self.fault(0.05) {
            4 * SECOND_US
        } else {
            10 * MILLISECOND_US
        };
        self.schedule(max_extra_us, Op::Event(node, incarnation, Box::new(event)));
    }

    fn run(&mut self, op: Op) {
        // Operations of a paused process wait until the process resumes.
        if let Op::Event(node, ..)
        | Op::CheckOrder(node, ..)
        | Op::SendOrder(node, ..)
        | Op::ReceiveTable(node, ..) = &op
            && self.nodes[*node].paused_until_us > self.now_us
        {
            let until = self.nodes[*node].paused_until_us;
            self.ops.push((until, op));
            return;
        }
        match op {
            Op::Event(node, incarnation, event) if self.is_running(node, incarnation) => {
                self.deliver(node, *event);
            }
            Op::Apply(node, incarnation, action) => self.apply_action(node, incarnation, *action),
            Op::CheckOrder(node, incarnation, action) if self.is_running(node, incarnation) => {
                let Action::SendOrder { send, .. } = &*action else {
                    return;
                };
                let send = *send;
                if !self.nodes[node].authority.may_send(send, self.now_us) {
                    let reply = OrderReply::NotSent;
                    self.reply(node, incarnation, Event::OrderReply { send, reply });
                    return;
                }
                if self.fault(0.2) {
                    let pause = self.rng.random_range(SECOND_US..25 * SECOND_US);
                    self.nodes[node].paused_until_us = self.now_us + pause;
                }
                self.schedule(5 * MILLISECOND_US, Op::SendOrder(node, incarnation, action));
            }
            Op::SendOrder(node, incarnation, action) if self.is_running(node, incarnation) => {
                let Action::SendOrder { send, .. } = &*action else {
                    return;
                };
                // Every copy arrives within the transit bound of 20 s after it was sent.
                let is_late = self.fault(0.2);
                if is_late {
                    let (send, reply) = (*send, OrderReply::Unknown);
                    self.reply(node, incarnation, Event::OrderReply { send, reply });
                }
                let max_extra_us = if is_late {
                    15 * SECOND_US
                } else {
                    5 * MILLISECOND_US
                };
                let is_doubled = self.fault(0.2);
                if is_doubled {
                    let copy = Op::ReceiveOrder(node, incarnation, action.clone(), false);
                    self.schedule(15 * SECOND_US, copy);
                    let (send, reply) = (*send, OrderReply::Unknown);
                    self.reply(node, incarnation, Event::OrderReply { send, reply });
                }
                self.schedule(
                    max_extra_us,
                    Op::ReceiveOrder(node, incarnation, action, !is_late && !is_doubled),
                );
            }
            Op::ReceiveOrder(node, incarnation, action, is_awaited) => {
                let (send, mut reply) = self.receive_order(&action);
                if is_awaited {
                    if self.fault(0.2) {
                        reply = OrderReply::Unknown;
                    }
                    self.reply(node, incarnation, Event::OrderReply { send, reply });
                }
            }
            Op::ReceiveTable(node, incarnation, table) if self.is_running(node, incarnation) => {
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
                let listed_at_us = self.now_us + self.rng.random_range(SECOND_US..4 * SECOND_US);
                let node_state = &mut self.nodes[node];
                node_state.incarnation += 1;
                if is_new_vm {
                    node_state.incarnation =
                        node_state.incarnation.next_multiple_of(INCARNATIONS_PER_VM);
                    node_state.listed_at_us = listed_at_us;
                }
                node_state.is_up = true;
                node_state.is_leaving = false;
                node_state.paused_until_us = 0;
                node_state.authority = start(node, node_state.incarnation);
            }
            _ => {}
        }
    }

    fn tick(&mut self) {
        let listed = |(i, node): (usize, &Node)| {
            let before = node.incarnation.saturating_sub(INCARNATIONS_PER_VM);
            let incarnation = if self.now_us < node.listed_at_us {
                before
            } else {
                node.incarnation
            };
            (vm(i, incarnation).into(), false)
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
        let now_us = self.now_us;
        for engine in &mut self.engines {
            engine.requests.retain(|(_, end_us)| *end_us > now_us);
        }
        for i in 0..3 {
            if !self.nodes[i].is_up || self.nodes[i].paused_until_us > self.now_us {
                continue;
            }
            self.deliver(i, Event::Vms(vms.clone()));
            self.deliver(i, Event::Engines(specs.clone()));
            self.deliver(i, Event::Tick);
            self.route(i);
            self.heartbeat(i);
            self.observe_engines(i);
            if self.fault(0.004) {
                self.nodes[i].paused_until_us =
                    self.now_us + self.rng.random_range(SECOND_US..15 * SECOND_US);
            }
            if self.fault(0.001) {
                self.nodes[i].is_leaving = true;
                self.deliver(i, Event::Leaving);
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
                self.schedule(4 * SECOND_US, Op::Restart(i));
            }
        }
        if self.fault(0.003) {
            self.down_until_us = self.now_us + self.rng.random_range(SECOND_US..10 * SECOND_US);
        }
    }

    /// Sends a node's state to the holders and registers the node with them.
    fn heartbeat(&mut self, i: usize) {
        let (me, incarnation) = (
            process(i, self.nodes[i].incarnation),
            self.nodes[i].incarnation,
        );
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
            let to_incarnation = self.nodes[to].incarnation;
            if let Some(table) = &table {
                let (process, table) = (me.clone(), table.version);
                let in_flight = in_flight.clone();
                self.reply(
                    to,
                    to_incarnation,
                    Event::RouterReport {
                        process,
                        table,
                        in_flight,
                    },
                );
            }
            let holder = &self.nodes[to].authority;
            if !holder.is_registered(&me) {
                let (process, address) = (me.clone(), address(i, incarnation));
                self.reply(to, to_incarnation, Event::Register { process, address });
            } else if let Some(table) = holder.table().cloned() {
                // The answer to a heartbeat contains the current table.
                self.schedule(SECOND_US, Op::ReceiveTable(i, incarnation, table));
            }
        }
    }

    /// Lets a holder poll the engines and requests a role change at random.
    fn observe_engines(&mut self, i: usize) {
        if let HolderState::Holder(_) = self.nodes[i].authority.state() {
            for (e, name) in ENGINES.iter().enumerate() {
                let event = Event::LoadReport {
                    engine: (*name).into(),
                    sampled_at_us: self.now_us,
                    is_idle: self.engines[e].requests.is_empty(),
                    role: self.engines[e].role,
                };
                self.reply(i, self.nodes[i].incarnation, event);
                if self.rng.random_bool(0.02) {
                    let role = match self.engines[e].role {
                        Role::Prefill => Role::Decode,
                        _ => Role::Prefill,
                    };
                    let (engine, change) = ((*name).into(), Change::Role(role));
                    self.deliver(i, Event::ChangeRequested { engine, change });
                }
            }
        }
    }

    /// Routes a request by the node's table. The simulation counts the request in the same step.
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
                let end = self.now_us + self.rng.random_range(SECOND_US / 2..2 * SECOND_US);
                self.engines[engine].requests.push((node, end));
            }
        }
    }

    fn run_for(&mut self, duration_us: u64) {
        let end = self.now_us + duration_us;
        while self.now_us < end {
            let next_tick = self.now_us + TICK_US;
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
                self.now_us = at.max(self.now_us);
                self.run(op);
            }
            self.now_us = next_tick;
            self.tick();
        }
    }
}

/// Guards against orders that conflict, are stale or interrupt requests under random faults. Also
/// guards against a zone that carries out no orders after the faults have ended.
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
            sim.run_for(180 * SECOND_US);
            sim.has_faults = false;
            // A pause and the transit bound may still be running.
            sim.run_for(60 * SECOND_US);
            let before = sim.done_orders;
            sim.run_for(60 * SECOND_US);
            prop_assert!(
                sim.done_orders > before,
                "no order is carried out after the faults"
            );
            let holders = sim.nodes.iter().filter(|node| {
                node.is_up && matches!(node.authority.state(), HolderState::Holder(_))
            });
            prop_assert_eq!(holders.count(), 1);
            Ok(())
        })
        .expect("the guarantees hold for every seed");
}
