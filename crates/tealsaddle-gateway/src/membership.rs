//! Membership of the node: its lease and registration in the store, and the number of nodes.
//!
//! The registration is bound to the lease, and at one node the authority to order is bound to it as well.
//! The store may end the lease, and it may lose the registration without ending the lease; the node then
//! creates them again. It also does when the store has come back from an older copy: ids of leases are given out again
//! then, so that the node's own may be another node's by now.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tealsaddle_core::fleet::change_sources::Member;
use tealsaddle_core::fleet::store_era::{self, EraCheck};
use tealsaddle_schema::fleet::NodeRecord;

use crate::clock;
use crate::control::{CALL_TIMEOUT, Control, with_timeout};
use crate::error::StoreError;
use crate::external::{Item, Put, Transaction};
use crate::scheduler::ASSUMED_NODES;

/// Prefix of the keys under which nodes register.
pub const NODES: &str = "tealsaddle/nodes/";
/// Time after the last renewal at which the store ends a node's lease.
pub const LEASE_TTL: Duration = Duration::from_secs(8);
/// Time after the last accepted count for which a lower one is ignored.
const LOWER_COUNT_DELAY_US: u64 = 10_000_000;

/// Largest age of a listing that the store may give without asking its replicas.
const LISTING_LAG_US: u64 = 4_000_000;

/// The node's lease.
#[derive(Debug, Clone, Copy)]
pub struct Lease {
    /// Id of the lease in the store.
    pub id: u64,
    /// When the call was sent that opened or last renewed the lease, on the clock of [`clock::now_us`].
    pub renewed_us: u64,
    /// Era of the store in which it was opened; in a later one the id means nothing.
    pub era: Option<u64>,
}

/// The node's own entries in the store.
#[derive(Debug)]
pub struct Membership {
    control: Arc<Control>,
    lease: Option<Lease>,
    nodes: NodeCount,
    /// When the node last wrote its key.
    registered_us: u64,
}

/// Number of nodes that share the retry budgets. A lower number is accepted only after a delay: after a
/// restart of all nodes, the first one to register is alone in the listing.
#[derive(Debug)]
struct NodeCount {
    nodes: u32,
    accepted_us: u64,
}

impl NodeCount {
    fn on_listed(&mut self, listed: u32, now_us: u64) -> u32 {
        let may_decrease = now_us.saturating_sub(self.accepted_us) > LOWER_COUNT_DELAY_US;
        if listed >= self.nodes || may_decrease {
            self.nodes = listed;
            self.accepted_us = now_us;
        }
        self.nodes
    }
}

impl Membership {
    /// Creates the membership of a node that is not registered yet.
    pub fn open(control: Arc<Control>) -> Self {
        Self {
            control,
            lease: None,
            nodes: NodeCount {
                nodes: ASSUMED_NODES,
                accepted_us: clock::now_us(),
            },
            registered_us: 0,
        }
    }

    /// The node's lease; `None` before the first registration and after the lease has ended.
    pub const fn lease(&self) -> Option<Lease> {
        self.lease
    }

    /// Renews the lease with a call sent at `sent_us`; returns `false` if the node has no lease or it has
    /// ended.
    pub async fn renew(&mut self, sent_us: u64) -> Result<bool, StoreError> {
        self.drop_lease_of_earlier_era();
        let Some(lease) = &mut self.lease else {
            return Ok(false);
        };
        let renewal = self.control.store.renew_lease(lease.id);
        match with_timeout(CALL_TIMEOUT, renewal).await {
            Ok(renewed) => match store_era::check(lease.era, renewed.era) {
                EraCheck::Same => {
                    lease.renewed_us = sent_us;
                    Ok(true)
                }
                EraCheck::Later => {
                    self.drop_lease_of_earlier_era();
                    Ok(false)
                }
                EraCheck::Uncertain => Err(StoreError::OtherEra),
            },
            Err(StoreError::NotFound) => {
                self.lease = None;
                Ok(false)
            }
            Err(error) => Err(error),
        }
    }

