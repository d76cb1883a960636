//! Interned zone records, and the transitions between them.
//!
//! A state of the model contains the id of a record, so that states are small. Each transition is
//! computed by the crate's code once per record and operation and then cached.

use std::cell::RefCell;

use tealsaddle_core::authority::{Change, EngineState, Phase, order, release, routers, takeover};
use tealsaddle_core::collections::HashMap;
use tealsaddle_core::drain::{Drain, TableVersion};
use tealsaddle_core::inventory::Role;
use tealsaddle_schema::record::{EngineEntry, ProcessId, RouterEntry, ZoneRecord};

/// Id of an interned record.
pub type RecordId = u16;
/// Number of a process; each start of a node has a new one.
pub type Pid = u8;
/// Epoch and sequence of a table.
pub type TableId = (u8, u8);

/// Names of the engines.
pub const ENGINES: [&str; 2] = ["e1", "e2"];

/// Compact form of the progress of a drain, which is part of every state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct DrainState {
    pub order: u8,
    /// First table without the engine.
    pub first_table: TableId,
    /// Time of each router's first report of zero; 0 if there is none.
    pub cleared_at: [u8; 3],
    /// Time of the latest idle sample; 0 if there is none.
    pub idle_at: u8,
    /// Routers that were listed when the drain started.
    pub initially_listed: [bool; 3],
    /// Routers in the last record that the holder read or wrote.
    pub listed: [bool; 3],
    /// Time of the last removal of a router that had not reported zero; 0 if there is none.
    pub removed_at: u8,
}

impl DrainState {
    /// Builds a [`Drain`] with the same progress.
    pub fn build(&self) -> Drain {
        let since = version(self.first_table);
        let mut drain = Drain::new(format!("o{}", self.order), since);
        for (router, at) in (0..).zip(self.cleared_at).filter(|(_, at)| *at > 0) {
            drain.on_router_report(&process(router), since, 0, u64::from(at));
        }
        if self.removed_at > 0 {
            // Process 9 represents any router that was removed.
            drain.on_record(&routers_only([9]), 0);
            drain.on_record(&ZoneRecord::default(), self.removed_at.into());
        }
        drain.on_record(
            &routers_only((0..3).filter(|p| self.listed[usize::from(*p)])),
            0,
        );
        if self.idle_at > 0 {
            drain.on_load_report(u64::from(self.idle_at), true);
        }
        drain
    }

    /// Handles a record that the holder read or wrote, given its routers.
    pub fn on_record(&mut self, listed: [bool; 3]) {
        let is_removed = |p: usize| self.listed[p] && !listed[p] && self.cleared_at[p] == 0;
        if (0..3).any(is_removed) {
            self.removed_at = self.now() + 1;
        }
        self.listed = listed;
    }

    /// Applies a report of zero from each router, and an idle sample after the reports.
    pub fn report_all(&mut self, listed: [bool; 3]) {
        let now = self.now() + 2;
        self.cleared_at = listed.map(|is_listed| if is_listed { now } else { 0 });
        self.idle_at = now + 1;
    }

    /// Returns the time of the last report or removal, rounded up to an even number. The holder's
    /// clock advances by two with each of them.
    pub fn now(&self) -> u8 {
        self.cleared_at
            .into_iter()
            .fold(self.removed_at, u8::max)
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
    RecordIntent {
        engine: usize,
        role: &'static str,
        checks_unreleased: bool,
    },
    Cancel {
        engine: usize,
    },
    /// A mutant sets `required_routers` to hide the other routers from the proof.
    Issue {
        me: Pid,
        engine: usize,
        drain: DrainState,
        required_routers: Option<[bool; 3]>,
    },
    /// A mutant clears `lists_holder` to omit the holder from the unreleased list.
    Complete {
        me: Pid,
        engine: usize,
        is_fence_raised: bool,
        lists_holder: bool,
    },
    Release {
        me: Pid,
        pending: [bool; 2],
    },
    RemoveUnreleased {
        stopped: Pid,
    },
    Register {
        router: Pid,
    },
    RemoveRouter {
        router: Pid,
    },
}

/// Properties of a record that the model reads often.
#[derive(Debug, Clone, Copy)]
pub struct Summary {
    pub epoch: u8,
    pub holder: Option<Pid>,
    /// Processes in the router list.
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
                .expect("an order id is the letter o and a number"),
            role: role(&order.role),
            phase: Phase::of(order),
            senders: pids.map(|p| order.senders.contains(&process(p))),
        });
    }
    summary
}

