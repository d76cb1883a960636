//! Zone records by number, and the real transitions between them.
//!
//! A state of the model holds the number of a record, so that states are small. Each transition is
//! carried out by the package's code once per record and operation and remembered.

use std::cell::RefCell;

use tealsaddle_core::authority::{Change, EngineState, Phase, order, release, routers, takeover};
use tealsaddle_core::collections::HashMap;
use tealsaddle_core::drain::{Drain, TableVersion};
use tealsaddle_core::inventory::Role;
use tealsaddle_schema::record::{EngineEntry, ProcessId, RouterEntry, ZoneRecord};

/// Number of a record.
pub type Rec = u16;
/// Number of a process; each start of a node has its own.
pub type Pid = u8;
/// Epoch and sequence of a table.
pub type TableId = (u8, u8);

/// Names of the engines.
pub const ENGINES: [&str; 2] = ["e1", "e2"];

/// Progress of a drain, small enough to be part of every state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct DrainState {
    pub order: u8,
    /// First table without the engine.
    pub since: TableId,
    /// Time of each router's first report of zero; 0 without one.
    pub clear: [u8; 3],
    /// Time of the newest idle sample; 0 without one.
    pub idle: u8,
    /// Routers that were listed when the drain began.
    pub listed_at_first: [bool; 3],
    /// Routers in the record that the holder knows.
    pub listed: [bool; 3],
    /// Time of the last removal of a router that had not reported; 0 without one.
    pub removed: u8,
}

impl DrainState {
    /// The package's drain with the same progress.
    pub fn build(&self) -> Drain {
        let since = version(self.since);
        let mut drain = Drain::new(format!("o{}", self.order), since);
        for (router, at) in (0..).zip(self.clear).filter(|(_, at)| *at > 0) {
            drain.on_router_report(&process(router), since, 0, u64::from(at));
        }
        if self.removed > 0 {
            // Process 9 stands for whichever router was removed.
            drain.on_record(&routers_only([9]), 0);
            drain.on_record(&ZoneRecord::default(), self.removed.into());
        }
        drain.on_record(
            &routers_only((0..3).filter(|p| self.listed[usize::from(*p)])),
            0,
        );
        if self.idle > 0 {
            drain.on_load_report(u64::from(self.idle), true);
        }
        drain
    }

    /// Takes a record that the holder has learnt.
    pub fn learn(&mut self, listed: [bool; 3]) {
        let is_removed = |p: usize| self.listed[p] && !listed[p] && self.clear[p] == 0;
        if (0..3).any(is_removed) {
            self.removed = self.now() + 1;
        }
        self.listed = listed;
    }

    /// Takes a report of zero from each router, and an idle sample after them.
    pub fn report_all(&mut self, listed: [bool; 3]) {
        let now = self.now() + 2;
        self.clear = listed.map(|is_listed| if is_listed { now } else { 0 });
        self.idle = now + 1;
    }

    /// Time of the last report or removal; the holder's clock goes on by two with each of them.
    pub fn now(&self) -> u8 {
        self.clear
            .into_iter()
            .fold(self.removed, u8::max)
            .next_multiple_of(2)
    }
}

/// An operation on the record.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Op {
    TakeOver {
        me: Pid,
        keeps_issuing: bool,
    },
    Intend {
        engine: usize,
        role: &'static str,
        heeds_unreleased: bool,
    },
    Cancel {
        engine: usize,
    },
    /// Routers other than `asked` are hidden from the proof, which only a mutant does.
    Issue {
        me: Pid,
        engine: usize,
        drain: DrainState,
        asked: Option<[bool; 3]>,
    },
    /// The own entry in the unreleased list is left out only by a mutant.
    Complete {
        me: Pid,
        engine: usize,
        is_fence_raised: bool,
        lists_me: bool,
    },
    Release {
        me: Pid,
        pending: [bool; 2],
    },
    Forget {
        gone: Pid,
    },
    Register {
        router: Pid,
    },
    RemoveRouter {
        router: Pid,
    },
}

