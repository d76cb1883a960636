//! Model of the authority: the steps that processes, platform, network and engines may take.
//!
//! A pause needs no step of its own, since a paused process is one that takes no step while others
//! do. Processes may take every transition that the crate permits, in any order and without a
//! clock.

use tealsaddle_core::authority::{Phase, order};

use super::explore::{Model, Successors};
use super::records::{DrainState, Op, Pid, RecordId, RecordStore, engine_state, process, version};
use super::state::{
    Engine, Message, Mutant, Process, ProcessStatus, Request, Scenario, Step, Table, ZoneState,
};

type Next = Successors<ZoneModel>;

/// Model of a zone under one scenario.
#[derive(Debug)]
pub struct ZoneModel {
    pub scenario: Scenario,
    pub mutant: Option<Mutant>,
    pub records: RecordStore,
}

impl ZoneModel {
    pub fn new(scenario: Scenario, mutant: Option<Mutant>) -> Self {
        Self {
            scenario,
            mutant,
            records: RecordStore::default(),
        }
    }

    fn has_mutant(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    /// Returns whether the scenario has requests. Without requests, the steps of a drain affect
    /// nothing else and are skipped.
    fn has_requests(&self) -> bool {
        self.scenario.bounds.requests > 0
    }

    /// Returns the processes that may exist in the scenario.
    fn pids(&self) -> std::ops::Range<Pid> {
        0..self.scenario.processes
    }

    fn engines(&self) -> std::ops::Range<usize> {
        0..self.scenario.engines
    }

    /// Updates the state of a process after it has read or written a record.
    fn adopt_record(&self, state: &mut ZoneState, p: Pid, at_version: u8, record_id: RecordId) {
        let me = &mut state.processes[usize::from(p)];
        me.known_record = Some((at_version, record_id));
        let summary = self.records.summary(record_id);
        let held = if summary.holder == Some(p) {
            summary.epoch
        } else {
            0
        };
        if me.held_epoch != held {
            me.held_epoch = held;
            me.accepted_orders = [0; 2];
            me.drains = [None, None];
        }
        for engine in self.engines() {
            let order = summary.orders[engine].filter(|_| held > 0);
            let drain = &mut me.drains[engine];
            match order.map(|order| order.number) {
                None => *drain = None,
                Some(order) if drain.is_some_and(|d| d.order == order) => {
                    if let Some(drain) = drain {
                        drain.on_record(summary.listed);
                    }
                }
                Some(order) => {
                    *drain = Some(DrainState {
                        order,
                        first_table: (held, at_version),
                        cleared_at: [0; 3],
                        idle_at: 0,
                        initially_listed: summary.listed,
                        listed: summary.listed,
                        removed_at: 0,
                    });
                }
            }
        }
    }

    fn apply_write(&self, state: &mut ZoneState, if_version: u8, record_id: RecordId) -> bool {
        let is_applied = if_version == state.version || self.has_mutant(Mutant::NoCompare);
        if is_applied {
            state.version += 1;
            state.record = record_id;
        }
        is_applied
    }

    /// Adds a step that starts a write based on the record that the process last read or wrote.
    fn propose(&self, next: &mut Next, state: &ZoneState, p: Pid, step: Step, op: &Op) {
        self.propose_with(next, state, p, step, op, |_| {});
    }

    /// Like `propose`, but applies `spend` to count the step against the bounds.
    fn propose_with(
        &self,
        next: &mut Next,
        state: &ZoneState,
        p: Pid,
        step: Step,
        op: &Op,
        spend: fn(&mut ZoneState),
    ) {
        let me = &state.processes[usize::from(p)];
        let Some((at_version, record_id)) = me.known_record else {
            return;
        };
        if me.pending_write.is_some() || me.must_read {
            return;
        }
        if let Some(record) = self.records.apply(record_id, op) {
            let mut state = state.clone();
            spend(&mut state);
            state.processes[usize::from(p)].pending_write = Some((at_version, record));
            next.push((step, Ok(state)));
        }
    }

    fn holder_steps(&self, next: &mut Next, state: &ZoneState, p: Pid) {
        let me = &state.processes[usize::from(p)];
        let Some((_, record_id)) = me.known_record else {
            return;
        };
        let summary = self.records.summary(record_id);
        for engine in self.engines() {
            let Some(order) = summary.orders[engine] else {
                if state.remaining.orders > 0 {
                    let op = Op::RecordIntent {
                        engine,
                        role: match summary.roles[engine] {
                            "prefill" => "decode",
                            _ => "prefill",
                        },
                        checks_unreleased: !self.has_mutant(Mutant::IgnoreUnreleased),
                    };
                    self.propose_with(next, state, p, Step::RecordIntent { p, engine }, &op, |s| {
                        s.remaining.orders -= 1;
                    });
                }
                continue;
            };
            let is_draining = order.phase == Phase::Draining;
            if is_draining && state.remaining.cancels > 0 {
                let (step, op) = (Step::Cancel { p, engine }, Op::Cancel { engine });
                self.propose_with(next, state, p, step, &op, |s| s.remaining.cancels -= 1);
            }
            let is_sender = order.senders[usize::from(p)];
            if let Some(mut drain) = me.drains[engine].filter(|_| !is_sender) {
                let required_routers = match self.mutant {
                    Some(Mutant::SkipRouters) => Some([false; 3]),
                    Some(Mutant::SuccessorSkipsDrain) if !is_draining => Some([false; 3]),
                    Some(Mutant::MissLateRouter) => Some(drain.initially_listed),
                    _ => None,
                };
                if let Some(required_routers) = required_routers {
                    drain.listed = required_routers;
                }
                if self.has_mutant(Mutant::RemovalNeedsNoSample) {
                    (drain.listed, drain.removed_at) = ([false; 3], 0);
                }
                if !self.has_requests() {
                    drain.report_all(summary.listed);
                }
                let op = Op::Issue {
                    me: p,
                    engine,
                    drain,
                    required_routers,
                };
                self.propose(next, state, p, Step::Issue { p, engine }, &op);
            }
            if is_sender && self.is_in_effect(state, record_id, engine) {
                let has_accepted = me.accepted_orders[engine] == order.number;
                let op = Op::Complete {
                    me: p,
                    engine,
                    is_fence_raised: self.scenario.checks_fence
                        && (has_accepted || self.has_mutant(Mutant::AssumeFenceRaised)),
                    lists_holder: !self.has_mutant(Mutant::ForgetOwnCopies),
                };
                self.propose(next, state, p, Step::Complete { p, engine }, &op);
            }
            let may_send = is_sender || (is_draining && self.has_mutant(Mutant::SendBeforeIssuing));
            let copies = state
                .in_transit
                .iter()
                .filter(|m| m.from == p && m.engine == engine);
            if may_send && me.unsent_order.is_none() && copies.count() < 2 {
                let mut state = state.clone();
                state.processes[usize::from(p)].unsent_order = Some(Message {
                    from: p,
                    engine,
                    order: order.number,
                    fence: me.held_epoch,
                    role: order.role,
                });
                next.push((Step::CheckSend { p, engine }, Ok(state)));
            }
        }
        self.member_steps(next, state, p);
        if self.has_requests() {
            self.drain_steps(next, state, p, record_id);
        }
    }

    /// Adds the steps by which the holder changes the router list and removes stopped processes
    /// from the unreleased lists.
    fn member_steps(&self, next: &mut Next, state: &ZoneState, p: Pid) {
        for other in self.pids().filter(|other| *other != p) {
            let peer = &state.processes[usize::from(other)];
            if peer.status == ProcessStatus::Up && state.remaining.registrations > 0 {
                let op = Op::Register { router: other };
                let step = Step::Register { p, router: other };
                self.propose_with(next, state, p, step, &op, |s| {
                    s.remaining.registrations -= 1;
                });
            }
            if peer.status == ProcessStatus::Dead || self.has_mutant(Mutant::RemoveLiveRouter) {
                let op = Op::RemoveRouter { router: other };
                self.propose(next, state, p, Step::RemoveRouter { p, router: other }, &op);
            }
            let none_may_arrive = self
                .engines()
                .all(|engine| !state.may_arrive(other, engine));
            if peer.status == ProcessStatus::Dead
                && (none_may_arrive || self.has_mutant(Mutant::NoTransitBound))
            {
                let op = Op::RemoveUnreleased { stopped: other };
                self.propose(
                    next,
                    state,
                    p,
                    Step::RemoveUnreleased { p, stopped: other },
                    &op,
                );
            }
        }
    }

    /// Adds the steps by which the holder publishes tables and collects reports.
    fn drain_steps(&self, next: &mut Next, state: &ZoneState, p: Pid, record_id: RecordId) {
        let me = &state.processes[usize::from(p)];
        let counts_late = self.has_mutant(Mutant::CountAfterCheck);
        for router in self.pids() {
            let peer = &state.processes[usize::from(router)];
            if peer.status != ProcessStatus::Up
                || !self.records.summary(record_id).listed[usize::from(router)]
            {
                continue;
            }
            let table = self.table(me, record_id);
            let is_newer = peer.table.is_none_or(|(old, open)| {
                (version(table.0) > version(old) || self.has_mutant(Mutant::TableGoesBack))
                    && (open != table.1 || old.0 != table.0.0)
            });
            if is_newer {
                let mut state = state.clone();
                state.processes[usize::from(router)].table = Some(table);
                next.push((Step::PublishTable { p, router }, Ok(state)));
            }
            for engine in self.engines() {
                let (Some(mut drain), Some((at, _))) = (me.drains[engine], peer.table) else {
                    continue;
                };
                let now = drain.now() + 2;
                let before = drain.build();
                let mut after = before.clone();
                let count = peer.in_flight(engine, counts_late);
                after.on_router_report(&process(router), version(at), count, now.into());
                if after != before {
                    drain.cleared_at[usize::from(router)] = now;
                    // Only the time of the last report has an effect, so all reports get that time
                    // to reduce the number of states.
                    for at in drain.cleared_at.iter_mut().filter(|at| **at > 0) {
                        *at = now;
                    }
                    let mut state = state.clone();
                    state.processes[usize::from(p)].drains[engine] = Some(drain);
                    next.push((Step::Report { p, router, engine }, Ok(state)));
                }
            }
        }
        for engine in self.engines() {
            let Some(mut drain) = me.drains[engine] else {
                continue;
            };
            let sampled = drain.now() + 1;
            let is_idle = !state.runs_requests(engine) || self.has_mutant(Mutant::OldIdleReport);
            if is_idle && drain.idle_at < sampled {
                drain.idle_at = sampled;
                let mut state = state.clone();
                state.processes[usize::from(p)].drains[engine] = Some(drain);
                next.push((Step::IdleSample { p, engine }, Ok(state)));
            }
        }
    }

    fn is_in_effect(&self, state: &ZoneState, record_id: RecordId, engine: usize) -> bool {
        let at = &state.engines[engine];
        let observed = engine_state(at.role, at.changing_to.is_some());
        self.records.with(record_id, |record| {
            let order = record.engines[engine].order.as_ref();
            order.is_some_and(|order| order::is_in_effect(order, &observed))
        })
    }

    fn table(&self, holder: &Process, record_id: RecordId) -> Table {
        let at_version = holder.known_record.map_or(0, |(at_version, _)| at_version);
        let summary = self.records.summary(record_id);
        let opens_all = self.has_mutant(Mutant::FirstTableOpensAll) && summary.epoch > 1;
        let mut open = [false; 2];
        for engine in self.engines() {
            open[engine] = opens_all || summary.orders[engine].is_none();
        }
        ((holder.held_epoch, at_version), open)
    }

    fn process_steps(&self, next: &mut Next, state: &ZoneState, p: Pid) {
        let i = usize::from(p);
        let me = &state.processes[i];
        let is_outdated = me
            .known_record
            .is_none_or(|(at_version, _)| at_version < state.version);
        let needs_record =
            me.held_epoch > 0 || self.records.summary(state.record).unreleased[usize::from(p)];
        if me.pending_write.is_none() && (me.must_read || (is_outdated && needs_record)) {
            let mut state = state.clone();
            state.processes[i].must_read = false;
            let (at_version, record_id) = (state.version, state.record);
            self.adopt_record(&mut state, p, at_version, record_id);
            next.push((Step::Read { p }, Ok(state)));
        }
        if me.held_epoch == 0 && state.remaining.takeovers > 0 && !me.must_read {
            let op = Op::TakeOver {
                me: p,
                keeps_issuing: !self.has_mutant(Mutant::SuccessorDropsIssuing),
            };
            let mut reader = state.clone();
            reader.processes[i].known_record = Some((state.version, state.record));
            self.propose_with(next, &reader, p, Step::TakeOver { p }, &op, |s| {
                s.remaining.takeovers -= 1;
            });
        }
        let releases_early = self.has_mutant(Mutant::ReleaseTooEarly);
        let pending = [0, 1].map(|engine| state.may_arrive(p, engine) && !releases_early);
        if me
            .known_record
            .is_some_and(|(_, record_id)| self.records.summary(record_id).unreleased[i])
        {
            let op = Op::Release { me: p, pending };
            self.propose(next, state, p, Step::Release { p }, &op);
        }
        if me.held_epoch > 0 {
            self.holder_steps(next, state, p);
        }
        if let Some((if_version, record_id)) = me.pending_write {
            let mut after = state.clone();
            after.processes[i].pending_write = None;
            let mut written = after.clone();
            if self.apply_write(&mut written, if_version, record_id) {
                let at_version = written.version;
                self.adopt_record(&mut written, p, at_version, record_id);
            } else {
                written.processes[i].must_read = true;
            }
            next.push((Step::Written { p }, Ok(written)));
            if state.remaining.lost_answers > 0 {
                after.remaining.lost_answers -= 1;
                after.processes[i].must_read = true;
                let mut at_once = after.clone();
                if self.apply_write(&mut at_once, if_version, record_id) {
                    next.push((Step::WrittenAnswerLost { p }, Ok(at_once)));
                }
                after.delayed_writes.push((if_version, record_id));
                if self.has_mutant(Mutant::LostAnswerMeansWritten) {
                    after.processes[i].must_read = false;
                    self.adopt_record(&mut after, p, if_version + 1, record_id);
                }
                next.push((Step::AnswerLost { p }, Ok(after)));
            }
        }
        if let Some(message) = me.unsent_order {
            let mut state = state.clone();
            state.processes[i].unsent_order = None;
            state.in_transit.push(message);
            state.in_transit.sort_unstable();
            next.push((Step::Send { p }, Ok(state)));
        }
        if state.remaining.kills > 0 {
            let mut state = state.clone();
            state.remaining.kills -= 1;
            let dead =
                std::mem::replace(&mut state.processes[i], Process::new(ProcessStatus::Dead));
            state.delayed_writes.extend(dead.pending_write);
            if let Some(Request::Running(engine)) = dead.request {
                state.engines[engine].orphaned_requests += 1;
            }
            next.push((Step::Kill { p }, Ok(state)));
        }
        self.request_steps(next, state, p);
    }

    fn request_steps(&self, next: &mut Next, state: &ZoneState, router: Pid) {
        let i = usize::from(router);
        let me = &state.processes[i];
        let Some((_, open)) = me.table else {
            let has_own = self.has_mutant(Mutant::LateRouterOwnTable);
            if has_own && self.records.summary(state.record).listed[i] {
                let mut state = state.clone();
                state.processes[i].table = Some(((0, 0), [true; 2]));
                next.push((Step::PublishTable { p: router, router }, Ok(state)));
            }
            return;
        };
        let counts_late = self.has_mutant(Mutant::CountAfterCheck);
        let mut push = |step, request, begun: u8| {
            let mut state = state.clone();
            state.processes[i].request = request;
            state.remaining.requests -= begun;
            next.push((step, Ok(state)));
        };
        match me.request {
            None if state.remaining.requests > 0 => {
                for engine in self.engines().filter(|e| open[*e]) {
                    let request = Some(Request::Begun(engine));
                    push(Step::RequestBegins { router, engine }, request, 1);
                }
            }
            None => {}
            Some(Request::Begun(engine)) => {
                let is_accepting = state.engines[engine].changing_to.is_none();
                let is_sent = is_accepting && (open[engine] || counts_late);
                let request = is_sent.then_some(Request::Running(engine));
                push(Step::RequestRoutes { router }, request, 0);
            }
            Some(Request::Running(_)) => push(Step::RequestDone { router }, None, 0),
        }
    }

    /// Delivers an order to an engine, and returns the rule that this breaks, if any.
    fn receive(&self, mut state: ZoneState, message: Message) -> Result<ZoneState, &'static str> {
        let engine = &mut state.engines[message.engine];
        if self.scenario.checks_fence && message.fence < engine.fence {
            return Ok(state);
        }
        engine.fence = engine.fence.max(message.fence);
        let is_changing = engine.changing_to.is_some();
        if engine.changing_to.is_some_and(|role| role != message.role) {
            return Err("the engine receives two conflicting orders");
        }
        if !is_changing && engine.role != message.role {
            engine.changing_to = Some(message.role);
            let recorded = self.records.summary(state.record).orders[message.engine];
            if recorded.is_none_or(|order| order.number != message.order) {
                return Err("an order that is not the recorded one takes effect");
            }
            if state.runs_requests(message.engine) {
                return Err("a planned change interrupts a request");
            }
        }
        let sender = &mut state.processes[usize::from(message.from)];
        if sender.held_epoch == message.fence && sender.status == ProcessStatus::Up {
            sender.accepted_orders[message.engine] = message.order;
        }
        Ok(state)
    }
}

