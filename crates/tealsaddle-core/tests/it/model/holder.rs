//! The specification of the holder of orders: two nodes, the store's key with its lease, and orders on
//! their way.
//!
//! Time is counted in ticks. Between any two steps of a node any time may pass, which stands for a frozen
//! process and for a lost or late answer. The store may take the key away at any moment without a word.
//! An order arrives in the tick in which it is sent or in the next one.

use tealsaddle_core::fleet::lease::{Authority, LeaseTerms};

use super::explore::{Model, Successors, explore};

const TERMS: LeaseTerms = LeaseTerms {
    ttl_us: 5,
    margin_us: 1,
    first_order_delay_us: 3,
    intent_valid_us: 1,
};
/// Ticks that are explored: enough for a change of the holder.
const END: u64 = 11;
/// Holders that take over in one run.
const MAX_HOLDERS: u64 = 2;
/// Renewals in one run.
const MAX_RENEWALS: u8 = 1;
/// Intents in one run.
const MAX_INTENTS: u8 = 3;
/// Ticks in which a sent order is still under way.
const TRANSIT: u64 = 1;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    /// The intent is written whoever holds the key.
    NoCondition,
    /// An order may follow its intent after any time.
    OldIntent,
    /// A new holder gives orders at once.
    NoWait,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct Node {
    authority: Option<Authority>,
    /// When a renewal was sent whose answer has not been read.
    renewing: Option<u64>,
    /// When the write of an intent was sent that succeeded.
    intent: Option<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Key {
    node: usize,
    fence: u64,
    ends: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct World {
    now: u64,
    revision: u64,
    key: Option<Key>,
    nodes: [Node; 2],
    /// Fence of an order under way, and the last tick in which it arrives.
    under_way: Vec<(u64, u64)>,
    highest_fence: u64,
    revocations: u8,
    renewals: u8,
    intents: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Tick,
    Take(usize),
    Renew(usize),
    RenewalRead(usize),
    Record(usize),
    Send(usize),
    Arrive(usize),
    Revoke,
}

struct Holder {
    mutant: Option<Mutant>,
}

impl Holder {
    fn terms(&self) -> LeaseTerms {
        let mut terms = TERMS;
        match self.mutant {
            Some(Mutant::NoWait) => terms.first_order_delay_us = 0,
            Some(Mutant::OldIntent) => terms.intent_valid_us = 100,
            Some(Mutant::NoCondition) | None => {}
        }
        terms
    }

    fn step(&self, world: &World, step: Step) -> Option<Result<World, &'static str>> {
        let mut next = world.clone();
        let now = world.now;
        match step {
            Step::Tick => {
                if now == END || world.under_way.iter().any(|(_fence, until)| *until == now) {
                    return None;
                }
                next.now += 1;
                next.key = world.key.filter(|key| key.ends > next.now);
            }
            Step::Take(n) => {
                let is_held = world.key.is_some() || world.nodes[n].authority.is_some();
                if is_held || world.revision == MAX_HOLDERS {
                    return None;
                }
                next.revision += 1;
                let fence = next.revision;
                next.key = Some(Key {
                    node: n,
                    fence,
                    ends: now + TERMS.ttl_us,
                });
                next.nodes[n].authority = Some(Authority::new(fence, now, now, self.terms()));
            }
            Step::Renew(n) => {
                let key = next.key.as_mut().filter(|key| key.node == n)?;
                if world.nodes[n].renewing.is_some() || world.nodes[n].authority.is_none() {
                    return None;
                }
                if world.renewals == MAX_RENEWALS {
                    return None;
                }
                next.renewals += 1;
                key.ends = now + TERMS.ttl_us;
                next.nodes[n].renewing = Some(now);
            }
            Step::RenewalRead(n) => {
                let sent = next.nodes[n].renewing.take()?;
                next.nodes[n].authority.as_mut()?.on_renewed(sent);
            }
            Step::Record(n) => {
                let authority = world.nodes[n].authority?;
                let holds = world.key.is_some_and(|key| key.fence == authority.fence);
                let may_write = holds || self.mutant == Some(Mutant::NoCondition);
                if !authority.may_order(now) || !may_write || world.nodes[n].intent == Some(now) {
                    return None;
                }
                if world.intents == MAX_INTENTS {
                    return None;
                }
                next.intents += 1;
                next.nodes[n].intent = Some(now);
            }
            Step::Send(n) => {
                let authority = world.nodes[n].authority?;
                let intent = next.nodes[n].intent.take()?;
                if !authority.may_send(intent, now) {
                    return None;
                }
                next.under_way.push((authority.fence, now + TRANSIT));
            }
            Step::Arrive(i) => {
                if i >= world.under_way.len() {
                    return None;
                }
                let (fence, _until) = next.under_way.remove(i);
                if fence < world.highest_fence {
                    return Some(Err("a lower fence arrives after a higher one"));
                }
                next.highest_fence = fence;
            }
            Step::Revoke => {
                if world.revocations == 1 || world.key.is_none() {
                    return None;
                }
                next.key = None;
                next.revocations += 1;
            }
        }
        // A node gives up once its lease is over by its own clock, before anything else it does.
        for node in &mut next.nodes {
            if node
                .authority
                .is_some_and(|authority| authority.is_expired(next.now))
            {
                *node = Node::default();
            }
        }
        Some(Ok(next))
    }
}

impl Model for Holder {
    type State = World;
    type Step = Step;

    fn initial(&self) -> World {
        World::default()
    }

    fn next(&self, world: &World) -> Successors<Self> {
        let of_node = |n: usize| {
            [
                Step::Take(n),
                Step::Renew(n),
                Step::RenewalRead(n),
                Step::Record(n),
                Step::Send(n),
            ]
        };
        let mut steps = vec![Step::Tick, Step::Revoke, Step::Arrive(0), Step::Arrive(1)];
        steps.extend(of_node(0));
        steps.extend(of_node(1));
        let taken = steps
            .into_iter()
            .filter_map(|step| self.step(world, step).map(|result| (step, result)));
        taken.collect()
    }
}

/// Guards against orders of two holders in the wrong order, whatever is frozen, lost or taken away.
#[test]
fn orders_of_two_holders_keep_their_order() {
    let found = explore(&Holder { mutant: None });
    assert_eq!(found.violation, None);
    assert!(found.states > 1_000, "{} states", found.states);
}

/// Guards against a specification that would also hold without the rules.
#[yare::parameterized(
    no_condition = { Mutant::NoCondition },
    old_intent = { Mutant::OldIntent },
    no_wait = { Mutant::NoWait },
)]
fn holder_mutants_are_found(mutant: Mutant) {
    let found = explore(&Holder {
        mutant: Some(mutant),
    });
    assert!(found.violation.is_some(), "{mutant:?} is not found");
}
