//! Drawn histories of nodes that lose their paths to runners and borrow those of others.
//!
//! Time passes in steps. In each, every node opens a connection to a random runner, as the gateway does: directly, and
//! through other nodes if that fails or hangs.

use std::fmt::Write as _;
use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tealsaddle_core::fleet::change_sources::Member;
use tealsaddle_core::fleet::paths::{LenderAnswer, Paths, Way};
use yare::parameterized;

use super::SECOND_US;

/// Time between two connections of a node.
const STEP_US: u64 = 50_000;
/// Beginning and end of the cut.
const CUT_US: [u64; 2] = [2 * SECOND_US, 10 * SECOND_US];
/// End of the history.
const END_US: u64 = 14 * SECOND_US;
/// Time from the beginning of a cut from which requests have to be served.
const CONTACT_US: u64 = 3 * SECOND_US;
/// Time that a request may wait for a connection.
const LIMIT_US: u64 = 500_000;
/// Time of a connect that hangs before other nodes are asked, and at a node that is asked.
const HANG_US: u64 = 100_000;
/// Longest time for which a node waits for the answer of another one.
const ANSWER_US: u64 = 150_000;
/// Time of a connect or a message.
const MESSAGE_US: u64 = 2_000;
/// Number of runners of the second service; the others are of the first.
const SECOND_SERVICE: usize = 3;

/// Who is cut off from what.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Cut {
    /// A share of the nodes from all runners.
    Share(f64),
    /// All nodes of a zone from all runners.
    Zone,
    /// A share of the nodes from the runners of the second service.
    Service(f64),
    /// A third of the runners is down.
    RunnersDown,
    /// All nodes of a zone are cut off, while a third of the runners is down.
    ZoneAndRunnersDown,
}

struct Node {
    member: Member,
    paths: Paths,
    is_cut: bool,
}

struct Fleet {
    nodes: Vec<Node>,
    members: Vec<Member>,
    runners: Vec<SocketAddr>,
    down: usize,
    cut: Cut,
    hangs: bool,
    now_us: u64,
    random: ChaCha8Rng,
    outcome: Outcome,
    asked: u64,
    borrowed: Vec<u64>,
}

/// What came of a history.
#[derive(Debug, Default)]
struct Outcome {
    /// Requests of cut nodes to runners that are up, and those that got no connection in time, in all and once the cut
    /// has lasted for [`CONTACT_US`].
    requests: u64,
    failed: u64,
    late_failed: u64,
    /// Longest time for a connection after [`CONTACT_US`].
    slowest_us: u64,
    /// Connections to runners that are up and were taken for down by a node.
    false_down: u64,
    /// Questions to other nodes in the whole history, for each node.
    asked_per_node: f64,
    /// The largest share of all borrowed paths that one node has lent, times the number of nodes that lend.
    favourite: f64,
    /// Paths that are borrowed at the end, after the cut.
    borrowed_at_end: usize,
}

impl Fleet {
    fn open(count: usize, zones: usize, cut: Cut, hangs: bool, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let members: Vec<Member> = (0..count)
            .map(|number| Member {
                address: ([10, 0, (number / 200) as u8, (number % 200) as u8], 80).into(),
                zone: format!("z{}", number % zones).as_str().into(),
            })
            .collect();
        let is_cut = |member: &Member, random: &mut ChaCha8Rng| match cut {
            Cut::Share(share) | Cut::Service(share) => random.random_bool(share),
            Cut::Zone | Cut::ZoneAndRunnersDown => *member.zone == *"z0",
            Cut::RunnersDown => false,
        };
        let node = |member: &Member| Node {
            is_cut: is_cut(member, &mut random),
            member: member.clone(),
            paths: Paths::default(),
        };
        let nodes: Vec<Node> = members.iter().map(node).collect();
        let runners = (count * 2).max(9);
        Self {
            nodes,
            members,
            runners: (0..runners)
                .map(|number| ([10, 1, (number / 200) as u8, (number % 200) as u8], 80).into())
                .collect(),
            down: match cut {
                Cut::RunnersDown | Cut::ZoneAndRunnersDown => runners / 3,
                Cut::Share(_) | Cut::Zone | Cut::Service(_) => 0,
            },
            cut,
            hangs,
            now_us: 0,
            random,
            outcome: Outcome::default(),
            asked: 0,
            borrowed: vec![0; count],
        }
    }

