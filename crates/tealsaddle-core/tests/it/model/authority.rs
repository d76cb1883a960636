//! The specification: what processes, platform, network and engines may do.
//!
//! A pause needs no step of its own: a paused process is one that does nothing while others go on.
//! Processes may take every transition that the package permits, in any order and without a clock.

use tealsaddle_core::authority::{Phase, order};

use super::explore::{Model, Successors};
use super::records::{DrainState, Op, Pid, Rec, Records, engine_state, process, version};
use super::state::{Engine, Life, Message, Mutant, Process, Request, Scenario, Step, Table, World};

type Next = Successors<Zone>;

/// The zone under one scenario.
#[derive(Debug)]
pub struct Zone {
    pub scenario: Scenario,
    pub mutant: Option<Mutant>,
    pub records: Records,
}

impl Zone {
    pub fn new(scenario: Scenario, mutant: Option<Mutant>) -> Self {
        Self {
            scenario,
            mutant,
            records: Records::default(),
        }
    }

    fn is(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    /// Whether drains matter. Without requests their steps could change nothing else, and are skipped.
    fn has_requests(&self) -> bool {
        self.scenario.bounds.requests > 0
    }

    /// Processes that the scenario knows.
    fn pids(&self) -> std::ops::Range<Pid> {
        0..self.scenario.processes
    }

    fn engines(&self) -> std::ops::Range<usize> {
        0..self.scenario.engines
    }

    /// The process draws its conclusions from a record that it read or wrote.
    fn learn(&self, world: &mut World, p: Pid, at_version: u8, rec: Rec) {
        let me = &mut world.processes[usize::from(p)];
        me.known = Some((at_version, rec));
        let summary = self.records.summary(rec);
        let held = if summary.holder == Some(p) {
            summary.epoch
        } else {
            0
        };
        if me.held != held {
            me.held = held;
            me.accepted = [0; 2];
            me.drains = [None, None];
        }
        for engine in self.engines() {
            let order = summary.orders[engine].filter(|_| held > 0);
            let drain = &mut me.drains[engine];
            match order.map(|order| order.number) {
                None => *drain = None,
                Some(order) if drain.is_some_and(|d| d.order == order) => {
                    if let Some(drain) = drain {
                        drain.learn(summary.listed);
                    }
                }
                Some(order) => {
                    *drain = Some(DrainState {
                        order,
                        since: (held, at_version),
                        clear: [0; 3],
                        idle: 0,
                        listed_at_first: summary.listed,
                        listed: summary.listed,
                        removed: 0,
                    });
                }
            }
        }
    }

    fn apply_write(&self, world: &mut World, if_version: u8, rec: Rec) -> bool {
        let is_applied = if_version == world.version || self.is(Mutant::NoCompare);
        if is_applied {
            world.version += 1;
            world.record = rec;
        }
        is_applied
    }

    /// The process proposes a write, from the record that it knows.
    fn propose(&self, next: &mut Next, world: &World, p: Pid, step: Step, op: &Op) {
        self.propose_from(next, world, p, step, op, |_| {});
    }

    /// As `propose`, with `spend` taking the step out of what is left.
    fn propose_from(
        &self,
        next: &mut Next,
        world: &World,
        p: Pid,
        step: Step,
        op: &Op,
        spend: fn(&mut World),
    ) {
        let me = &world.processes[usize::from(p)];
        let Some((at_version, rec)) = me.known else {
            return;
        };
        if me.write.is_some() || me.is_unsettled {
            return;
        }
        if let Some(record) = self.records.apply(rec, op) {
            let mut world = world.clone();
            spend(&mut world);
            world.processes[usize::from(p)].write = Some((at_version, record));
            next.push((step, Ok(world)));
        }
    }

    fn holder_steps(&self, next: &mut Next, world: &World, p: Pid) {
        let me = &world.processes[usize::from(p)];
        let Some((_, rec)) = me.known else {
            return;
        };
        let summary = self.records.summary(rec);
        for engine in self.engines() {
            let Some(order) = summary.orders[engine] else {
                if world.left.orders > 0 {
                    let op = Op::Intend {
                        engine,
                        role: match summary.roles[engine] {
                            "prefill" => "decode",
                            _ => "prefill",
                        },
                        heeds_unreleased: !self.is(Mutant::IgnoreUnreleased),
                    };
                    self.propose_from(next, world, p, Step::Intend { p, engine }, &op, |world| {
                        world.left.orders -= 1;
                    });
                }
                continue;
            };
            let is_draining = order.phase == Phase::Draining;
            if is_draining && world.left.cancels > 0 {
                let (step, op) = (Step::Cancel { p, engine }, Op::Cancel { engine });
                self.propose_from(next, world, p, step, &op, |world| world.left.cancels -= 1);
            }
            let is_sender = order.senders[usize::from(p)];
            if let Some(mut drain) = me.drains[engine].filter(|_| !is_sender) {
                let asked = match self.mutant {
                    Some(Mutant::SkipRouters) => Some([false; 3]),
                    Some(Mutant::SuccessorSkipsDrain) if !is_draining => Some([false; 3]),
                    Some(Mutant::MissLateRouter) => Some(drain.listed_at_first),
                    _ => None,
                };
                if let Some(asked) = asked {
                    drain.listed = asked;
                }
                if self.is(Mutant::RemovalNeedsNoSample) {
                    (drain.listed, drain.removed) = ([false; 3], 0);
                }
                if !self.has_requests() {
                    drain.report_all(summary.listed);
                }
                let op = Op::Issue {
                    me: p,
                    engine,
                    drain,
                    asked,
                };
                self.propose(next, world, p, Step::Issue { p, engine }, &op);
            }
            if is_sender && self.is_in_effect(world, rec, engine) {
                let has_accepted = me.accepted[engine] == order.number;
                let op = Op::Complete {
                    me: p,
                    engine,
                    is_fence_raised: self.scenario.checks_fence
                        && (has_accepted || self.is(Mutant::AssumeFenceRaised)),
                    lists_me: !self.is(Mutant::ForgetOwnCopies),
                };
                self.propose(next, world, p, Step::Complete { p, engine }, &op);
            }
            let may_send = is_sender || (is_draining && self.is(Mutant::SendBeforeIssuing));
            let copies = world
                .transit
                .iter()
                .filter(|m| m.from == p && m.engine == engine);
            if may_send && me.hand.is_none() && copies.count() < 2 {
                let mut world = world.clone();
                world.processes[usize::from(p)].hand = Some(Message {
                    from: p,
                    engine,
                    order: order.number,
                    fence: me.held,
                    role: order.role,
                });
                next.push((Step::Check { p, engine }, Ok(world)));
            }
        }
        self.member_steps(next, world, p);
        if self.has_requests() {
            self.drain_steps(next, world, p, rec);
        }
    }

    /// The holder changes the router list and forgets former holders that are gone.
    fn member_steps(&self, next: &mut Next, world: &World, p: Pid) {
        for other in self.pids().filter(|other| *other != p) {
            let them = &world.processes[usize::from(other)];
            if them.life == Life::Up && world.left.joins > 0 {
                let op = Op::Register { router: other };
                let step = Step::Register { p, router: other };
                self.propose_from(next, world, p, step, &op, |world| world.left.joins -= 1);
            }
            if them.life == Life::Dead || self.is(Mutant::RemoveLiveRouter) {
                let op = Op::RemoveRouter { router: other };
                self.propose(next, world, p, Step::RemoveRouter { p, router: other }, &op);
            }
            let is_over = self
                .engines()
                .all(|engine| !world.may_arrive(other, engine));
            if them.life == Life::Dead && (is_over || self.is(Mutant::NoTransitBound)) {
                let op = Op::Forget { gone: other };
                self.propose(next, world, p, Step::Forget { p, gone: other }, &op);
            }
        }
    }

    /// The holder hands out tables and collects reports.
    fn drain_steps(&self, next: &mut Next, world: &World, p: Pid, rec: Rec) {
        let me = &world.processes[usize::from(p)];
        let counts_late = self.is(Mutant::CountAfterCheck);
        for router in self.pids() {
            let them = &world.processes[usize::from(router)];
            if them.life != Life::Up || !self.records.summary(rec).listed[usize::from(router)] {
                continue;
            }
            let table = self.table(me, rec);
            let is_news = them.table.is_none_or(|(old, open)| {
                (version(table.0) > version(old) || self.is(Mutant::TableGoesBack))
                    && (open != table.1 || old.0 != table.0.0)
            });
            if is_news {
                let mut world = world.clone();
                world.processes[usize::from(router)].table = Some(table);
                next.push((Step::Table { p, router }, Ok(world)));
            }
            for engine in self.engines() {
                let (Some(mut drain), Some((at, _))) = (me.drains[engine], them.table) else {
                    continue;
                };
                let now = drain.now() + 2;
                let before = drain.build();
                let mut after = before.clone();
                let count = them.in_flight(engine, counts_late);
                after.on_router_report(&process(router), version(at), count, now.into());
                if after != before {
                    drain.clear[usize::from(router)] = now;
                    // Only the time of the last report counts, so the order is left out of the state.
                    for at in drain.clear.iter_mut().filter(|at| **at > 0) {
                        *at = now;
                    }
                    let mut world = world.clone();
                    world.processes[usize::from(p)].drains[engine] = Some(drain);
                    next.push((Step::Report { p, router, engine }, Ok(world)));
                }
            }
        }
        for engine in self.engines() {
            let Some(mut drain) = me.drains[engine] else {
                continue;
            };
            let sampled = drain.now() + 1;
            let is_idle = !world.runs_requests(engine) || self.is(Mutant::OldIdleReport);
            if is_idle && drain.idle < sampled {
                drain.idle = sampled;
                let mut world = world.clone();
                world.processes[usize::from(p)].drains[engine] = Some(drain);
                next.push((Step::IdleSample { p, engine }, Ok(world)));
            }
        }
    }

    fn is_in_effect(&self, world: &World, rec: Rec, engine: usize) -> bool {
        let at = &world.engines[engine];
        let state = engine_state(at.role, at.changing_to.is_some());
        self.records.with(rec, |record| {
            let order = record.engines[engine].order.as_ref();
            order.is_some_and(|order| order::is_in_effect(order, &state))
        })
    }

    fn table(&self, holder: &Process, rec: Rec) -> Table {
        let at_version = holder.known.map_or(0, |(at_version, _)| at_version);
        let summary = self.records.summary(rec);
        let is_first = self.is(Mutant::FirstTableOpensAll) && summary.epoch > 1;
        let mut open = [false; 2];
        for engine in self.engines() {
            open[engine] = is_first || summary.orders[engine].is_none();
        }
        ((holder.held, at_version), open)
    }

    fn process_steps(&self, next: &mut Next, world: &World, p: Pid) {
        let i = usize::from(p);
        let me = &world.processes[i];
        let is_outdated = me
            .known
            .is_none_or(|(at_version, _)| at_version < world.version);
        let is_concerned =
            me.held > 0 || self.records.summary(world.record).unreleased[usize::from(p)];
        if me.write.is_none() && (me.is_unsettled || (is_outdated && is_concerned)) {
            let mut world = world.clone();
            world.processes[i].is_unsettled = false;
            let (at_version, rec) = (world.version, world.record);
            self.learn(&mut world, p, at_version, rec);
            next.push((Step::Read { p }, Ok(world)));
        }
        if me.held == 0 && world.left.takeovers > 0 && !me.is_unsettled {
            let op = Op::TakeOver {
                me: p,
                keeps_issuing: !self.is(Mutant::SuccessorDropsIssuing),
            };
            let mut reader = world.clone();
            reader.processes[i].known = Some((world.version, world.record));
            self.propose_from(next, &reader, p, Step::TakeOver { p }, &op, |world| {
                world.left.takeovers -= 1;
            });
        }
        let is_early = self.is(Mutant::ReleaseTooEarly);
        let pending = [0, 1].map(|engine| world.may_arrive(p, engine) && !is_early);
        if me
            .known
            .is_some_and(|(_, rec)| self.records.summary(rec).unreleased[i])
        {
            let op = Op::Release { me: p, pending };
            self.propose(next, world, p, Step::Release { p }, &op);
        }
        if me.held > 0 {
            self.holder_steps(next, world, p);
        }
        if let Some((if_version, rec)) = me.write {
            let mut after = world.clone();
            after.processes[i].write = None;
            let mut written = after.clone();
            if self.apply_write(&mut written, if_version, rec) {
                let at_version = written.version;
                self.learn(&mut written, p, at_version, rec);
            } else {
                written.processes[i].is_unsettled = true;
            }
            next.push((Step::Written { p }, Ok(written)));
            if world.left.lost_answers > 0 {
                after.left.lost_answers -= 1;
                after.processes[i].is_unsettled = true;
                let mut at_once = after.clone();
                if self.apply_write(&mut at_once, if_version, rec) {
                    next.push((Step::WrittenAnswerLost { p }, Ok(at_once)));
                }
                after.floating.push((if_version, rec));
                if self.is(Mutant::LostAnswerMeansWritten) {
                    after.processes[i].is_unsettled = false;
                    self.learn(&mut after, p, if_version + 1, rec);
                }
                next.push((Step::AnswerLost { p }, Ok(after)));
            }
        }
        if let Some(message) = me.hand {
            let mut world = world.clone();
            world.processes[i].hand = None;
            world.transit.push(message);
            world.transit.sort_unstable();
            next.push((Step::Send { p }, Ok(world)));
        }
        if world.left.kills > 0 {
            let mut world = world.clone();
            world.left.kills -= 1;
            let dead = std::mem::replace(&mut world.processes[i], Process::new(Life::Dead));
            world.floating.extend(dead.write);
            if let Some(Request::Running(engine)) = dead.request {
                world.engines[engine].orphans += 1;
            }
            next.push((Step::Kill { p }, Ok(world)));
        }
        self.request_steps(next, world, p);
    }

    fn request_steps(&self, next: &mut Next, world: &World, router: Pid) {
        let i = usize::from(router);
        let me = &world.processes[i];
        let Some((_, open)) = me.table else {
            let has_own = self.is(Mutant::LateRouterOwnTable);
            if has_own && self.records.summary(world.record).listed[i] {
                let mut world = world.clone();
                world.processes[i].table = Some(((0, 0), [true; 2]));
                next.push((Step::Table { p: router, router }, Ok(world)));
            }
            return;
        };
        let counts_late = self.is(Mutant::CountAfterCheck);
        let mut push = |step, request, begun: u8| {
            let mut world = world.clone();
            world.processes[i].request = request;
            world.left.requests -= begun;
            next.push((step, Ok(world)));
        };
        match me.request {
            None if world.left.requests > 0 => {
                for engine in self.engines().filter(|e| open[*e]) {
                    let request = Some(Request::Begun(engine));
                    push(Step::RequestBegins { router, engine }, request, 1);
                }
            }
            None => {}
            Some(Request::Begun(engine)) => {
                let is_taken = world.engines[engine].changing_to.is_none();
                let is_sent = is_taken && (open[engine] || counts_late);
                let request = is_sent.then_some(Request::Running(engine));
                push(Step::RequestRoutes { router }, request, 0);
            }
            Some(Request::Running(_)) => push(Step::RequestDone { router }, None, 0),
        }
    }

    /// An engine receives an order. What breaks a rule is found here.
    fn receive(&self, mut world: World, message: Message) -> Result<World, &'static str> {
        let engine = &mut world.engines[message.engine];
        if self.scenario.checks_fence && message.fence < engine.fence {
            return Ok(world);
        }
        engine.fence = engine.fence.max(message.fence);
        let is_changing = engine.changing_to.is_some();
        if engine.changing_to.is_some_and(|role| role != message.role) {
            return Err("the engine receives two conflicting orders");
        }
        if !is_changing && engine.role != message.role {
            engine.changing_to = Some(message.role);
            let recorded = self.records.summary(world.record).orders[message.engine];
            if recorded.is_none_or(|order| order.number != message.order) {
                return Err("an order that is not the recorded one takes effect");
            }
            if world.runs_requests(message.engine) {
                return Err("a planned change cuts a request");
            }
        }
        let sender = &mut world.processes[usize::from(message.from)];
        if sender.held == message.fence && sender.life == Life::Up {
            sender.accepted[message.engine] = message.order;
        }
        Ok(world)
    }
}

