//! Membership in the store, and orders to runners.
//!
//! One lease carries both the node's registration and, at one node, the right to give orders. The store
//! decides who holds that right: the key of the holder is created only where there is none, and its
//! revision is the fencing token. Before orders are sent their intent is written under the condition
//! that the key is still the same, so a holder whose key was taken away finds out before it acts. Every
//! order names the count of orders that the runner must have accepted before, as the runner has just told
//! it, which makes a late copy void once any other order was accepted.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tealsaddle_core::collections::HashMap;
use tealsaddle_core::fleet::Stage;
use tealsaddle_core::fleet::lease::{Authority, LeaseTerms};
use tealsaddle_core::fleet::split::{self, DecodeWatch, StageMove};
use tealsaddle_core::name::Name;
use tokio::sync::watch;

use crate::board::UNKNOWN_NODES;
use crate::border::{Freshness, Item, KeyRevision, Put, StageOrder, Transaction};
use crate::clock::{self, jittered};
use crate::control::{CALL_TIMEOUT, Control, within};
use crate::error::StoreError;
use crate::upstream::{Reuse, Upstreams};

/// Start of all keys of this system.
const PREFIX: &str = "tealsaddle/";
/// Start of the keys of nodes.
const NODES: &str = "tealsaddle/nodes/";
/// Start of the keys of orders that were given.
const ORDERS: &str = "tealsaddle/orders/";
/// Key of the node that gives orders.
const HOLDER: &str = "tealsaddle/holder";
/// Life of a node's lease without a renewal.
const LEASE_TTL: Duration = Duration::from_secs(8);
/// Time before the end of the lease at which the holder stops acting.
const LEASE_MARGIN: Duration = Duration::from_secs(2);
/// Time from the write of an intent in which its order may be sent.
const INTENT_VALID: Duration = Duration::from_millis(500);
/// Time between rounds.
const ROUND: Duration = Duration::from_millis(2_500);
/// Rounds after which what the nodes have written is read again: with many nodes it is long and rarely
/// changes.
const ROUNDS_PER_LIST: u32 = 3;
/// Rounds after a start that always read it.
const FIRST_ROUNDS: u32 = 4;
/// Time to the next round after a failed one: the return of the store has to be noticed soon, since
/// watches may hang from before its outage.
const FAILED_ROUND: Duration = Duration::from_millis(500);
/// Orders given in one round; their intents have to fit into one transaction of the store.
const ORDERS_PER_ROUND: usize = 24;
/// Time for a runner to answer an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time in which an order without an answer may still be carried out.
const SETTLE_US: u64 = 15_000_000;

/// Time after which a lower count of nodes is believed.
const FEWER_NODES_US: u64 = 10_000_000;

/// An order that was given, as the store keeps it.
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

/// An order whose effect is not seen yet.
#[derive(Debug, Clone, Copy)]
struct Pending {
    to: Stage,
    since_us: u64,
}

/// A change of stage with the count of orders that the runner has accepted so far.
#[derive(Debug)]
struct CountedMove {
    step: StageMove,
    orders_before: u64,
}

/// Part of the node in the store.
#[derive(Debug)]
pub struct Membership {
    control: Arc<Control>,
    upstreams: Arc<Upstreams>,
    lease: Option<u64>,
    renewed_us: u64,
    authority: Option<Authority>,
    pending: HashMap<String, Pending>,
    decode: HashMap<Name, DecodeWatch>,
    nodes: NodeCount,
    rounds: u32,
}

/// Nodes that share a budget. A lower count is believed only after a while: after a common restart the
/// first node to register sees itself alone.
#[derive(Debug)]
struct NodeCount {
    nodes: u32,
    seen_us: u64,
}

impl NodeCount {
    fn on_listed(&mut self, listed: u32, now_us: u64) -> u32 {
        let is_believed = now_us.saturating_sub(self.seen_us) > FEWER_NODES_US;
        if listed >= self.nodes || is_believed {
            self.nodes = listed;
            self.seen_us = now_us;
        }
        self.nodes
    }
}

impl Membership {
    /// Makes the part of a node that is not registered yet.
    pub fn open(control: Arc<Control>) -> Self {
        Self {
            control,
            upstreams: Upstreams::open(),
            lease: None,
            renewed_us: 0,
            authority: None,
            pending: HashMap::default(),
            decode: HashMap::default(),
            nodes: NodeCount {
                nodes: UNKNOWN_NODES,
                seen_us: clock::now_us(),
            },
            rounds: 0,
        }
    }

