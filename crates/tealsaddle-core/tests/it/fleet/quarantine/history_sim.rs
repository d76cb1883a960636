//! Simulation of a service whose runners crash, in the background and on a deadly part.
//!
//! Requests arrive at random nodes and go to random runners that are up. Each node knows only what it sends and
//! sees; two times later the losses reach the collector, which asks some nodes and decides as the gateway does.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tealsaddle_core::fleet::PromptPart;
use tealsaddle_core::fleet::quarantine::SURVIVAL_US;
use tealsaddle_core::fleet::quarantine::accounts::{CrashAccounts, Loss, RunnerProcess, Suspicion};
use tealsaddle_core::fleet::quarantine::subject::{RequestDigest, Subject, SubjectKey};
use tealsaddle_core::fleet::quarantine::survivals::Survivals;
use tealsaddle_core::name::Name;

pub const MS: u64 = 1_000;
pub const SECOND: u64 = 1_000 * MS;

/// Id of the deadly part.
pub const DEADLY: u64 = 0xdead;
/// First shared parts, of which requests choose one; the first of them begins the deadly prompts.
const FIRST_PARTS: u64 = 4;
/// Second shared parts for each first one. The last of them are asked for a few times only.
const SECOND_PARTS: u64 = 48;
/// Mean number of requests of a session.
const SESSION_REQUESTS: u64 = 3;
/// Time within which a session sends its requests.
const SESSION_TIME: u64 = 10 * SECOND;
/// Id of the first session.
const FIRST_SESSION: u64 = 100_000;
/// Numbers of nodes that are asked for survivals, first and if they know of none.
const ASKED: [usize; 2] = [12, 72];
/// Time after the fifth crash in which the platform allows any number of deadly requests.
const CONTACT: u64 = 3 * SECOND;
/// Time for which a crashed runner is down.
const DOWN: u64 = 3 * SECOND;
/// Time from a decision until all nodes refuse the requests.
const SPREAD: u64 = 30 * MS;

/// What happens in a history.
#[derive(Debug, Clone, Copy)]
pub struct History {
    pub nodes: usize,
    pub runners: usize,
    pub requests_per_s: u64,
    /// Share of the requests with the deadly part, in 1,000.
    pub deadly_per_mille: u64,
    /// Every four seconds this share of the runners crashes, in percent.
    pub crashing_percent: u64,
    /// Share of the requests that belong to a session with a shared part of its own, in percent.
    pub session_percent: u64,
    /// Time before the first deadly request and the first crash, in seconds.
    pub warm_up_s: u64,
    pub duration_s: u64,
}

/// What came of a history.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Outcome {
    /// Runners that the deadly part ended.
    pub deadly_crashes: usize,
    /// Of these, the number until the decision; `None` if there was none.
    pub crashes_until_decision: Option<usize>,
    /// Time from the first crash to the decision.
    pub decided_after_ms: Option<u64>,
    /// Deadly requests that were sent to runners more than the contact time after the fifth crash.
    pub late_requests: usize,
    /// Sound parts that were found to be deadly.
    pub false_alarms: usize,
    /// Sound requests that were found to be deadly.
    pub false_request_alarms: usize,
    /// Sound requests that were lost with their runners before they had survived.
    pub losses: usize,
}

#[derive(Debug, Clone)]
struct Request {
    node: usize,
    parts: Vec<u64>,
    own_part: u64,
    /// Whether the gateway sends it again when its runner is lost.
    is_resumable: bool,
    /// Whether its caller repeats it.
    is_first_try: bool,
    runner: usize,
    sent_us: u64,
    begun_us: Option<u64>,
}

impl Request {
    /// The same for all repeats of a request.
    fn digest(&self) -> RequestDigest {
        RequestDigest::of([&self.own_part.to_be_bytes()[..]])
    }

