//! Orders to runners to change their stage, and the right to give them.
//!
//! At one node the lease of its membership also carries this right. The store decides who holds it: the
//! key of the holder is created only where there is none, and its revision is the fencing token. Before
//! orders are sent their intent is written under the condition that the key is still the same, so a
//! holder whose key was taken away finds out before it acts. Every order names the count of orders that
//! the runner must have accepted before, as the runner has just told it, which makes a late copy void
//! once any other order was accepted.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tealsaddle_core::collections::HashMap;
use tealsaddle_core::fleet::Stage;
use tealsaddle_core::fleet::lease::{Authority, LeaseTerms};
use tealsaddle_core::fleet::split::{self, DecodeWatch, StageMove};
use tealsaddle_core::name::Name;

use crate::clock;
use crate::control::{CALL_TIMEOUT, Control, within};
use crate::error::StoreError;
use crate::external::{Item, KeyRevision, Put, StageOrder, Transaction};
use crate::membership::{LEASE_TTL, Lease};
use crate::upstream::{Reuse, Upstreams};

/// Start of the keys of orders that were given.
const ORDERS: &str = "tealsaddle/orders/";
/// Key of the node that gives orders.
const HOLDER: &str = "tealsaddle/holder";
/// Time before the end of the lease at which the holder stops acting.
const LEASE_MARGIN: Duration = Duration::from_secs(2);
/// Time from the write of an intent in which its order may be sent.
const INTENT_VALID: Duration = Duration::from_millis(500);
/// Orders given in one round; their intents have to fit into one transaction of the store.
const ORDERS_PER_ROUND: usize = 24;
/// Time for a runner to answer an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time in which an order without an answer may still be carried out.
const SETTLE_US: u64 = 15_000_000;

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

/// Orders of this node.
#[derive(Debug)]
pub struct Orders {
    control: Arc<Control>,
    upstreams: Arc<Upstreams>,
    authority: Option<Authority>,
    pending: HashMap<String, Pending>,
    decode: HashMap<Name, DecodeWatch>,
}

impl Orders {
    /// Makes the part of a node that does not give orders yet.
    pub fn open(control: Arc<Control>) -> Self {
        Self {
            control,
            upstreams: Upstreams::open(),
            authority: None,
            pending: HashMap::default(),
            decode: HashMap::default(),
        }
    }

    /// Whether this node has the right to give orders.
    pub const fn has_authority(&self) -> bool {
        self.authority.is_some()
    }

    /// Notes a renewal of the lease that was sent at `sent_us` and accepted.
    pub const fn on_lease_renewed(&mut self, sent_us: u64) {
        if let Some(authority) = &mut self.authority {
            authority.on_renewed(sent_us);
        }
    }

    /// Gives the right up where the lease was not renewed in time.
    pub fn expire(&mut self) {
        let now_us = clock::now_us();
        if self
            .authority
            .is_some_and(|authority| authority.is_over(now_us))
        {
            self.drop_authority("lease not renewed in time");
        }
    }

    /// Gives the right up, if this node has it.
    pub fn drop_authority(&mut self, reason: &str) {
        if self.authority.take().is_some() {
            log::info!(reason; "this node gives no more orders");
        }
    }

    /// Takes what the nodes have written, and takes the right to give orders where nobody has it.
    pub async fn on_listed(
        &mut self,
        items: &[Item],
        lease: Option<Lease>,
    ) -> Result<(), StoreError> {
        self.note_intents(items);
        let has_holder = items.iter().any(|item| item.key == HOLDER);
        match lease {
            Some(lease) if self.authority.is_none() && !has_holder && !self.is_stopping() => {
                self.take_authority(lease).await
            }
            Some(_) | None => Ok(()),
        }
    }

    fn is_stopping(&self) -> bool {
        self.control.gateway.is_stopping()
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

    async fn take_authority(&mut self, lease: Lease) -> Result<(), StoreError> {
        let node = &self.control.gateway.config.node;
        let transaction = Transaction {
            conditions: vec![holder_at(0)],
            puts: vec![Put {
                key: HOLDER.to_owned(),
                value: node.as_bytes().to_vec(),
                lease: Some(lease.id),
            }],
            ..Transaction::default()
        };
        let taken_us = clock::now_us();
        match within(CALL_TIMEOUT, self.control.store.commit(transaction)).await {
            Ok(fence) => {
                let terms = LeaseTerms {
                    ttl_us: us(LEASE_TTL),
                    margin_us: us(LEASE_MARGIN),
                    wait_us: us(self.control.gateway.config.order_transit + INTENT_VALID),
                    intent_valid_us: us(INTENT_VALID),
                };
                self.authority = Some(Authority::new(fence, taken_us, lease.renewed_us, terms));
                log::info!(fence; "this node gives orders now");
                Ok(())
            }
            Err(StoreError::Conflict) => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Gives the orders that the split of stages asks for now.
    pub async fn issue(&mut self) -> Result<(), StoreError> {
        let Some(authority) = self.authority else {
            return Ok(());
        };
        if !authority.may_order(clock::now_us()) {
            return Ok(());
        }
        self.settle();
        let moves = self.plan_counted().await;
        // A node that stops leaves them to the next holder.
        if moves.is_empty() || self.is_stopping() {
            return Ok(());
        }
        let intent_us = clock::now_us();
        if !self.record(&moves, authority.fence).await? {
            self.drop_authority("another node gives orders");
            return Ok(());
        }
        self.note_pending(&moves);
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

    /// Plans as many moves as one round may order, and asks their runners; leaves out those that take no
    /// order now.
    async fn plan_counted(&mut self) -> Vec<CountedMove> {
        let asked = self
            .plan()
            .into_iter()
            .take(ORDERS_PER_ROUND)
            .map(|step| self.count_orders(step));
        let asked = futures::future::join_all(asked).await;
        asked.into_iter().flatten().collect()
    }

    fn plan(&mut self) -> Vec<StageMove> {
        let gateway = &self.control.gateway;
        let snapshot = gateway.snapshot.load();
        let mut moves = Vec::new();
        let Some(config) = &snapshot.config else {
            return moves;
        };
        let now_us = clock::now_us();
        for service in config.services.values() {
            let Some(engine) = &service.engine else {
                continue;
            };
            let runners = snapshot.runners_of(&service.name);
            let share = gateway.scheduler.decode_share(runners, engine);
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
        let call = dialect.report_request(&step.runner.id);
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
            conditions: vec![holder_at(fence)],
            puts: puts.collect(),
            removes: Vec::new(),
        };
        match within(CALL_TIMEOUT, self.control.store.commit(transaction)).await {
            Ok(_revision) => Ok(true),
            Err(StoreError::Conflict) => Ok(false),
            Err(error) => Err(error),
        }
    }

    fn note_pending(&mut self, moves: &[CountedMove]) {
        let now_us = clock::now_us();
        for CountedMove { step, .. } in moves {
            let pending = Pending {
                to: step.to,
                since_us: now_us,
            };
            self.pending.insert(step.runner.id.to_string(), pending);
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

/// The condition that the key of the holder has this revision.
fn holder_at(revision: u64) -> KeyRevision {
    KeyRevision {
        key: HOLDER.to_owned(),
        revision,
    }
}

const fn us(time: Duration) -> u64 {
    time.as_micros() as u64
}