    fn is_cut_now(&self) -> bool {
        (CUT_US[0]..CUT_US[1]).contains(&self.now_us)
    }

    fn is_up(&self, runner: usize) -> bool {
        !self.is_cut_now() || runner >= self.down
    }

    fn reaches(&self, node: usize, runner: usize) -> bool {
        let is_of_cut = !matches!(self.cut, Cut::Service(_)) || runner < SECOND_SERVICE;
        let is_cut = self.nodes[node].is_cut && is_of_cut && self.is_cut_now();
        !is_cut && self.is_up(runner)
    }

    /// Time of a connect that fails, as a node sees it.
    const fn failure_us(&self) -> u64 {
        if self.hangs { HANG_US } else { MESSAGE_US }
    }

    fn connect_directly(&mut self, node: usize, runner: usize) -> bool {
        let is_connected = self.reaches(node, runner);
        let (address, now_us) = (self.runners[runner], self.now_us);
        let paths = &mut self.nodes[node].paths;
        if is_connected {
            paths.on_connected(address, now_us);
        } else {
            paths.on_failed(address, now_us);
        }
        is_connected
    }

    /// The answer of a node that is asked for its path, and the time that it takes.
    fn answer(&mut self, lender: usize, runner: usize) -> (LenderAnswer, u64) {
        let address = self.runners[runner];
        if self.nodes[lender].paths.way(address, self.now_us) == Way::Borrowed {
            return (LenderAnswer::Unable, MESSAGE_US);
        }
        if self.reaches(lender, runner) {
            return (LenderAnswer::Connected, 2 * MESSAGE_US);
        }
        let mut took_us = MESSAGE_US + self.failure_us();
        let others = self.runners.len() - 1;
        let other = (runner + 1 + self.random.random_range(0..others)) % self.runners.len();
        if !self.connect_directly(lender, other) {
            took_us += self.failure_us();
            return (LenderAnswer::Unable, took_us);
        }
        (LenderAnswer::RunnerUnreachable, took_us)
    }

    /// Time until there is a connection; `None` if there is none.
    fn connect(&mut self, node: usize, runner: usize) -> Option<u64> {
        let address = self.runners[runner];
        let mut took_us = MESSAGE_US;
        match self.nodes[node].paths.way(address, self.now_us) {
            Way::Direct => {
                if self.connect_directly(node, runner) {
                    return Some(took_us);
                }
                took_us = self.failure_us();
            }
            Way::Borrowed => {
                if self.nodes[node].paths.begin_trial(address, self.now_us) {
                    self.connect_directly(node, runner);
                }
            }
        }
        let now_us = self.now_us;
        if self.nodes[node].paths.is_down(address, now_us) {
            self.outcome.false_down += u64::from(self.is_up(runner));
            return None;
        }
        let number = self.random.random();
        let own = &self.nodes[node];
        let others: Vec<Member> = self
            .members
            .iter()
            .filter(|m| **m != own.member)
            .cloned()
            .collect();
        let mut search = own.paths.search(&others, &own.member.zone, number, now_us);
        while let Some(lender) = search.next() {
            let place = self
                .members
                .iter()
                .position(|m| *m == lender)
                .expect("a member");
            self.asked += 1;
            let (answer, answer_us) = self.answer(place, runner);
            let is_in_time = answer_us < ANSWER_US;
            let answer = if is_in_time {
                answer
            } else {
                LenderAnswer::Unable
            };
            let answer_us = answer_us.min(ANSWER_US);
            took_us += answer_us;
            let paths = &mut self.nodes[node].paths;
            paths.on_lender_answer(&mut search, address, &lender, answer, now_us);
            if answer == LenderAnswer::Connected {
                // The request ends within the step.
                paths.on_returned(lender.address);
                self.borrowed[place] += 1;
                return Some(took_us);
            }
        }
        self.nodes[node]
            .paths
            .on_not_found(&search, address, now_us);
        None
    }