    fn subjects(&self) -> impl Iterator<Item = Subject> {
        let parts = self.parts.iter().map(|part| Subject::Part(*part));
        parts.chain([Subject::Request(self.digest())])
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Begin(u64),
    /// The stream has lasted long enough, or has ended.
    Survive(u64),
    End(u64),
    /// The runner crashes, if it is still the process of that start.
    Crash(usize, u64),
    BackgroundCrashes,
    /// A lost request is sent again.
    Resend(u64),
    /// Losses of one process at one node reach the collector.
    Report(u64),
    Decide(u64),
}

#[derive(Debug, Clone, Copy, Default)]
struct Runner {
    start: u64,
    up_from_us: u64,
}

struct Simulation {
    history: History,
    rng: ChaCha8Rng,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    running: BTreeMap<u64, Request>,
    /// Requests that are sent again in a moment.
    lost: BTreeMap<u64, Request>,
    next_id: u64,
    runners: Vec<Runner>,
    nodes: Vec<Survivals>,
    accounts: CrashAccounts,
    reports: BTreeMap<u64, Vec<Loss>>,
    suspicions: BTreeMap<u64, Suspicion>,
    /// What was decided, with the time from which all nodes know.
    decided: BTreeMap<Subject, u64>,
    /// Digests of the requests with the deadly part.
    deadly_requests: BTreeSet<RequestDigest>,
    /// Times of the crashes on the deadly part.
    crashes_us: Vec<u64>,
    outcome: Outcome,
}

/// Plays a history.
pub fn play(history: History, seed: u64) -> Outcome {
    let mut simulation = Simulation {
        history,
        rng: ChaCha8Rng::seed_from_u64(seed),
        now_us: 0,
        events: BinaryHeap::new(),
        running: BTreeMap::new(),
        lost: BTreeMap::new(),
        next_id: 0,
        runners: vec![Runner::default(); history.runners],
        nodes: (0..history.nodes).map(|_| Survivals::default()).collect(),
        accounts: CrashAccounts::default(),
        reports: BTreeMap::new(),
        suspicions: BTreeMap::new(),
        decided: BTreeMap::new(),
        deadly_requests: BTreeSet::new(),
        crashes_us: Vec::new(),
        outcome: Outcome::default(),
    };
    simulation.run();
    simulation.outcome
}

fn service() -> Name {
    Name::from("readers")
}

impl Simulation {
    fn run(&mut self) {
        self.schedule(0, Event::Arrival);
        if self.history.crashing_percent > 0 {
            self.schedule(self.history.warm_up_s * SECOND, Event::BackgroundCrashes);
        }
        while let Some(Reverse((at_us, event))) = self.events.pop() {
            if at_us > self.history.duration_s * SECOND {
                break;
            }
            self.now_us = at_us;
            self.on_event(event);
        }
    }

    fn schedule(&mut self, after_us: u64, event: Event) {
        self.events.push(Reverse((self.now_us + after_us, event)));
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Arrival => self.on_arrival(),
            Event::Begin(id) => self.on_begin(id),
            Event::Survive(id) => self.on_survive(id),
            Event::End(id) => {
                self.running.remove(&id);
            }
            Event::Crash(runner, start) => {
                if self.runners[runner].start == start {
                    self.outcome.deadly_crashes += 1;
                    self.crashes_us.push(self.now_us);
                    self.crash(runner);
                }
            }
            Event::BackgroundCrashes => self.on_background_crashes(),
            Event::Resend(id) => {
                let request = self.lost.remove(&id).expect("it was scheduled");
                self.send(request);
            }
            Event::Report(id) => self.on_report(id),
            Event::Decide(id) => self.on_decide(id),
        }
    }

    fn on_arrival(&mut self) {
        let pause = 1_000_000 / self.history.requests_per_s;
        let pause = self.rng.random_range(0..2 * pause);
        self.schedule(pause, Event::Arrival);
        let is_drawn = self.rng.random_range(0..1_000) < self.history.deadly_per_mille;
        let is_deadly = is_drawn && self.now_us >= self.history.warm_up_s * SECOND;
        let parts = if is_deadly {
            vec![0, 100, DEADLY]
        } else {
            self.draw_parts()
        };
        let own_part = 1_000_000 + self.next_id;
        let request = Request {
            node: self.rng.random_range(0..self.history.nodes),
            parts,
            own_part,
            is_resumable: self.rng.random(),
            is_first_try: true,
            runner: 0,
            sent_us: 0,
            begun_us: None,
        };
        self.send(request);
    }

