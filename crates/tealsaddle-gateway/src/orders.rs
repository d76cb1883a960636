//! Orders to runners to switch their stage, and the authority to send them.
//!
//! The node with the authority is the holder. The store decides which node that is: the holder's key is
//! created only if it does not exist, it is bound to the node's membership lease, and the fencing token follows from its
//! revision ([`tealsaddle_core::fleet::fence`]). Before sending orders the holder writes their intents, on condition that
//! the key still has this revision, so a node that has lost the authority finds out before it acts. Every order states
//! how many orders the runner must have accepted before, a number that the runner has just reported. A
//! delayed copy of an order is therefore refused once the runner has accepted any other order.
//!
//! All of this holds within one era of the store. Once the store has come back from an older copy, the key may be that of
//! another node at the same revision. The holder then sends no more orders, and any node may acquire the authority under
//! the new era, also the one that still finds its own key.

use std::cmp::Reverse;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tealsaddle_core::collections::HashMap;
use tealsaddle_core::fleet::fence::HolderPosition;
use tealsaddle_core::fleet::lease::{Authority, LeaseTerms};
use tealsaddle_core::fleet::needs::StageNeeds;
use tealsaddle_core::fleet::rendezvous::rendezvous_weight;
use tealsaddle_core::fleet::split::{self, Pool, StageMove};
use tealsaddle_core::fleet::store_era::{self, EraCheck};
use tealsaddle_core::fleet::{Runner, Stage};
use tealsaddle_core::name::Name;
use tokio::sync::watch;

use crate::clock;
use crate::control::{CALL_TIMEOUT, Control, with_timeout};
use crate::duties::{DutyTerm, TermWatch};
use crate::error::StoreError;
use crate::external::{InEra, Item, KeyRevision, Put, StageOrder, Transaction};
use crate::membership::{self, LEASE_TTL, Lease};
use crate::upstream::{Reuse, Upstreams};

/// Prefix of the keys of intents, one per runner.
const ORDERS: &str = "tealsaddle/orders/";
/// Key of the holder; its value is the name of the node.
const HOLDER_KEY: &str = "tealsaddle/holder";
/// Key of the first era; its value is that number. It stays when there is no holder.
const FIRST_ERA_KEY: &str = "tealsaddle/first-era";
/// Time before the end of its lease at which the holder stops sending orders.
const LEASE_MARGIN: Duration = Duration::from_secs(2);
/// Time after the write of an intent for which its order may be sent.
const INTENT_VALID: Duration = Duration::from_millis(500);
/// Largest number of orders in one round; their intents have to fit into one transaction of the store.
const ORDERS_PER_ROUND: usize = 24;
/// Timeout of a runner's answer to an order or to the request for its report.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which an order without a visible effect may still be executed.
const PENDING_TIMEOUT_US: u64 = 15_000_000;

/// Number of nodes that apply for the authority as soon as no node holds it.
const APPLICANTS: usize = 16;
/// Number of listings in a row without a holder from which every node applies.
const MISSED_HOLDERS: u32 = 2;
/// What the nodes are ranked for.
const HOLDER_RANK: u64 = 1;

/// Record of an order in the store, written before the order is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Intent {
    to_prefill: bool,
    orders_before: u64,
    fence: u64,
}

impl Intent {
    const fn stage(&self) -> Stage {
        if self.to_prefill {
            Stage::Prefill
        } else {
            Stage::Decode
        }
    }
}

/// An order whose effect is not visible yet; its runner gets no other order meanwhile.
#[derive(Debug, Clone, Copy)]
struct Pending {
    to: Stage,
    since_us: u64,
}

/// A planned stage change, with the number of orders that the runner has accepted so far.
#[derive(Debug)]
struct CountedMove {
    step: StageMove,
    orders_before: u64,
}

/// The authority of this node, with the key in the store to which it belongs.
#[derive(Debug, Clone, Copy)]
struct HeldAuthority {
    authority: Authority,
    key: HolderPosition,
}

/// The first era as a listing has it.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoredFirstEra {
    /// `None` if there is none, or it cannot be read.
    pub era: Option<u64>,
    /// Revision of its key; 0 if there is none.
    revision: u64,
}