    /// Runs rounds until told to leave, then gives up what it holds.
    pub async fn run(mut self, mut leaving: watch::Receiver<bool>) {
        while !*leaving.borrow() {
            let pause = match self.round().await {
                Ok(()) => {
                    self.control.on_contact(None);
                    ROUND
                }
                Err(error) => {
                    log::info!(error:%; "round with the store failed");
                    self.control.on_contact(Some(&error));
                    FAILED_ROUND
                }
            };
            tokio::select! {
                () = tokio::time::sleep(jittered(pause)) => {}
                _ = leaving.wait_for(|is_leaving| *is_leaving) => {}
            }
        }
        if let Some(lease) = self.lease.take() {
            let ended = within(CALL_TIMEOUT, self.control.store.end_lease(lease)).await;
            log::info!(was_holder = self.authority.is_some(), ended:?; "left the store");
        }
        // The watches go on until the process ends.
        std::future::pending::<()>().await;
    }

    async fn round(&mut self) -> Result<(), StoreError> {
        self.keep_lease().await?;
        self.rounds += 1;
        if self.rounds < FIRST_ROUNDS || self.rounds.is_multiple_of(ROUNDS_PER_LIST) {
            self.look_around().await?;
        }
        let now_us = clock::now_us();
        if self
            .authority
            .is_some_and(|authority| authority.is_over(now_us))
        {
            self.drop_authority("lease not renewed in time");
        }
        self.give_orders().await
    }

    /// Reads what the nodes have written, and takes the right to give orders where nobody has it.
    async fn look_around(&mut self) -> Result<(), StoreError> {
        let list = self.control.store.list(PREFIX, Freshness::Stale);
        let items = within(CALL_TIMEOUT, list).await?.items;
        self.count_nodes(&items).await?;
        self.note_intents(&items);
        let has_holder = items.iter().any(|item| item.key == HOLDER);
        if self.authority.is_none() && !has_holder {
            self.take_authority().await?;
        }
        Ok(())
    }

    async fn keep_lease(&mut self) -> Result<(), StoreError> {
        let sent_us = clock::now_us();
        if let Some(lease) = self.lease {
            match within(CALL_TIMEOUT, self.control.store.renew_lease(lease)).await {
                Ok(()) => {
                    self.renewed_us = sent_us;
                    if let Some(authority) = &mut self.authority {
                        authority.on_renewed(sent_us);
                    }
                    return Ok(());
                }
                Err(StoreError::NotFound) => {
                    self.lease = None;
                    self.drop_authority("the lease has ended");
                }
                Err(error) => return Err(error),
            }
        }
        let open = self.control.store.open_lease(LEASE_TTL);
        let lease = within(CALL_TIMEOUT, open).await?;
        self.lease = Some(lease);
        self.renewed_us = sent_us;
        self.register(lease).await
    }

    async fn register(&self, lease: u64) -> Result<(), StoreError> {
        let node = &self.control.gateway.config.node;
        let transaction = Transaction {
            puts: vec![Put {
                key: format!("{NODES}{node}"),
                value: node.as_bytes().to_vec(),
                lease: Some(lease),
            }],
            ..Transaction::default()
        };
        let commit = self.control.store.commit(transaction);
        within(CALL_TIMEOUT, commit).await.map(|_revision| ())
    }

    async fn count_nodes(&mut self, items: &[Item]) -> Result<(), StoreError> {
        let nodes = items.iter().filter(|item| item.key.starts_with(NODES));
        let listed = nodes.count().max(1) as u32;
        let nodes = self.nodes.on_listed(listed, clock::now_us());
        let is_changed = {
            let mut fleet = self.control.fleet();
            let is_changed = fleet.nodes != nodes;
            fleet.nodes = nodes;
            is_changed
        };
        if is_changed {
            self.control.publish();
        }
        let own = format!("{NODES}{}", self.control.gateway.config.node);
        match self.lease {
            // The store may have taken the key away without ending the lease.
            Some(lease) if !items.iter().any(|item| item.key == own) => self.register(lease).await,
            Some(_) | None => Ok(()),
        }
    }