/// What the model asks of a record often.
#[derive(Debug, Clone, Copy)]
pub struct Summary {
    pub epoch: u8,
    pub holder: Option<Pid>,
    /// Processes that may route.
    pub listed: [bool; 3],
    /// Processes in an unreleased list.
    pub unreleased: [bool; 3],
    pub roles: [&'static str; 2],
    pub orders: [Option<OrderSummary>; 2],
}

#[derive(Debug, Clone, Copy)]
pub struct OrderSummary {
    pub number: u8,
    pub role: &'static str,
    pub phase: Phase,
    pub senders: [bool; 3],
}

fn summarize(record: &ZoneRecord) -> Summary {
    let pids = [0, 1, 2];
    let role = |text: &str| {
        if text == "prefill" {
            "prefill"
        } else {
            "decode"
        }
    };
    let mut summary = Summary {
        epoch: record.epoch as u8,
        holder: pids
            .into_iter()
            .find(|p| record.holder == Some(process(*p))),
        listed: pids.map(|p| routers::is_registered(record, &process(p))),
        unreleased: pids.map(|p| {
            let mut all = record.engines.iter().flat_map(|entry| &entry.unreleased);
            all.any(|entry| entry.process == Some(process(p)))
        }),
        roles: [""; 2],
        orders: [None; 2],
    };
    for (i, entry) in record.engines.iter().enumerate() {
        summary.roles[i] = role(&entry.role);
        summary.orders[i] = entry.order.as_ref().map(|order| OrderSummary {
            number: order.order_id[1..]
                .parse()
                .expect("order ids are o and a number"),
            role: role(&order.role),
            phase: Phase::of(order),
            senders: pids.map(|p| order.senders.contains(&process(p))),
        });
    }
    summary
}

/// All records met so far.
#[derive(Debug, Default)]
pub struct Records {
    known: RefCell<Vec<(ZoneRecord, Summary)>>,
    numbers: RefCell<HashMap<String, Rec>>,
    results: RefCell<HashMap<(Rec, Op), Option<Rec>>>,
}

impl Records {
    /// Number of a record.
    pub fn number(&self, record: ZoneRecord) -> Rec {
        let mut records = self.known.borrow_mut();
        let next = Rec::try_from(records.len()).expect("the bounds keep the records few");
        let key = format!("{record:?}");
        *self.numbers.borrow_mut().entry(key).or_insert_with(|| {
            let summary = summarize(&record);
            records.push((record, summary));
            next
        })
    }

    /// The record after an operation; `None` when the package refuses it.
    pub fn apply(&self, rec: Rec, op: &Op) -> Option<Rec> {
        let key = (rec, op.clone());
        if let Some(result) = self.results.borrow().get(&key) {
            return *result;
        }
        let mut record = self.with(rec, Clone::clone);
        let result = run(&mut record, op).then(|| self.number(record));
        self.results.borrow_mut().insert(key, result);
        result
    }

    /// Looks at a record.
    pub fn with<T>(&self, rec: Rec, look: impl FnOnce(&ZoneRecord) -> T) -> T {
        look(&self.known.borrow()[usize::from(rec)].0)
    }

    /// The summary of a record.
    pub fn summary(&self, rec: Rec) -> Summary {
        self.known.borrow()[usize::from(rec)].1
    }

