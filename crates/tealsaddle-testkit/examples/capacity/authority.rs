//! A holder with a given number of engines, for measurements of its processor time and its records.

use tealsaddle_core::authority::{
    Action, Authority, EngineSpec, EngineState, Event, Identity, Stored, WriteOutcome,
};
use tealsaddle_core::inventory::Role;
use tealsaddle_core::name::Name;
use tealsaddle_schema::record::{LeaseRecord, ProcessId, ZoneRecord};

/// Name of engine `index`.
pub fn engine_name(index: usize) -> Name {
    Name::from(format!("rules-runner-{index:04}"))
}

/// A process of the zone.
pub fn process(index: usize) -> ProcessId {
    ProcessId {
        vm: format!("entry-vm-{index:04}"),
        incarnation: format!("6f1b0c52-3c9e-4b7a-9d55-{index:012}"),
    }
}

/// Peer address of a process.
pub fn address(index: usize) -> String {
    format!("10.20.{}.{}:8002", index / 250, index % 250)
}

/// A holder whose platform answers every write at once.
#[derive(Debug)]
pub struct Holder {
    authority: Authority,
    now_us: u64,
    lease: Stored<LeaseRecord>,
    record: Stored<ZoneRecord>,
}

impl Holder {
    /// Takes authority over a zone with `engines` engines and `routers` routers.
    pub fn open(engines: usize, routers: usize) -> Self {
        let identity = Identity {
            process: process(0),
            address: address(0),
            zone: Name::from("zone-a"),
        };
        let mut holder = Self {
            authority: Authority::new(identity),
            now_us: 1_000_000,
            lease: Stored {
                version: 0,
                record: LeaseRecord::default(),
            },
            record: Stored {
                version: 0,
                record: ZoneRecord::default(),
            },
        };
        let vms = (0..routers)
            .map(|i| (Name::from(process(i).vm), false))
            .collect();
        holder.give(Event::Vms(vms));
        let specs = (0..engines).map(|i| EngineSpec {
            name: engine_name(i),
            initial_role: Role::Mixed,
            checks_fence: true,
            is_withdrawn: false,
        });
        holder.give(Event::Engines(specs.collect()));
        for _ in 0..20 {
            holder.tick();
        }
        for i in 0..routers {
            holder.give(Event::Register {
                process: process(i),
                address: address(i),
            });
        }
        for _ in 0..20 {
            holder.tick();
        }
        holder
    }

    /// Lets a quarter of a second pass.
    pub fn tick(&mut self) {
        self.now_us += 250_000;
        self.give(Event::Tick);
    }

    /// The zone record as it is stored.
    pub fn record(&self) -> &ZoneRecord {
        &self.record.record
    }

    fn give(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.authority.on_event(event, self.now_us) {
                events.extend(self.carry_out(action));
            }
        }
    }

    fn carry_out(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::ReadLease => {
                let stored = (self.lease.version > 0).then(|| self.lease.clone());
                Some(Event::LeaseRead(stored))
            }
            Action::ReadRecord => {
                let stored = (self.record.version > 0).then(|| self.record.clone());
                Some(Event::RecordRead(stored))
            }
            Action::WriteLease { if_version, record } => {
                let write_id = record.write_id.clone();
                let version = if_version + 1;
                self.lease = Stored { version, record };
                Some(Event::LeaseWrite {
                    write_id,
                    outcome: WriteOutcome::Written(version),
                })
            }
            Action::WriteRecord {
                if_version,
                write_id,
                record,
            } => {
                let version = if_version + 1;
                self.record = Stored {
                    version,
                    record: *record,
                };
                Some(Event::RecordWrite {
                    write_id,
                    outcome: WriteOutcome::Written(version),
                })
            }
            Action::QueryState { engine, query } => {
                let state = EngineState {
                    role: Role::Mixed,
                    is_changing: false,
                    models: Vec::new(),
                    last_order_id: String::new(),
                    fence: 0,
                };
                Some(Event::StateReport {
                    engine,
                    query,
                    state,
                })
            }
            Action::Publish(_)
            | Action::ProbeAddress { .. }
            | Action::SendOrder { .. }
            | Action::EmitDecision(_) => None,
        }
    }
}