impl StoredFirstEra {
    /// Takes it from a listing of the nodes' keys.
    pub fn of(items: &[Item]) -> Self {
        let item = items.iter().find(|item| item.key == FIRST_ERA_KEY);
        item.map_or_else(Self::default, |item| Self {
            era: serde_json::from_slice(&item.value)
                .inspect_err(|error| log::warn!(error:%; "the first era cannot be parsed"))
                .ok(),
            revision: item.revision,
        })
    }
}

/// Sends stage orders while this node holds the authority.
#[derive(Debug)]
pub struct Orders {
    control: Arc<Control>,
    upstreams: Arc<Upstreams>,
    held: Option<HeldAuthority>,
    /// Earliest era of the store that this node has seen or found recorded. The record may be lost with a copy.
    first_era: Option<u64>,
    pending: HashMap<String, Pending>,
    /// Number of pending orders, for those who wait until there are none.
    stage_moves: watch::Sender<usize>,
    /// Number of listings in a row without a holder.
    missed_holders: u32,
    /// Where the term of this node is published for its duties.
    term: watch::Sender<Option<DutyTerm>>,
}

impl Orders {
    /// Creates the state of a node that does not hold the authority yet.
    pub fn open(control: Arc<Control>) -> Self {
        Self {
            control,
            term: watch::Sender::new(None),
            upstreams: Upstreams::open_to_runners(),
            held: None,
            first_era: None,
            pending: HashMap::default(),
            stage_moves: watch::Sender::new(0),
            missed_holders: 0,
        }
    }

    /// Whether this node holds the authority to send orders.
    pub const fn has_authority(&self) -> bool {
        self.held.is_some()
    }

    /// The term in which this node performs the duties toward the platform.
    pub fn term_watch(&self) -> TermWatch {
        TermWatch::new(Arc::clone(&self.control), self.term.subscribe())
    }

    /// Number of runners that have been ordered to change their stage without a visible effect yet.
    pub fn stage_moves(&self) -> watch::Receiver<usize> {
        self.stage_moves.subscribe()
    }

    fn publish_term(&self) {
        let term = self
            .held
            .map(|held| DutyTerm::new(held.authority, held.key));
        self.term.send_replace(term);
    }

    /// Extends the authority after a successful renewal of the lease, sent at `sent_us`.
    pub fn on_lease_renewed(&mut self, sent_us: u64) {
        if let Some(held) = &mut self.held {
            held.authority.on_renewed(sent_us);
            self.publish_term();
        }
    }

    /// Drops the authority if the lease was not renewed in time, or the store has come back from an older copy.
    pub fn expire(&mut self) {
        let now_us = clock::now_us();
        let Some(held) = self.held else {
            return;
        };
        if held.authority.is_expired(now_us) {
            self.drop_authority("lease not renewed in time");
        } else if self.control.lost_term.load(Ordering::Relaxed) == held.authority.fence {
            self.drop_authority(
                "the key of the holder has changed in the store, as a duty has found",
            );
        } else if !self.is_of_current_era(&held) {
            self.drop_authority("the store has come back from an older copy");
        }
    }

    /// Whether no answer of the store has told a later era than that of the holder's key.
    fn is_of_current_era(&self, held: &HeldAuthority) -> bool {
        store_era::check(held.key.era, self.control.store.era()) != EraCheck::Later
    }

    /// Drops the authority, if this node holds it. Does not remove the holder's key, which is bound to the
    /// lease.
    pub fn drop_authority(&mut self, reason: &str) {
        if let Some(held) = self.held.take() {
            self.publish_term();
            log::info!(reason, fence = held.authority.fence, key_era = held.key.era,
                era = self.control.store.era(); "this node no longer sends stage orders");
        }
    }

    /// Processes a listing of the nodes' keys: adopts the intents, and acquires the authority if this node is not stopping
    /// and no node holds it, or the key is this node's own and it does not hold the authority.
    pub async fn on_listed(
        &mut self,
        items: &[Item],
        lease: Option<Lease>,
    ) -> Result<(), StoreError> {
        self.adopt_intents(items);
        let first_era = StoredFirstEra::of(items);
        self.on_era_seen(first_era.era);
        self.on_era_seen(self.control.store.era());
        let holder = items.iter().find(|item| item.key == HOLDER_KEY);
        self.missed_holders = match holder {
            Some(_) => 0,
            None => self.missed_holders + 1,
        };
        let own = self.control.gateway.config.node.as_bytes();
        let may_acquire = match holder {
            Some(item) => item.value == own,
            None => self.may_apply(items),
        };
        match lease {
            Some(lease) if self.held.is_none() && !self.is_stopping() && may_acquire => {
                let revision = holder.map_or(0, |item| item.revision);
                self.acquire_authority(lease, revision, first_era).await
            }
            Some(_) | None => Ok(()),
        }
    }