    /// Sends a request to a runner, unless it is refused or no runner is up.
    fn send(&mut self, mut request: Request) {
        if request.subjects().any(|subject| self.is_refused(subject)) {
            return;
        }
        let is_up = |runner: &usize| self.runners[*runner].up_from_us <= self.now_us;
        let up: Vec<usize> = (0..self.runners.len()).filter(is_up).collect();
        if up.is_empty() {
            return;
        }
        let is_deadly = request.parts.contains(&DEADLY);
        if is_deadly {
            self.deadly_requests.insert(request.digest());
        }
        let is_late = |fifth_us: &u64| self.now_us > fifth_us + CONTACT;
        let is_late = is_deadly && self.crashes_us.get(4).is_some_and(is_late);
        self.outcome.late_requests += usize::from(is_late);
        request.runner = up[self.rng.random_range(0..up.len())];
        request.sent_us = self.now_us;
        request.begun_us = None;
        let start = self.runners[request.runner].start;
        let id = self.next_id;
        self.next_id += 1;
        let until_begin = self.rng.random_range(50 * MS..180 * MS);
        if is_deadly {
            self.schedule(until_begin, Event::Crash(request.runner, start));
        } else {
            self.schedule(until_begin, Event::Begin(id));
        }
        self.running.insert(id, request);
    }

    /// Sends a lost request again: the gateway at once, or the caller after a moment to any node.
    fn resend(&mut self, mut request: Request) {
        let after = if request.is_resumable {
            request.is_resumable = false;
            MS
        } else if request.is_first_try {
            request.is_first_try = false;
            request.is_resumable = self.rng.random();
            request.node = self.rng.random_range(0..self.history.nodes);
            self.rng.random_range(200 * MS..800 * MS)
        } else {
            return;
        };
        let id = self.next_id;
        self.next_id += 1;
        self.lost.insert(id, request);
        self.schedule(after, Event::Resend(id));
    }

    /// Shared parts of a sound prompt.
    fn draw_parts(&mut self) -> Vec<u64> {
        let first = self.rng.random_range(0..FIRST_PARTS);
        if self.rng.random_range(0..100) < self.history.session_percent {
            let sessions_per_s = self.history.requests_per_s * self.history.session_percent
                / (100 * SESSION_REQUESTS);
            let open = sessions_per_s * SESSION_TIME / SECOND;
            let newest = self.now_us * sessions_per_s / SECOND + open;
            let session = newest - self.rng.random_range(0..open);
            return vec![first, FIRST_SESSION + session];
        }
        // Squared, so that some second parts are asked for often and others rarely.
        let drawn: f64 = self.rng.random();
        let second = (drawn * drawn * SECOND_PARTS as f64) as u64;
        vec![first, 100 + first * SECOND_PARTS + second]
    }

    fn is_refused(&self, subject: Subject) -> bool {
        self.decided
            .get(&subject)
            .is_some_and(|from_us| *from_us <= self.now_us)
    }

    fn on_begin(&mut self, id: u64) {
        let now_us = self.now_us;
        let duration = self.rng.random_range(50 * MS..1_500 * MS);
        let Some(request) = self.running.get_mut(&id) else {
            return;
        };
        request.begun_us = Some(now_us);
        self.schedule(duration.min(SURVIVAL_US), Event::Survive(id));
        self.schedule(duration, Event::End(id));
    }

    fn on_survive(&mut self, id: u64) {
        let Some(request) = self.running.get(&id) else {
            return;
        };
        let own = [request.own_part];
        let ids = request.parts.iter().chain(&own);
        let parts: Vec<PromptPart> = ids.map(|id| PromptPart { id: *id, tokens: 1 }).collect();
        let begun_us = request.begun_us.expect("it has begun");
        let digest = request.digest();
        self.nodes[request.node].on_survived(&service(), digest, &parts, begun_us);
    }

    fn on_background_crashes(&mut self) {
        let mut order: Vec<usize> = (0..self.runners.len()).collect();
        order.shuffle(&mut self.rng);
        let count = self.runners.len() * self.history.crashing_percent as usize / 100;
        for runner in order.into_iter().take(count) {
            self.crash(runner);
        }
        self.schedule(4 * SECOND, Event::BackgroundCrashes);
    }

