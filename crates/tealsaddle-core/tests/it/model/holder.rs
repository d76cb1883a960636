//! Model of the lease that permits a node to send orders: two nodes, the key in the store with its
//! lease, and orders in transit.
//!
//! Time is counted in ticks. Any number of ticks may pass between two steps of a node, which models
//! a frozen process and a lost or late response. The store may delete the key at any time without
//! notifying its holder. An order arrives in the tick in which it is sent or in the next one.

use tealsaddle_core::fleet::lease::{Authority, LeaseTerms};

use super::explore::{Model, Successors, explore};

const TERMS: LeaseTerms = LeaseTerms {
    ttl_us: 5,
    margin_us: 1,
    first_order_delay_us: 3,
    intent_valid_us: 1,
};
/// Last tick that is explored, late enough for a change of the holder.
const LAST_TICK: u64 = 11;
/// Largest number of times that a node becomes the holder in one run.
const MAX_HOLDERS: u64 = 2;
/// Largest number of renewals in one run.
const MAX_RENEWALS: u8 = 1;
/// Largest number of intents in one run.
const MAX_INTENTS: u8 = 3;
/// Largest number of ticks for which an order is in transit.
const MAX_TRANSIT_TICKS: u64 = 1;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    /// An intent is written without the condition that the node holds the key.
    NoCondition,
    /// An order may be sent any time after its intent was written.
    OldIntent,
    /// A new holder may send orders immediately.
    NoWait,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct Node {
    authority: Option<Authority>,
    /// Time at which a renewal was sent; `None` once its response was read.
    renewal_sent_at: Option<u64>,
    /// Time of the last successful write of an intent; `None` once an order was sent for it.
    intent_written_at: Option<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Key {
    node: usize,
    fence: u64,
    expires_at: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct LeaseState {
    now: u64,
    revision: u64,
    key: Option<Key>,
    nodes: [Node; 2],
    /// Fencing token of each order in transit, and the last tick in which it can arrive.
    in_transit: Vec<(u64, u64)>,
    highest_fence: u64,
    revocations: u8,
    renewals: u8,
    intents: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Tick,
    Acquire(usize),
    Renew(usize),
    RenewalConfirmed(usize),
    WriteIntent(usize),
    Send(usize),
    Deliver(usize),
    Revoke,
}

struct LeaseModel {
    mutant: Option<Mutant>,
}

impl LeaseModel {
    fn terms(&self) -> LeaseTerms {
        let mut terms = TERMS;
        match self.mutant {
            Some(Mutant::NoWait) => terms.first_order_delay_us = 0,
            Some(Mutant::OldIntent) => terms.intent_valid_us = 100,
            Some(Mutant::NoCondition) | None => {}
        }
        terms
    }

    fn step(&self, state: &LeaseState, step: Step) -> Option<Result<LeaseState, &'static str>> {
        let mut next = state.clone();
        let now = state.now;
        match step {
            Step::Tick => {
                if now == LAST_TICK || state.in_transit.iter().any(|(_fence, until)| *until == now)
                {
                    return None;
                }
                next.now += 1;
                next.key = state.key.filter(|key| key.expires_at > next.now);
            }
            Step::Acquire(n) => {
                let is_held = state.key.is_some() || state.nodes[n].authority.is_some();
                if is_held || state.revision == MAX_HOLDERS {
                    return None;
                }
                next.revision += 1;
                let fence = next.revision;
                next.key = Some(Key {
                    node: n,
                    fence,
                    expires_at: now + TERMS.ttl_us,
                });
                next.nodes[n].authority = Some(Authority::new(fence, now, now, self.terms()));
            }
            Step::Renew(n) => {
                let key = next.key.as_mut().filter(|key| key.node == n)?;
                if state.nodes[n].renewal_sent_at.is_some() || state.nodes[n].authority.is_none() {
                    return None;
                }
                if state.renewals == MAX_RENEWALS {
                    return None;
                }
                next.renewals += 1;
                key.expires_at = now + TERMS.ttl_us;
                next.nodes[n].renewal_sent_at = Some(now);
            }
            Step::RenewalConfirmed(n) => {
                let sent = next.nodes[n].renewal_sent_at.take()?;
                next.nodes[n].authority.as_mut()?.on_renewed(sent);
            }
            Step::WriteIntent(n) => {
                let authority = state.nodes[n].authority?;
                let is_holder = state.key.is_some_and(|key| key.fence == authority.fence);
                let may_write = is_holder || self.mutant == Some(Mutant::NoCondition);
                if !authority.may_order(now)
                    || !may_write
                    || state.nodes[n].intent_written_at == Some(now)
                {
                    return None;
                }
                if state.intents == MAX_INTENTS {
                    return None;
                }
                next.intents += 1;
                next.nodes[n].intent_written_at = Some(now);
            }
            Step::Send(n) => {
                let authority = state.nodes[n].authority?;
                let intent = next.nodes[n].intent_written_at.take()?;
                if !authority.may_send(intent, now) {
                    return None;
                }
                next.in_transit
                    .push((authority.fence, now + MAX_TRANSIT_TICKS));
            }
            Step::Deliver(i) => {
                if i >= state.in_transit.len() {
                    return None;
                }
                let (fence, _until) = next.in_transit.remove(i);
                if fence < state.highest_fence {
                    return Some(Err("a lower fence arrives after a higher one"));
                }
                next.highest_fence = fence;
            }
            Step::Revoke => {
                if state.revocations == 1 || state.key.is_none() {
                    return None;
                }
                next.key = None;
                next.revocations += 1;
            }
        }
        // Before its next step, a node drops its authority if its lease has expired by its own
        // clock.
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

impl Model for LeaseModel {
    type State = LeaseState;
    type Step = Step;

    fn initial(&self) -> LeaseState {
        LeaseState::default()
    }

    fn next(&self, state: &LeaseState) -> Successors<Self> {
        let of_node = |n: usize| {
            [
                Step::Acquire(n),
                Step::Renew(n),
                Step::RenewalConfirmed(n),
                Step::WriteIntent(n),
                Step::Send(n),
            ]
        };
        let mut steps = vec![Step::Tick, Step::Revoke, Step::Deliver(0), Step::Deliver(1)];
        steps.extend(of_node(0));
        steps.extend(of_node(1));
        let possible = steps
            .into_iter()
            .filter_map(|step| self.step(state, step).map(|result| (step, result)));
        possible.collect()
    }
}

/// Guards against an order of a former holder that arrives after an order of its successor. A
/// frozen node, a lost response or the deletion of the key could cause this.
#[test]
fn orders_of_two_holders_keep_their_order() {
    let found = explore(&LeaseModel { mutant: None });
    assert_eq!(found.violation, None);
    assert!(found.states > 1_000, "{} states", found.states);
}

/// Guards against a model in which the rules have no effect: each disabled rule must cause a fault.
#[yare::parameterized(
    no_condition = { Mutant::NoCondition },
    old_intent = { Mutant::OldIntent },
    no_wait = { Mutant::NoWait },
)]
fn holder_mutants_are_found(mutant: Mutant) {
    let found = explore(&LeaseModel {
        mutant: Some(mutant),
    });
    assert!(found.violation.is_some(), "{mutant:?} is not found");
}