    fn on_era_seen(&mut self, era: Option<u64>) {
        self.first_era = [self.first_era, era].into_iter().flatten().min();
    }

    /// Whether this node is one of the few that apply for the authority at once, or none of them has got it. If all nodes
    /// wrote at the same time, the number of writes would grow with the number of nodes.
    fn may_apply(&self, items: &[Item]) -> bool {
        let mut nodes: Vec<&str> = items
            .iter()
            .filter_map(|item| item.key.strip_prefix(membership::NODES))
            .collect();
        let own = &*self.control.gateway.config.node;
        nodes.push(own);
        nodes.sort_by_cached_key(|node| Reverse(rendezvous_weight(HOLDER_RANK, node)));
        nodes.dedup();
        let applicants = &nodes[..nodes.len().min(APPLICANTS)];
        self.missed_holders >= MISSED_HOLDERS || applicants.contains(&own)
    }

    fn is_stopping(&self) -> bool {
        self.control.gateway.is_stopping()
    }

    /// Adopts the intents of former holders as pending orders, since their effect is not known.
    fn adopt_intents(&mut self, items: &[Item]) {
        let now_us = clock::now_us();
        for item in items {
            let Some(runner) = item.key.strip_prefix(ORDERS) else {
                continue;
            };
            let Ok(intent) = serde_json::from_slice::<Intent>(&item.value) else {
                continue;
            };
            let pending = self.pending.entry(runner.to_owned());
            pending.or_insert(Pending {
                to: intent.stage(),
                since_us: now_us,
            });
        }
    }