impl Model for Zone {
    type State = World;
    type Step = Step;

    fn initial(&self) -> World {
        let scenario = &self.scenario;
        let record = self.records.first(scenario.engines, scenario.listed);
        let life = |pid| {
            if scenario.up.contains(&pid) {
                Life::Up
            } else {
                Life::NotStarted
            }
        };
        let engine = Engine {
            role: "prefill",
            changing_to: None,
            fence: 0,
            orphans: 0,
        };
        let mut world = World {
            version: 1,
            record,
            processes: [0, 1, 2].map(|pid| Process::new(life(pid))),
            engines: [engine; 2],
            transit: Vec::new(),
            floating: Vec::new(),
            left: scenario.bounds,
        };
        for pid in scenario.up {
            self.learn(&mut world, *pid, 1, record);
        }
        let table = self.table(&world.processes[0], record);
        for pid in scenario.listed {
            world.processes[usize::from(*pid)].table = Some(table);
        }
        world
    }

    fn next(&self, world: &World) -> Next {
        let mut next = Vec::new();
        for p in self.pids() {
            if world.processes[usize::from(p)].life == Life::Up {
                self.process_steps(&mut next, world, p);
            }
        }
        if world
            .processes
            .get(1)
            .is_some_and(|process| process.life == Life::Dead)
            && world
                .processes
                .get(2)
                .is_some_and(|process| process.life == Life::NotStarted)
        {
            let mut world = world.clone();
            world.processes[2].life = Life::Up;
            next.push((Step::Restart, Ok(world)));
        }
        for (index, (if_version, rec)) in world.floating.iter().enumerate() {
            // A write that can no longer be applied is as good as lost.
            let mut world = world.clone();
            world.floating.remove(index);
            self.apply_write(&mut world, *if_version, *rec);
            next.push((Step::LateWrite { index }, Ok(world)));
        }
        for (index, message) in world.transit.iter().copied().enumerate() {
            let mut without = world.clone();
            without.transit.remove(index);
            if world.left.lost_orders > 0 {
                let mut lost = without.clone();
                lost.left.lost_orders -= 1;
                next.push((Step::Lose { message }, Ok(lost)));
            }
            next.push((Step::Deliver { message }, self.receive(without, message)));
            if world.left.doubled > 0 {
                let mut world = world.clone();
                world.left.doubled -= 1;
                let result = self.receive(world, message);
                next.push((Step::DeliverOnceMore { message }, result));
            }
        }
        for engine in self.engines() {
            if world.engines[engine].orphans > 0 {
                let mut done = world.clone();
                done.engines[engine].orphans -= 1;
                next.push((Step::OrphanDone { engine }, Ok(done)));
            }
            let Some(role) = world.engines[engine].changing_to else {
                continue;
            };
            let mut done = world.clone();
            done.engines[engine].changing_to = None;
            if world.left.engine_crashes > 0 {
                let mut crashed = done.clone();
                crashed.left.engine_crashes -= 1;
                next.push((Step::EngineCrash { engine }, Ok(crashed)));
            }
            done.engines[engine].role = role;
            next.push((Step::EngineDone { engine }, Ok(done)));
        }
        next
    }
}