    /// Takes over the orders of former holders whose effect is not known.
    fn note_intents(&mut self, items: &[Item]) {
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

    async fn take_authority(&mut self) -> Result<(), StoreError> {
        let Some(lease) = self.lease else {
            return Ok(());
        };
        let node = &self.control.gateway.config.node;
        let transaction = Transaction {
            conditions: vec![KeyRevision {
                key: HOLDER.to_owned(),
                revision: 0,
            }],
            puts: vec![Put {
                key: HOLDER.to_owned(),
                value: node.as_bytes().to_vec(),
                lease: Some(lease),
            }],
            ..Transaction::default()
        };
        let renewed_us = self.renewed_us;
        let taken_us = clock::now_us();
        match within(CALL_TIMEOUT, self.control.store.commit(transaction)).await {
            Ok(fence) => {
                let terms = LeaseTerms {
                    ttl_us: us(LEASE_TTL),
                    margin_us: us(LEASE_MARGIN),
                    wait_us: us(self.control.gateway.config.order_transit + INTENT_VALID),
                    intent_valid_us: us(INTENT_VALID),
                };
                self.authority = Some(Authority::new(fence, taken_us, renewed_us, terms));
                log::info!(fence; "this node gives orders now");
                Ok(())
            }
            Err(StoreError::Conflict) => Ok(()),
            Err(error) => Err(error),
        }
    }

    fn drop_authority(&mut self, reason: &str) {
        if self.authority.take().is_some() {
            log::info!(reason; "this node gives no more orders");
        }
    }

    async fn give_orders(&mut self) -> Result<(), StoreError> {
        let Some(authority) = self.authority else {
            return Ok(());
        };
        if !authority.may_order(clock::now_us()) {
            return Ok(());
        }
        self.settle();
        let asked = self
            .plan()
            .into_iter()
            .take(ORDERS_PER_ROUND)
            .map(|step| self.count_orders(step));
        let asked = futures::future::join_all(asked).await;
        let moves: Vec<CountedMove> = asked.into_iter().flatten().collect();
        if moves.is_empty() {
            return Ok(());
        }
        let intent_us = clock::now_us();
        if !self.record(&moves, authority.fence).await? {
            self.drop_authority("another node gives orders");
            return Ok(());
        }
        let now_us = clock::now_us();
        for CountedMove { step, .. } in &moves {
            let pending = Pending {
                to: step.to,
                since_us: now_us,
            };
            self.pending.insert(step.runner.id.to_string(), pending);
        }
        if authority.may_send(intent_us, clock::now_us()) {
            let orders = moves
                .iter()
                .map(|counted| self.order(counted, authority.fence));
            futures::future::join_all(orders).await;
        }
        Ok(())
    }

    /// Forgets orders whose effect is seen, whose runner is gone, or that can no longer take effect.
    fn settle(&mut self) {
        let now_us = clock::now_us();
        let fleet = self.control.fleet();
        self.pending.retain(|id, pending| {
            let runner = fleet.runner(id);
            let is_open = runner.is_some_and(|runner| runner.stage != Some(pending.to));
            is_open && now_us.saturating_sub(pending.since_us) < SETTLE_US
        });
    }

    fn plan(&mut self) -> Vec<StageMove> {
        let gateway = &self.control.gateway;
        let world = gateway.world.load();
        let mut moves = Vec::new();
        let Some(config) = &world.config else {
            return moves;
        };
        let now_us = clock::now_us();
        for service in config.services.values() {
            let Some(engine) = &service.engine else {
                continue;
            };
            let runners = world.runners_of(&service.name);
            let share = gateway.board.decode_share(runners, engine);
            let watch = self.decode.entry(Name::clone(&service.name)).or_default();
            let decode_use = watch.on_share(share, now_us);
            let planned = split::plan(runners, decode_use);
            if !planned.is_empty() {
                log::info!(service:% = service.name, moves = planned.len(), share, decode_use:?;
                    "stages planned");
            }
            moves.extend(planned);
        }
        moves.retain(|step| !self.pending.contains_key(&*step.runner.id));
        moves
    }

    /// Asks the runner how many orders it has accepted; `None` if it takes none now.
    async fn count_orders(&self, step: StageMove) -> Option<CountedMove> {
        let dialect = &self.control.gateway.dialect;
        let call = dialect.ask_report(&step.runner.id);
        let answer = self.upstreams.call(step.runner.address, call, Reuse::Any);
        let (status, body) = tokio::time::timeout(ORDER_TIMEOUT, answer)
            .await
            .ok()?
            .ok()?;
        if !status.is_success() {
            return None;
        }
        let report = dialect
            .runner_report(&body)
            .inspect_err(|error| {
                log::warn!(runner:% = step.runner.id, error:%; "a report cannot be read");
            })
            .ok()?;
        let is_free = !report.is_busy && report.stage == step.runner.stage;
        is_free.then_some(CountedMove {
            orders_before: report.orders_accepted,
            step,
        })
    }

    /// Writes the intents; `false` if another node gives orders.
    async fn record(&self, moves: &[CountedMove], fence: u64) -> Result<bool, StoreError> {
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
            conditions: vec![KeyRevision {
                key: HOLDER.to_owned(),
                revision: fence,
            }],
            puts: puts.collect(),
            removes: Vec::new(),
        };
        match within(CALL_TIMEOUT, self.control.store.commit(transaction)).await {
            Ok(_revision) => Ok(true),
            Err(StoreError::Conflict) => Ok(false),
            Err(error) => Err(error),
        }
    }

    async fn order(&self, counted: &CountedMove, fence: u64) {
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
            Ok(Ok((status, _body))) => status.to_string(),
            Ok(Err(failure)) => format!("{:?}", failure.outcome),
            Err(_elapsed) => "no answer".to_owned(),
        };
        gateway.metrics.increment("order.sent");
        log::info!(runner:% = step.runner.id, to:? = step.to, fence,
            orders_before, outcome:%; "order sent");
    }
}

const fn us(time: Duration) -> u64 {
    time.as_micros() as u64
}