/// Interned records with their summaries, and cached results of operations.
#[derive(Debug, Default)]
pub struct RecordStore {
    records: RefCell<Vec<(ZoneRecord, Summary)>>,
    ids: RefCell<HashMap<String, RecordId>>,
    results: RefCell<HashMap<(RecordId, Op), Option<RecordId>>>,
}

impl RecordStore {
    /// Returns the id of a record, adding the record if it is new.
    pub fn intern(&self, record: ZoneRecord) -> RecordId {
        let mut records = self.records.borrow_mut();
        let next =
            RecordId::try_from(records.len()).expect("the bounds limit the number of records");
        let key = format!("{record:?}");
        *self.ids.borrow_mut().entry(key).or_insert_with(|| {
            let summary = summarize(&record);
            records.push((record, summary));
            next
        })
    }

    /// Returns the record after an operation, or `None` if the crate rejects the operation.
    pub fn apply(&self, record_id: RecordId, op: &Op) -> Option<RecordId> {
        let key = (record_id, op.clone());
        if let Some(result) = self.results.borrow().get(&key) {
            return *result;
        }
        let mut record = self.with(record_id, Clone::clone);
        let result = run(&mut record, op).then(|| self.intern(record));
        self.results.borrow_mut().insert(key, result);
        result
    }

    /// Calls `read` with a record.
    pub fn with<T>(&self, record_id: RecordId, read: impl FnOnce(&ZoneRecord) -> T) -> T {
        read(&self.records.borrow()[usize::from(record_id)].0)
    }

    /// Returns the summary of a record.
    pub fn summary(&self, record_id: RecordId) -> Summary {
        self.records.borrow()[usize::from(record_id)].1
    }

    /// Returns the initial record: process 0 is the holder, the processes in `listed` may route,
    /// and every engine has the role prefill.
    pub fn initial(&self, engines: usize, listed: &[Pid]) -> RecordId {
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
        self.intern(record)
    }
}

/// Applies an operation to a record and returns whether the crate permits it.
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
        Op::RecordIntent {
            engine,
            role,
            checks_unreleased,
        } => {
            let unreleased = record.engines[*engine].unreleased.clone();
            if !checks_unreleased {
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
            required_routers,
        } => {
            let all = record.routers.clone();
            if let Some(required_routers) = required_routers {
                record.routers.retain(|router| {
                    let mut listed = (0..).zip(required_routers);
                    listed.any(|(pid, is_required)| {
                        *is_required && router.process == Some(process(pid))
                    })
                });
            }
            let result = drain.build().prove(record);
            let is_done = result.is_ok_and(|proof| {
                order::issue(record, ENGINES[*engine], &proof, &process(*me)).is_ok()
            });
            record.routers = all;
            is_done
        }
        Op::Complete {
            me,
            engine,
            is_fence_raised,
            lists_holder,
        } => {
            let is_done = order::complete(record, ENGINES[*engine], *is_fence_raised).is_ok();
            let me = Some(process(*me));
            record.engines[*engine]
                .unreleased
                .retain(|entry| *lists_holder || entry.process != me);
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
        Op::RemoveUnreleased { stopped } => {
            let stopped = process(*stopped);
            release::remove_unreleased(record, |_, entry| entry.process.as_ref() == Some(&stopped))
        }
        Op::Register { router: pid } => {
            let is_new = !routers::is_registered(record, &process(*pid));
            routers::register(record, router(*pid));
            is_new
        }
        Op::RemoveRouter { router } => routers::remove(record, &process(*router)),
    }
}

/// Node of each process: process 2 is a restart on the node of process 1.
const NODES: [u8; 3] = [0, 1, 1];

/// Returns the process with a number.
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

/// Converts a table id to the crate's type.
pub fn version((epoch, sequence): TableId) -> TableVersion {
    TableVersion {
        epoch: epoch.into(),
        sequence: sequence.into(),
    }
}

/// Builds the crate's representation of an engine's state.
pub fn engine_state(role: &str, is_changing: bool) -> EngineState {
    EngineState {
        role: role.parse().expect("a role of the model"),
        is_changing,
        models: Vec::new(),
        last_order_id: String::new(),
        fence: 0,
    }
}
