//! Membership in the store: the node's lease, its registration, and the count of nodes.
//!
//! One lease carries the node's registration and, at one node, the right to give orders. The store may
//! end the lease, and it may take the registration away without ending it; either is made anew.

use std::sync::Arc;
use std::time::Duration;

use crate::clock;
use crate::control::{CALL_TIMEOUT, Control, within};
use crate::error::StoreError;
use crate::external::{Item, Put, Transaction};
use crate::scheduler::UNKNOWN_NODES;

/// Start of the keys of nodes.
const NODES: &str = "tealsaddle/nodes/";
/// Life of a node's lease without a renewal.
pub const LEASE_TTL: Duration = Duration::from_secs(8);
/// Time after which a lower count of nodes is believed.
const FEWER_NODES_US: u64 = 10_000_000;

/// The node's lease.
#[derive(Debug, Clone, Copy)]
pub struct Lease {
    /// Its id in the store.
    pub id: u64,
    /// When the last call that renewed it was sent.
    pub renewed_us: u64,
}

/// Part of the node in the store.
#[derive(Debug)]
pub struct Membership {
    control: Arc<Control>,
    lease: Option<Lease>,
    nodes: NodeCount,
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
            lease: None,
            nodes: NodeCount {
                nodes: UNKNOWN_NODES,
                seen_us: clock::now_us(),
            },
        }
    }

    /// The lease, while the node has one.
    pub const fn lease(&self) -> Option<Lease> {
        self.lease
    }

    /// Renews the lease by a call sent at `sent_us`; `false` if the node has none.
    pub async fn renew(&mut self, sent_us: u64) -> Result<bool, StoreError> {
        let Some(lease) = &mut self.lease else {
            return Ok(false);
        };
        let renewal = self.control.store.renew_lease(lease.id);
        match within(CALL_TIMEOUT, renewal).await {
            Ok(()) => {
                lease.renewed_us = sent_us;
                Ok(true)
            }
            Err(StoreError::NotFound) => {
                self.lease = None;
                Ok(false)
            }
            Err(error) => Err(error),
        }
    }

    /// Opens a lease, which counts from `sent_us`, and registers the node.
    pub async fn join(&mut self, sent_us: u64) -> Result<(), StoreError> {
        let open = self.control.store.open_lease(LEASE_TTL);
        let id = within(CALL_TIMEOUT, open).await?;
        self.lease = Some(Lease {
            id,
            renewed_us: sent_us,
        });
        self.register(id).await
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

    /// Takes what the nodes have written: counts them, and registers this one again where it is missing.
    pub async fn on_listed(&mut self, items: &[Item]) -> Result<(), StoreError> {
        self.count_nodes(items);
        let own = format!("{NODES}{}", self.control.gateway.config.node);
        match self.lease {
            // The store may have taken the key away without ending the lease.
            Some(lease) if !items.iter().any(|item| item.key == own) => {
                self.register(lease.id).await
            }
            Some(_) | None => Ok(()),
        }
    }

    fn count_nodes(&mut self, items: &[Item]) {
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
    }

    /// Ends the lease; `None` if the node has none.
    pub async fn leave(&mut self) -> Option<Result<(), StoreError>> {
        let lease = self.lease.take()?;
        let ended = self.control.store.end_lease(lease.id);
        Some(within(CALL_TIMEOUT, ended).await)
    }
}