    /// Drops the lease if the store has come back from an older copy since it was opened. It is not ended: its id may be
    /// that of another node's lease.
    fn drop_lease_of_earlier_era(&mut self) {
        let era = self.control.store.era();
        let is_earlier = |lease: &mut Lease| store_era::check(lease.era, era) == EraCheck::Later;
        if let Some(lease) = self.lease.take_if(is_earlier) {
            log::warn!(lease = lease.id, lease_era = lease.era, era;
                "this node's lease is of an earlier era of the store; it opens another one");
            self.control.gateway.metrics.increment("lease.earlier_era");
        }
    }

    /// Opens a lease, whose lifetime is counted from `sent_us`, and registers the node.
    pub async fn join(&mut self, sent_us: u64) -> Result<(), StoreError> {
        let open = self.control.store.open_lease(LEASE_TTL);
        let opened = with_timeout(CALL_TIMEOUT, open).await?;
        self.lease = Some(Lease {
            id: opened.value,
            renewed_us: sent_us,
            era: opened.era,
        });
        self.register(opened.value).await?;
        self.control.gateway.send_gate.on_registered();
        Ok(())
    }

    async fn register(&mut self, lease: u64) -> Result<(), StoreError> {
        self.registered_us = clock::now_us();
        let config = &self.control.gateway.config;
        let node = &config.node;
        let peer_address = config.peer_listen.map(|address| address.to_string());
        let record = NodeRecord {
            node: node.to_string(),
            peer_address: peer_address.unwrap_or_default(),
            zone: config.zone.to_string(),
        };
        let transaction = Transaction {
            puts: vec![Put {
                key: format!("{NODES}{node}"),
                value: serde_json::to_vec(&record).expect("a record has a JSON form"),
                lease: Some(lease),
            }],
            ..Transaction::default()
        };
        let commit = self.control.store.commit(transaction);
        with_timeout(CALL_TIMEOUT, commit).await.map(|_revision| ())
    }

    /// Processes a listing of the nodes' keys: counts the nodes, and registers this one again if its key is
    /// missing.
    pub async fn on_listed(&mut self, items: &[Item]) -> Result<(), StoreError> {
        self.count_nodes(items);
        let own = format!("{NODES}{}", self.control.gateway.config.node);
        match self.lease {
            // The store may have lost the key without ending the lease. A listing may be older than the key.
            Some(lease)
                if clock::now_us() >= self.registered_us + LISTING_LAG_US
                    && !items.iter().any(|item| item.key == own) =>
            {
                self.register(lease.id).await
            }
            Some(_) | None => Ok(()),
        }
    }

    /// Counts the nodes, and takes the addresses of those other than this one.
    fn count_nodes(&mut self, items: &[Item]) {
        let nodes = items.iter().filter(|item| item.key.starts_with(NODES));
        let listed = nodes.count().max(1) as u32;
        let nodes = self.nodes.on_listed(listed, clock::now_us());
        let members = members(items, self.control.gateway.config.peer_listen);
        let is_changed = {
            let mut fleet = self.control.fleet();
            let is_changed = fleet.nodes != nodes || *fleet.members != *members;
            fleet.nodes = nodes;
            fleet.set_members(members);
            is_changed
        };
        if is_changed {
            self.control.publish();
        }
    }

    /// Ends the lease; returns `None` if the node has none.
    pub async fn leave(&mut self) -> Option<Result<(), StoreError>> {
        self.drop_lease_of_earlier_era();
        let lease = self.lease.take()?;
        let ended = self.control.store.end_lease(lease.id);
        Some(with_timeout(CALL_TIMEOUT, ended).await)
    }
}

/// The nodes other than that at `own` that serve peers. Nodes of an earlier release do not tell.
fn members(items: &[Item], own: Option<SocketAddr>) -> Arc<[Member]> {
    let nodes = items.iter().filter(|item| item.key.starts_with(NODES));
    let member = |item: &Item| {
        let record: NodeRecord = serde_json::from_slice(&item.value).ok()?;
        Some(Member {
            address: record.peer_address.parse().ok()?,
            zone: record.zone.as_str().into(),
        })
    };
    distinct_members(nodes.filter_map(member), own)
}

/// The members other than that at `own`, each once, in an order that all nodes share.
pub fn distinct_members<I>(members: I, own: Option<SocketAddr>) -> Arc<[Member]>
where
    I: Iterator<Item = Member>,
{
    let others = members.filter(|member| Some(member.address) != own);
    let mut members: Vec<Member> = others.collect();
    members.sort_unstable();
    members.dedup_by_key(|member| member.address);
    members.into()
}