    /// Writes the holder's key, on condition that it has this revision, and the first era if it is not recorded as this
    /// node knows it.
    async fn acquire_authority(
        &mut self,
        lease: Lease,
        revision: u64,
        recorded: StoredFirstEra,
    ) -> Result<(), StoreError> {
        let node = &self.control.gateway.config.node;
        let mut conditions = vec![holder_at(revision)];
        let mut puts = Vec::new();
        if let Some(first_era) = self.first_era {
            conditions.push(KeyRevision {
                key: FIRST_ERA_KEY.to_owned(),
                revision: recorded.revision,
            });
            puts.extend((recorded.era != self.first_era).then(|| Put {
                key: FIRST_ERA_KEY.to_owned(),
                value: first_era.to_string().into_bytes(),
                lease: None,
            }));
        }
        // Written last: the revision that the store returns is that of the last write, also if each write of a transaction
        // has one of its own.
        puts.push(Put {
            key: HOLDER_KEY.to_owned(),
            value: node.as_bytes().to_vec(),
            lease: Some(lease.id),
        });
        let transaction = Transaction {
            conditions,
            puts,
            removes: Vec::new(),
        };
        let acquired_us = clock::now_us();
        match with_timeout(CALL_TIMEOUT, self.control.store.commit(transaction)).await {
            Ok(written) => {
                self.on_key_written(lease, written, acquired_us);
                Ok(())
            }
            Err(StoreError::Conflict) => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Takes the authority whose key was written by a call sent at `acquired_us`, if that happened in the era of the lease.
    /// Otherwise the key is bound to a lease that may be another node's, and is acquired again.
    fn on_key_written(&mut self, lease: Lease, written: InEra<u64>, acquired_us: u64) {
        let key = HolderPosition {
            revision: written.value,
            era: written.era,
            first_era: self.first_era,
        };
        let is_lease_valid = store_era::check(lease.era, key.era) == EraCheck::Same;
        let Some(fence) = key.fence().filter(|_fence| is_lease_valid) else {
            log::warn!(revision = key.revision, era = key.era, first_era = key.first_era, lease_era = lease.era;
                "the key of the holder was written in another era of the store than expected, and is not used");
            return;
        };
        let terms = LeaseTerms {
            ttl_us: us(LEASE_TTL),
            margin_us: us(LEASE_MARGIN),
            first_order_delay_us: us(self.control.gateway.config.max_order_delay + INTENT_VALID),
            intent_valid_us: us(INTENT_VALID),
        };
        self.held = Some(HeldAuthority {
            authority: Authority::new(fence, acquired_us, lease.renewed_us, terms),
            key,
        });
        self.publish_term();
        log::info!(fence, revision = key.revision, era = key.era, first_era = key.first_era;
            "this node now sends stage orders");
    }

    /// Sends the orders for the stage changes that are needed now, if this node holds the authority.
    pub async fn issue(&mut self) -> Result<(), StoreError> {
        let Some(held) = self.held else {
            return Ok(());
        };
        let authority = held.authority;
        if !authority.may_order(clock::now_us()) {
            return Ok(());
        }
        self.drop_settled();
        let moves = self.plan_with_counts().await;
        // A stopping node leaves the orders to the next holder.
        if moves.is_empty() || self.is_stopping() {
            return Ok(());
        }
        let intent_us = clock::now_us();
        if !self.write_intents(&moves, &held).await? {
            self.drop_authority("the key of the holder has changed in the store");
            return Ok(());
        }
        self.add_pending(&moves);
        // Other calls to the store may have told a later era meanwhile.
        if authority.may_send(intent_us, clock::now_us()) && self.is_of_current_era(&held) {
            let orders = moves
                .iter()
                .map(|counted| self.send_order(counted, authority.fence));
            futures::future::join_all(orders).await;
        }
        Ok(())
    }

    /// Drops the pending orders whose effect is visible, whose runner is no longer registered, or that can
    /// no longer take effect.
    fn drop_settled(&mut self) {
        let now_us = clock::now_us();
        let fleet = self.control.fleet();
        self.pending.retain(|id, pending| {
            let runner = fleet.runner(id);
            let is_pending = runner.is_some_and(|runner| runner.stage != Some(pending.to));
            is_pending && now_us.saturating_sub(pending.since_us) < PENDING_TIMEOUT_US
        });
        self.stage_moves.send_replace(self.pending.len());
    }

    /// Plans up to [`ORDERS_PER_ROUND`] stage changes, and fetches the order counts of their runners. Runners
    /// that accept no order now are left out.
    async fn plan_with_counts(&self) -> Vec<CountedMove> {
        let counted = self
            .plan()
            .into_iter()
            .take(ORDERS_PER_ROUND)
            .map(|step| self.fetch_order_count(step));
        let counted = futures::future::join_all(counted).await;
        counted.into_iter().flatten().collect()
    }

    fn plan(&self) -> Vec<StageMove> {
        let gateway = &self.control.gateway;
        let snapshot = gateway.snapshot.load();
        let mut moves = Vec::new();
        let Some(config) = &snapshot.config else {
            return moves;
        };
        for service in config.services.values() {
            let Some(engine) = &service.engine else {
                continue;
            };
            let runners = snapshot.runners_of(&service.name);
            let pool = Pool::new(runners, |runner| {
                let pending = self.pending.get(&*runner.id);
                pending.map(|pending| pending.to)
            });
            let needs = gateway.scheduler.stage_needs(runners, engine);
            let load_of = |runner: &Runner| gateway.scheduler.requests_at(runner);
            let planned = split::plan(&pool, needs.as_ref(), engine.switch_ms, load_of);
            if !planned.is_empty() {
                log_planned(&service.name, &pool, needs.as_ref(), &planned);
            }
            moves.extend(planned);
        }
        moves.retain(|step| gateway.send_gate.allows_own_calls(&step.runner));
        moves
    }

    /// Asks a runner how many orders it has accepted. Returns `None` if it does not answer, is busy with an
    /// order, or reports another stage than its registration.
    async fn fetch_order_count(&self, step: StageMove) -> Option<CountedMove> {
        let dialect = &self.control.gateway.dialect;
        let call = dialect.report_request(&step.runner.id);
        let answer = self.upstreams.call(step.runner.address, call, Reuse::Any);
        let answer = tokio::time::timeout(ORDER_TIMEOUT, answer).await;
        let answer = answer.ok()?.ok()?;
        if !answer.status.is_success() {
            return None;
        }
        let report = dialect
            .runner_report(&answer.body)
            .inspect_err(|error| {
                log::warn!(runner:% = step.runner.id, error:%; "runner report cannot be parsed");
            })
            .ok()?;
        let accepts_order = !report.is_busy && report.stage == step.runner.stage;
        accepts_order.then_some(CountedMove {
            orders_before: report.orders_accepted,
            step,
        })
    }

    /// Writes the intents; returns `false` if this node has lost the authority. In a later era of the store the condition
    /// proves nothing, even if it holds.
    async fn write_intents(
        &self,
        moves: &[CountedMove],
        held: &HeldAuthority,
    ) -> Result<bool, StoreError> {
        let fence = held.authority.fence;
        let puts = moves.iter().map(|counted| {
            let step = &counted.step;
            let intent = Intent {
                to_prefill: step.to == Stage::Prefill,
                orders_before: counted.orders_before,
                fence,
            };
            Put {
                key: format!("{ORDERS}{}", step.runner.id),
                value: serde_json::to_vec(&intent).expect("an intent has a JSON form"),
                lease: None,
            }
        });
        let transaction = Transaction {
            conditions: vec![holder_at(held.key.revision)],
            puts: puts.collect(),
            removes: Vec::new(),
        };
        match with_timeout(CALL_TIMEOUT, self.control.store.commit(transaction)).await {
            Ok(written) => match store_era::check(held.key.era, written.era) {
                EraCheck::Same => Ok(true),
                EraCheck::Later => Ok(false),
                EraCheck::Uncertain => Err(StoreError::OtherEra),
            },
            Err(StoreError::Conflict) => Ok(false),
            Err(error) => Err(error),
        }
    }

    fn add_pending(&mut self, moves: &[CountedMove]) {
        let now_us = clock::now_us();
        for CountedMove { step, .. } in moves {
            let pending = Pending {
                to: step.to,
                since_us: now_us,
            };
            self.pending.insert(step.runner.id.to_string(), pending);
        }
        self.stage_moves.send_replace(self.pending.len());
    }

    async fn send_order(&self, counted: &CountedMove, fence: u64) {
        let CountedMove {
            step,
            orders_before,
        } = counted;
        let orders_before = *orders_before;
        let gateway = &self.control.gateway;
        let call = gateway.dialect.stage_order(&StageOrder {
            runner_id: &step.runner.id,
            stage: step.to,
            holder: &gateway.config.node,
            fence,
            orders_before,
        });
        let answer = self
            .upstreams
            .call(step.runner.address, call, Reuse::Recent);
        let outcome = match tokio::time::timeout(ORDER_TIMEOUT, answer).await {
            Ok(Ok(answer)) => answer.status.to_string(),
            Ok(Err(failure)) => format!("{:?}", failure.outcome),
            Err(_elapsed) => "no answer".to_owned(),
        };
        gateway.metrics.increment("order.sent");
        log::info!(runner:% = step.runner.id, to:? = step.to, fence,
            orders_before, outcome:%; "order sent");
    }
}

/// Logs planned changes with the needs from which they follow, as expected and allowed times.
fn log_planned(service: &Name, pool: &Pool, needs: Option<&StageNeeds>, planned: &[StageMove]) {
    let prefill = needs.map(|needs| needs.prefill(1.0));
    let decode = needs.map(|needs| needs.decode(1.0));
    let ms = |ms: Option<f64>| ms.map(|ms| ms as u64);
    log::info!(service:%, moves = planned.len(), to:? = planned[0].to,
        prefill_runners = pool.prefill.len(), decode_runners = pool.decode.len(),
        joining_prefill = pool.joining_prefill, joining_decode = pool.joining_decode,
        prefill_ms:? = ms(prefill.map(|need| need.expected_ms)),
        prefill_allowed_ms:? = ms(prefill.map(|need| need.allowed_ms)),
        decode_ms:? = ms(decode.map(|need| need.expected_ms)),
        decode_allowed_ms:? = ms(decode.map(|need| need.allowed_ms));
        "stage changes planned");
}

/// The condition that the holder's key has this revision; 0 means that there is no holder.
pub fn holder_at(revision: u64) -> KeyRevision {
    KeyRevision {
        key: HOLDER_KEY.to_owned(),
        revision,
    }
}

const fn us(time: Duration) -> u64 {
    time.as_micros() as u64
}