impl Model for ZoneModel {
    type State = ZoneState;
    type Step = Step;

    fn initial(&self) -> ZoneState {
        let scenario = &self.scenario;
        let record = self.records.initial(scenario.engines, scenario.listed);
        let status = |pid| {
            if scenario.up.contains(&pid) {
                ProcessStatus::Up
            } else {
                ProcessStatus::NotStarted
            }
        };
        let engine = Engine {
            role: "prefill",
            changing_to: None,
            fence: 0,
            orphaned_requests: 0,
        };
        let mut state = ZoneState {
            version: 1,
            record,
            processes: [0, 1, 2].map(|pid| Process::new(status(pid))),
            engines: [engine; 2],
            in_transit: Vec::new(),
            delayed_writes: Vec::new(),
            remaining: scenario.bounds,
        };
        for pid in scenario.up {
            self.adopt_record(&mut state, *pid, 1, record);
        }
        let table = self.table(&state.processes[0], record);
        for pid in scenario.listed {
            state.processes[usize::from(*pid)].table = Some(table);
        }
        state
    }

    fn next(&self, state: &ZoneState) -> Next {
        let mut next = Vec::new();
        for p in self.pids() {
            if state.processes[usize::from(p)].status == ProcessStatus::Up {
                self.process_steps(&mut next, state, p);
            }
        }
        if state
            .processes
            .get(1)
            .is_some_and(|process| process.status == ProcessStatus::Dead)
            && state
                .processes
                .get(2)
                .is_some_and(|process| process.status == ProcessStatus::NotStarted)
        {
            let mut state = state.clone();
            state.processes[2].status = ProcessStatus::Up;
            next.push((Step::Restart, Ok(state)));
        }
        for (index, (if_version, record_id)) in state.delayed_writes.iter().enumerate() {
            // A delayed write whose version no longer matches is dropped, which also models a lost
            // write.
            let mut state = state.clone();
            state.delayed_writes.remove(index);
            self.apply_write(&mut state, *if_version, *record_id);
            next.push((Step::LateWrite { index }, Ok(state)));
        }
        for (index, message) in state.in_transit.iter().copied().enumerate() {
            let mut without = state.clone();
            without.in_transit.remove(index);
            if state.remaining.lost_orders > 0 {
                let mut lost = without.clone();
                lost.remaining.lost_orders -= 1;
                next.push((Step::LoseOrder { message }, Ok(lost)));
            }
            next.push((Step::Deliver { message }, self.receive(without, message)));
            if state.remaining.duplicated_orders > 0 {
                let mut state = state.clone();
                state.remaining.duplicated_orders -= 1;
                let result = self.receive(state, message);
                next.push((Step::DeliverDuplicate { message }, result));
            }
        }
        for engine in self.engines() {
            if state.engines[engine].orphaned_requests > 0 {
                let mut done = state.clone();
                done.engines[engine].orphaned_requests -= 1;
                next.push((Step::OrphanDone { engine }, Ok(done)));
            }
            let Some(role) = state.engines[engine].changing_to else {
                continue;
            };
            let mut done = state.clone();
            done.engines[engine].changing_to = None;
            if state.remaining.engine_crashes > 0 {
                let mut crashed = done.clone();
                crashed.remaining.engine_crashes -= 1;
                next.push((Step::EngineCrash { engine }, Ok(crashed)));
            }
            done.engines[engine].role = role;
            next.push((Step::EngineDone { engine }, Ok(done)));
        }
        next
    }
}