    /// The first record: process 0 is the holder, `listed` may route, every engine is in role prefill.
    pub fn first(&self, engines: usize, listed: &[Pid]) -> Rec {
        let entries = ENGINES[..engines].iter().map(|engine| EngineEntry {
            engine: (*engine).to_owned(),
            role: "prefill".to_owned(),
            ..EngineEntry::default()
        });
        let mut record = ZoneRecord {
            engines: entries.collect(),
            ..ZoneRecord::default()
        };
        takeover::take_over(&mut record, &process(0), &address(0), 1).expect("epoch 0 is lower");
        for pid in listed.iter().filter(|pid| **pid != 0) {
            routers::register(&mut record, router(*pid));
        }
        self.number(record)
    }
}

fn run(record: &mut ZoneRecord, op: &Op) -> bool {
    match op {
        Op::TakeOver { me, keeps_issuing } => {
            let epoch = record.epoch + 1;
            if !keeps_issuing {
                record
                    .engines
                    .iter_mut()
                    .for_each(|entry| entry.order = None);
            }
            takeover::take_over(record, &process(*me), &address(*me), epoch).is_ok()
        }
        Op::Intend {
            engine,
            role,
            heeds_unreleased,
        } => {
            let unreleased = record.engines[*engine].unreleased.clone();
            if !heeds_unreleased {
                record.engines[*engine].unreleased.clear();
            }
            let role: Role = role.parse().expect("a role of the model");
            let is_done =
                order::record_intent(record, ENGINES[*engine], &Change::Role(role)).is_ok();
            record.engines[*engine].unreleased = unreleased;
            is_done
        }
        Op::Cancel { engine } => order::cancel(record, ENGINES[*engine]).is_ok(),
        Op::Issue {
            me,
            engine,
            drain,
            asked,
        } => {
            let all = record.routers.clone();
            if let Some(asked) = asked {
                record.routers.retain(|router| {
                    let mut listed = (0..).zip(asked);
                    listed.any(|(pid, asked)| *asked && router.process == Some(process(pid)))
                });
            }
            let proof = drain.build().prove(record);
            let is_done = proof.is_ok_and(|drained| {
                order::issue(record, ENGINES[*engine], &drained, &process(*me)).is_ok()
            });
            record.routers = all;
            is_done
        }
        Op::Complete {
            me,
            engine,
            is_fence_raised,
            lists_me,
        } => {
            let is_done = order::complete(record, ENGINES[*engine], *is_fence_raised).is_ok();
            let me = Some(process(*me));
            record.engines[*engine]
                .unreleased
                .retain(|entry| *lists_me || entry.process != me);
            is_done
        }
        Op::Release { me, pending } => {
            release::release_own_entries(record, &process(*me), |engine| {
                ENGINES
                    .iter()
                    .zip(pending)
                    .any(|(name, pending)| *name == engine && *pending)
            })
        }
        Op::Forget { gone } => {
            let gone = process(*gone);
            release::remove_unreleased(record, |_, entry| entry.process.as_ref() == Some(&gone))
        }
        Op::Register { router: pid } => {
            let is_new = !routers::is_registered(record, &process(*pid));
            routers::register(record, router(*pid));
            is_new
        }
        Op::RemoveRouter { router } => routers::remove(record, &process(*router)),
    }
}

/// Node of each process: process 2 is the next start of the node of process 1.
const NODES: [u8; 3] = [0, 1, 1];

/// The process of a number.
pub fn process(pid: Pid) -> ProcessId {
    ProcessId {
        vm: format!("vm{}", NODES.get(usize::from(pid)).unwrap_or(&pid)),
        incarnation: format!("p{pid}"),
    }
}

fn address(pid: Pid) -> String {
    format!("a{}", NODES.get(usize::from(pid)).unwrap_or(&pid))
}

fn router(pid: Pid) -> RouterEntry {
    RouterEntry {
        process: Some(process(pid)),
        address: address(pid),
    }
}

fn routers_only(pids: impl IntoIterator<Item = Pid>) -> ZoneRecord {
    ZoneRecord {
        routers: pids.into_iter().map(router).collect(),
        ..ZoneRecord::default()
    }
}

/// A table version of the package.
pub fn version((epoch, sequence): TableId) -> TableVersion {
    TableVersion {
        epoch: epoch.into(),
        sequence: sequence.into(),
    }
}

/// State of an engine as the package is given it.
pub fn engine_state(role: &str, is_changing: bool) -> EngineState {
    EngineState {
        role: role.parse().expect("a role of the model"),
        is_changing,
        models: Vec::new(),
        last_order_id: String::new(),
        fence: 0,
    }
}