    fn run(mut self) -> Outcome {
        while self.now_us < END_US {
            for node in 0..self.nodes.len() {
                let runner = self.random.random_range(0..self.runners.len());
                let took_us = self.connect(node, runner);
                if !self.nodes[node].is_cut || !self.is_cut_now() || !self.is_up(runner) {
                    continue;
                }
                let is_late = self.now_us >= CUT_US[0] + CONTACT_US;
                let is_served = took_us.is_some_and(|us| us < LIMIT_US);
                self.outcome.requests += 1;
                self.outcome.failed += u64::from(!is_served);
                if is_late {
                    self.outcome.late_failed += u64::from(!is_served);
                    self.outcome.slowest_us = self.outcome.slowest_us.max(took_us.unwrap_or(0));
                }
            }
            self.now_us += STEP_US;
        }
        let broken = |node: &Node| {
            let mut runners = self.runners.iter();
            runners.any(|runner| node.paths.way(*runner, END_US) == Way::Borrowed)
        };
        let all: u64 = self.borrowed.iter().sum();
        let lenders = self.nodes.iter().filter(|node| !node.is_cut).count();
        let most = self.borrowed.iter().max().copied().unwrap_or(0);
        Outcome {
            asked_per_node: self.asked as f64 / self.nodes.len() as f64,
            favourite: most as f64 * lenders as f64 / all.max(1) as f64,
            borrowed_at_end: self.nodes.iter().filter(|node| broken(node)).count(),
            ..self.outcome
        }
    }
}

/// Numbers of nodes with the zones in which they are.
const FLEETS: [(usize, usize); 3] = [(7, 3), (74, 3), (360, 11)];

/// Guards against requests that fail at nodes which are cut off from runners, while other nodes reach them.
#[parameterized(
    some_hang = { Cut::Share(0.4), true },
    some_are_refused = { Cut::Share(0.4), false },
    zone_hangs = { Cut::Zone, true },
    zone_is_refused = { Cut::Zone, false },
    service_hangs = { Cut::Service(0.4), true },
    zone_beside_runners_down = { Cut::ZoneAndRunnersDown, true },
)]
fn cut_nodes_get_connections_through_others(cut: Cut, hangs: bool) {
    for (count, zones) in FLEETS {
        for seed in 0..4 {
            let fleet = Fleet::open(count, zones, cut, hangs, seed);
            if fleet.nodes.iter().all(|node| node.is_cut) {
                continue;
            }
            let outcome = fleet.run();
            let case = format!("{count} nodes, seed {seed}: {outcome:?}");
            assert!(outcome.late_failed * 50 <= outcome.requests, "{case}");
            assert!(outcome.failed * 10 <= outcome.requests, "{case}");
        }
    }
}

/// Guards against nodes that ask others again and again about runners that are down.
#[parameterized(hangs = { true }, is_refused = { false })]
fn runners_that_are_down_are_not_asked_about_again_and_again(hangs: bool) {
    for (count, zones) in FLEETS {
        let outcome = Fleet::open(count, zones, Cut::RunnersDown, hangs, 1).run();
        let connects = (CUT_US[1] - CUT_US[0]) as f64 / STEP_US as f64;
        assert!(
            outcome.asked_per_node < connects * 2.0,
            "{count} nodes: {outcome:?}"
        );
    }
}

/// Shows what cuts cost, and how evenly paths are lent.
#[test]
fn ways_to_runners_beside_cuts() {
    let cuts = [
        (Cut::Share(0.4), true),
        (Cut::Share(0.4), false),
        (Cut::Zone, true),
        (Cut::Zone, false),
        (Cut::Service(0.4), true),
        (Cut::RunnersDown, true),
        (Cut::RunnersDown, false),
        (Cut::ZoneAndRunnersDown, true),
    ];
    let mut table = String::new();
    for (cut, hangs) in cuts {
        writeln!(table, "{cut:?}, hangs {hangs}").expect("writing to a string cannot fail");
        for (count, zones) in FLEETS {
            let outcome = Fleet::open(count, zones, cut, hangs, 1).run();
            let share = |failed: u64| failed as f64 * 100.0 / outcome.requests.max(1) as f64;
            writeln!(
                table,
                "  {count} nodes: {:.1}% failed, {:.1}% after 3 s; slowest {} ms, {:.0} questions a node, \
                 busiest lender {:.1} times the mean, falsely down {}, broken at the end {}",
                share(outcome.failed),
                share(outcome.late_failed),
                outcome.slowest_us / 1_000,
                outcome.asked_per_node,
                outcome.favourite,
                outcome.false_down,
                outcome.borrowed_at_end
            )
            .expect("writing to a string cannot fail");
        }
    }
    insta::assert_snapshot!(table);
}
