//! State of the modelled zone: platform, processes, engines and messages.

use std::fmt;

use super::records::{DrainState, Pid, RecordId, TableId};

/// A rule that is disabled, to verify that the search finds the resulting fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// The platform writes without comparing the version.
    NoCompare,
    /// A write whose response was lost is treated as written.
    LostAnswerMeansWritten,
    /// An order is sent while it is still in phase `draining`.
    SendBeforeIssuing,
    /// A successor drops an order that is in phase `issuing`.
    SuccessorDropsIssuing,
    /// A different order is recorded while an older one may still arrive.
    IgnoreUnreleased,
    /// A former holder releases itself while it may still send a copy or a copy is in transit.
    ReleaseTooEarly,
    /// A stopped process is removed from the unreleased list before the transit bound has passed.
    NoTransitBound,
    /// A holder that completes an order is not added to the unreleased list.
    ForgetOwnCopies,
    /// The fencing token is treated as raised before the engine has accepted an order with it.
    AssumeFenceRaised,
    /// A drain waits for no router.
    SkipRouters,
    /// A registered router uses a table with all engines until it has one of the holder.
    LateRouterOwnTable,
    /// A drain waits only for the routers that were listed when it started.
    MissLateRouter,
    /// A successor repeats the recorded order without draining the engine again.
    SuccessorSkipsDrain,
    /// A live router is removed from the list.
    RemoveLiveRouter,
    /// No idle sample is required after the removal of a router that did not report zero.
    RemovalNeedsNoSample,
    /// An idle report is accepted with the time of its arrival instead of its sample.
    OldIdleReport,
    /// A router counts a request only after it has read the table.
    CountAfterCheck,
    /// A router replaces its table by an older one.
    TableGoesBack,
    /// The first table of an epoch includes engines with an outstanding order.
    FirstTableOpensAll,
}

/// Largest number of events of each kind in one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Bounds {
    pub takeovers: u8,
    pub orders: u8,
    pub cancels: u8,
    /// Lost responses to writes; the write is applied immediately, later or never.
    pub lost_answers: u8,
    /// Orders that are lost in transit.
    pub lost_orders: u8,
    /// Additional deliveries of an order.
    pub duplicated_orders: u8,
    pub engine_crashes: u8,
    /// Processes that are killed. Process 1 may be restarted as process 2.
    pub kills: u8,
    /// Processes that are added to the router list.
    pub registrations: u8,
    pub requests: u8,
}

/// Initial state and bounds of one search.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub name: &'static str,
    pub engines: usize,
    pub checks_fence: bool,
    /// Number of processes that may exist.
    pub processes: Pid,
    /// Processes that are initially running.
    pub up: &'static [Pid],
    /// Processes that are initially in the router list.
    pub listed: &'static [Pid],
    pub bounds: Bounds,
}

/// A copy of an order that a process sends to an engine.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Message {
    pub from: Pid,
    pub engine: usize,
    pub order: u8,
    pub fence: u8,
    pub role: &'static str,
}

impl fmt::Debug for Message {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            from,
            engine,
            order,
            fence,
            role,
        } = self;
        write!(
            f,
            "o{order} (role {role}, fence {fence}) from {from} to engine {engine}"
        )
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ProcessStatus {
    NotStarted,
    Up,
    Dead,
}

/// Progress of a request at its router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Request {
    /// The request is counted, and the table was not read yet. One mutant counts it after reading
    /// the table.
    Begun(usize),
    /// The engine runs the request.
    Running(usize),
}

/// A routing table: its version, and for each engine whether it accepts new requests.
pub type Table = (TableId, [bool; 2]);

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Process {
    pub status: ProcessStatus,
    /// Version and record of the last read or confirmed write.
    pub known_record: Option<(u8, RecordId)>,
    /// Epoch under which the known record names this process as the holder; 0 otherwise.
    pub held_epoch: u8,
    /// Expected version and record of a write that is not applied yet.
    pub pending_write: Option<(u8, RecordId)>,
    /// Whether the process must read the record before its next write.
    pub must_read: bool,
    /// An order that was checked but not sent yet.
    pub unsent_order: Option<Message>,
    pub drains: [Option<DrainState>; 2],
    /// Order that each engine accepted from this process under its epoch; 0 for none.
    pub accepted_orders: [u8; 2],
    pub table: Option<Table>,
    pub request: Option<Request>,
}

impl Process {
    pub const fn new(status: ProcessStatus) -> Self {
        Self {
            status,
            known_record: None,
            held_epoch: 0,
            pending_write: None,
            must_read: false,
            unsent_order: None,
            drains: [None; 2],
            accepted_orders: [0; 2],
            table: None,
            request: None,
        }
    }

    /// Returns the number of requests that the process reports as in flight on an engine.
    pub fn in_flight(&self, engine: usize, counts_late: bool) -> u32 {
        u32::from(match self.request {
            Some(Request::Begun(at)) => at == engine && !counts_late,
            Some(Request::Running(at)) => at == engine,
            None => false,
        })
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Engine {
    pub role: &'static str,
    /// Role of a change in progress.
    pub changing_to: Option<&'static str>,
    pub fence: u8,
    /// Running requests of routers that were killed.
    pub orphaned_requests: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ZoneState {
    pub version: u8,
    pub record: RecordId,
    pub processes: [Process; 3],
    pub engines: [Engine; 2],
    pub in_transit: Vec<Message>,
    /// Writes whose response was lost and that may still be applied.
    pub delayed_writes: Vec<(u8, RecordId)>,
    /// Events of each kind that may still occur.
    pub remaining: Bounds,
}

impl ZoneState {
    /// Returns whether a copy that a process sends may still reach an engine.
    pub fn may_arrive(&self, pid: Pid, engine: usize) -> bool {
        let is_copy = |m: &Message| m.from == pid && m.engine == engine;
        self.in_transit.iter().any(is_copy)
            || self.processes[usize::from(pid)]
                .unsent_order
                .as_ref()
                .is_some_and(is_copy)
    }

    pub fn runs_requests(&self, engine: usize) -> bool {
        let running = Some(Request::Running(engine));
        let mut processes = self.processes.iter();
        self.engines[engine].orphaned_requests > 0
            || processes.any(|process| process.request == running)
    }
}

/// A step of the model. `p` is the process that takes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    Read { p: Pid },
    TakeOver { p: Pid },
    RecordIntent { p: Pid, engine: usize },
    Cancel { p: Pid, engine: usize },
    Issue { p: Pid, engine: usize },
    Complete { p: Pid, engine: usize },
    Release { p: Pid },
    RemoveUnreleased { p: Pid, stopped: Pid },
    Register { p: Pid, router: Pid },
    RemoveRouter { p: Pid, router: Pid },
    Written { p: Pid },
    WrittenAnswerLost { p: Pid },
    AnswerLost { p: Pid },
    LateWrite { index: usize },
    CheckSend { p: Pid, engine: usize },
    Send { p: Pid },
    Deliver { message: Message },
    DeliverDuplicate { message: Message },
    LoseOrder { message: Message },
    EngineDone { engine: usize },
    EngineCrash { engine: usize },
    PublishTable { p: Pid, router: Pid },
    Report { p: Pid, router: Pid, engine: usize },
    IdleSample { p: Pid, engine: usize },
    RequestBegins { router: Pid, engine: usize },
    RequestRoutes { router: Pid },
    RequestDone { router: Pid },
    OrphanDone { engine: usize },
    Kill { p: Pid },
    Restart,
}