    /// Ends a process: its streams are lost, and each node with any reports those that had not survived.
    fn crash(&mut self, runner: usize) {
        let process = RunnerProcess {
            runner: Name::from(format!("r{runner}")),
            started_unix_ms: self.runners[runner].start,
        };
        self.runners[runner].start += 1;
        self.runners[runner].up_from_us = self.now_us + DOWN;
        let at_runner = self.running.iter().filter(|(_id, r)| r.runner == runner);
        let ids: Vec<u64> = at_runner.map(|(id, _request)| *id).collect();
        let mut by_node: BTreeMap<usize, Vec<Loss>> = BTreeMap::new();
        for id in ids {
            let request = self.running.remove(&id).expect("it runs");
            let has_survived = |begun_us: u64| begun_us + SURVIVAL_US <= self.now_us;
            if request.begun_us.is_some_and(has_survived) {
                continue;
            }
            self.outcome.losses += usize::from(!request.parts.contains(&DEADLY));
            by_node.entry(request.node).or_default().push(Loss {
                process: process.clone(),
                request_id: request.own_part.to_string(),
                request: Some(request.digest()),
                shared_parts: request.parts.clone(),
                own_part: request.own_part,
                sent_us: request.sent_us,
                lost_us: self.now_us,
                error_us: MS,
                has_begun: request.begun_us.is_some(),
            });
            self.resend(request);
        }
        for losses in by_node.into_values() {
            let id = self.next_id;
            self.next_id += 1;
            self.reports.insert(id, losses);
            let delay = self.rng.random_range(22 * MS..60 * MS);
            self.schedule(delay, Event::Report(id));
        }
    }

    fn on_report(&mut self, id: u64) {
        for loss in self.reports.remove(&id).unwrap_or_default() {
            let parts = loss.shared_parts.iter().map(|part| Subject::Part(*part));
            let mut subjects = parts.chain(loss.request.map(Subject::Request));
            if subjects.any(|subject| self.decided.contains_key(&subject)) {
                continue;
            }
            for suspicion in self.accounts.on_loss(&service(), loss) {
                let id = self.next_id;
                self.next_id += 1;
                self.suspicions.insert(id, suspicion);
                let delay = self.rng.random_range(3 * MS..20 * MS);
                self.schedule(delay, Event::Decide(id));
            }
        }
    }

    /// Asks some nodes when the suspected parts survived, and decides.
    fn on_decide(&mut self, id: u64) {
        let suspicion = self.suspicions.remove(&id).expect("it was scheduled");
        let mut nodes: Vec<usize> = (0..self.nodes.len()).collect();
        nodes.shuffle(&mut self.rng);
        let survived_us = |subject: Subject, asked: usize| {
            let key = SubjectKey::new(&service(), subject);
            let asked = nodes.iter().take(asked);
            asked
                .filter_map(|node| self.nodes[*node].survived_us(&key))
                .max()
        };
        let is_suspect = suspicion
            .cause(|subject| survived_us(subject, ASKED[0]))
            .is_some();
        let asked = if is_suspect { ASKED[1] } else { ASKED[0] };
        let survived_us = |subject: Subject| survived_us(subject, asked);
        for subject in &suspicion.subjects {
            if let Some(at_us) = survived_us(*subject) {
                self.accounts
                    .on_survived(&SubjectKey::new(&service(), *subject), at_us);
            }
        }
        let Some(cause) = suspicion.cause(survived_us) else {
            return;
        };
        if self.decided.contains_key(&cause) {
            return;
        }
        let key = SubjectKey::new(&service(), cause);
        if !self.accounts.on_decided(&key, self.now_us) {
            return;
        }
        self.decided.insert(cause, self.now_us + SPREAD);
        if let Subject::Request(digest) = cause {
            let is_sound = !self.deadly_requests.contains(&digest);
            self.outcome.false_request_alarms += usize::from(is_sound);
            return;
        }
        if cause != Subject::Part(DEADLY) {
            self.outcome.false_alarms += 1;
            return;
        }
        self.outcome.crashes_until_decision = Some(self.outcome.deadly_crashes);
        let first_us = self.crashes_us.first();
        let since = first_us.map(|first_us| (self.now_us - first_us) / MS);
        self.outcome.decided_after_ms = since;
    }
}
