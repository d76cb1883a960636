//! State of the modelled zone: the platform, processes, engines and messages.

use std::fmt;

use super::records::{DrainState, Pid, Rec, TableId};

/// A rule that is taken out, to see that the check finds the fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// The platform writes without comparing the version.
    NoCompare,
    /// A write whose answer was lost counts as written.
    LostAnswerMeansWritten,
    /// An order is sent while its record still says `draining`.
    SendBeforeIssuing,
    /// A successor drops an order that is `issuing`.
    SuccessorDropsIssuing,
    /// A different order is begun while an older one may still arrive.
    IgnoreUnreleased,
    /// A former holder releases itself with a copy in hand or in transit.
    ReleaseTooEarly,
    /// A process that is gone is forgotten before the transit bound has passed.
    NoTransitBound,
    /// A holder does not list its own copies that may still arrive.
    ForgetOwnCopies,
    /// The fencing token counts as raised before the engine has taken an order under it.
    AssumeFenceRaised,
    /// Routers are not asked.
    SkipRouters,
    /// A router that registers opens all engines before it has a table of the holder.
    LateRouterOwnTable,
    /// Only routers that were listed when the drain began are asked.
    MissLateRouter,
    /// A successor sends the recorded order again without draining the engine once more.
    SuccessorSkipsDrain,
    /// A live router is removed from the list.
    RemoveLiveRouter,
    /// The removal of a router that reported nothing needs no idle report after it.
    RemovalNeedsNoSample,
    /// An idle report counts from its arrival, however old its sample is.
    OldIdleReport,
    /// A router counts a request after it has looked at the table.
    CountAfterCheck,
    /// A router goes back to an older table.
    TableGoesBack,
    /// The first table of an epoch opens engines with an outstanding order.
    FirstTableOpensAll,
}

/// What may happen at most.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Bounds {
    pub takeovers: u8,
    pub orders: u8,
    pub cancels: u8,
    /// Answers to writes that are lost, with the write applied at once, later or never.
    pub lost_answers: u8,
    /// Orders that are lost on the way.
    pub lost_orders: u8,
    /// Orders that are delivered twice.
    pub doubled: u8,
    pub engine_crashes: u8,
    /// Processes that are killed; process 1 may be started again as process 2.
    pub kills: u8,
    /// Processes that are added to the router list.
    pub joins: u8,
    pub requests: u8,
}

/// One run of the check.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub name: &'static str,
    pub engines: usize,
    pub checks_fence: bool,
    /// Processes that may ever exist.
    pub processes: Pid,
    /// Processes that are up at first.
    pub up: &'static [Pid],
    /// Processes that are in the router list at first.
    pub listed: &'static [Pid],
    pub bounds: Bounds,
}

/// An order on its way from a process to an engine.
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
pub enum Life {
    NotStarted,
    Up,
    Dead,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Request {
    /// Counted, and the table not looked at yet; a mutant has it the other way round.
    Begun(usize),
    /// At the engine.
    Running(usize),
}

/// A routing table: version, and which engines are open.
pub type Table = (TableId, [bool; 2]);

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Process {
    pub life: Life,
    /// Version and record that it knows from a read or a confirmed write.
    pub known: Option<(u8, Rec)>,
    /// Epoch under which it believes to be the holder; 0 otherwise.
    pub held: u8,
    pub write: Option<(u8, Rec)>,
    /// It must read before it writes again.
    pub is_unsettled: bool,
    /// An order between the check and the send.
    pub hand: Option<Message>,
    pub drains: [Option<DrainState>; 2],
    /// Order that each engine has taken from it under its epoch.
    pub accepted: [u8; 2],
    pub table: Option<Table>,
    pub request: Option<Request>,
}

impl Process {
    pub const fn new(life: Life) -> Self {
        Self {
            life,
            known: None,
            held: 0,
            write: None,
            is_unsettled: false,
            hand: None,
            drains: [None; 2],
            accepted: [0; 2],
            table: None,
            request: None,
        }
    }

    /// Requests that it reports in flight on an engine.
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
    /// Role that it is changing to.
    pub changing_to: Option<&'static str>,
    pub fence: u8,
    /// Requests of routers that are dead.
    pub orphans: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct World {
    pub version: u8,
    pub record: Rec,
    pub processes: [Process; 3],
    pub engines: [Engine; 2],
    pub transit: Vec<Message>,
    /// Writes whose answer was lost and that may still be applied.
    pub floating: Vec<(u8, Rec)>,
    pub left: Bounds,
}

impl World {
    /// Whether a copy of a process may still reach an engine.
    pub fn may_arrive(&self, pid: Pid, engine: usize) -> bool {
        let is_copy = |m: &Message| m.from == pid && m.engine == engine;
        self.transit.iter().any(is_copy)
            || self.processes[usize::from(pid)]
                .hand
                .as_ref()
                .is_some_and(is_copy)
    }

    pub fn runs_requests(&self, engine: usize) -> bool {
        let running = Some(Request::Running(engine));
        let mut processes = self.processes.iter();
        self.engines[engine].orphans > 0 || processes.any(|process| process.request == running)
    }
}

/// One thing that happens. `p` is the acting process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    Read { p: Pid },
    TakeOver { p: Pid },
    Intend { p: Pid, engine: usize },
    Cancel { p: Pid, engine: usize },
    Issue { p: Pid, engine: usize },
    Complete { p: Pid, engine: usize },
    Release { p: Pid },
    Forget { p: Pid, gone: Pid },
    Register { p: Pid, router: Pid },
    RemoveRouter { p: Pid, router: Pid },
    Written { p: Pid },
    WrittenAnswerLost { p: Pid },
    AnswerLost { p: Pid },
    LateWrite { index: usize },
    Check { p: Pid, engine: usize },
    Send { p: Pid },
    Deliver { message: Message },
    DeliverOnceMore { message: Message },
    Lose { message: Message },
    EngineDone { engine: usize },
    EngineCrash { engine: usize },
    Table { p: Pid, router: Pid },
    Report { p: Pid, router: Pid, engine: usize },
    IdleSample { p: Pid, engine: usize },
    RequestBegins { router: Pid, engine: usize },
    RequestRoutes { router: Pid },
    RequestDone { router: Pid },
    OrphanDone { engine: usize },
    Kill { p: Pid },
    Restart,
}
