//! Periodic work of the control thread with the store.
//!
//! Each round renews the node's lease, every few rounds reads the keys that the nodes have written, and
//! sends stage orders if this node holds the authority to do so.

use std::sync::Arc;
use std::time::Duration;

use tealsaddle_core::fleet::store_era::StoreEra;
use tokio::sync::watch;

use crate::clock::{self, jittered};
use crate::control::{CALL_TIMEOUT, Control, with_timeout};
use crate::duties::TermWatch;
use crate::error::StoreError;
use crate::external::{Freshness, Listing, Put, Transaction};
use crate::membership::Membership;
use crate::orders::Orders;
use crate::sizing;
use crate::versions::VERSIONS_PREFIX;

/// Prefix of all keys that the nodes of this system write.
const KEY_PREFIX: &str = "tealsaddle/";
/// Time between rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(2_500);
/// The nodes' keys are listed once in this many rounds: with many nodes the listing is long, and it rarely
/// changes.
const ROUNDS_PER_LIST: u32 = 3;
/// Rounds below this number, counted from the start and from each return of the store from an older copy, always list the
/// nodes' keys.
const FIRST_ROUNDS: u32 = 4;
/// Time to the next round after a failed one. The recovery of the store has to be noticed soon, since
/// watches from before an outage may hang.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Time limit of a listing of the nodes' keys; the store limits the time of each page. The node's lease is
/// not renewed meanwhile.
const LIST_TIMEOUT: Duration = Duration::from_secs(3);

/// The loop that does the periodic work with the store.
#[derive(Debug)]
pub struct ControlLoop {
    control: Arc<Control>,
    membership: Membership,
    orders: Orders,
    /// Rounds since the start, or since the store came back from an older copy.
    rounds: u32,
    era: StoreEra,
}

impl ControlLoop {
    /// Creates the loop of a node that is not registered yet.
    pub fn open(control: Arc<Control>) -> Self {
        Self {
            membership: Membership::open(Arc::clone(&control)),
            orders: Orders::open(Arc::clone(&control)),
            control,
            rounds: 0,
            era: StoreEra::default(),
        }
    }

    /// The term in which this node performs the duties toward the platform.
    pub fn term_watch(&self) -> TermWatch {
        self.orders.term_watch()
    }

    /// Runs rounds until told to leave, then ends the node's lease. Returns once the handle of the control thread is
    /// dropped.
    pub async fn run(mut self, mut leaving: watch::Receiver<bool>) {
        sizing::spawn(
            &self.control,
            self.orders.term_watch(),
            self.orders.stage_moves(),
        );
        while !*leaving.borrow() {
            let pause = match self.round().await {
                Ok(()) => {
                    self.control.on_store_call(None);
                    ROUND_INTERVAL
                }
                Err(error) => {
                    log::info!(error:%; "round with the store failed");
                    self.control.on_store_call(Some(&error));
                    RETRY_INTERVAL
                }
            };
            tokio::select! {
                () = tokio::time::sleep(jittered(pause)) => {}
                told = leaving.wait_for(|is_leaving| *is_leaving) => {
                    if told.is_err() {
                        return;
                    }
                }
            }
        }
        if let Some(ended) = self.membership.leave().await {
            log::info!(was_holder = self.orders.has_authority(), ended:?;
                "asked the store to end this node's lease");
        }
        // Returning ends the runtime of the control thread, and with it the watches.
        while leaving.changed().await.is_ok() {}
    }

    async fn round(&mut self) -> Result<(), StoreError> {
        self.keep_lease().await?;
        if self.era.rises_to(self.control.store.era()) {
            self.rounds = 0;
        }
        self.rounds += 1;
        if self.rounds < FIRST_ROUNDS || self.rounds.is_multiple_of(ROUNDS_PER_LIST) {
            self.list_node_keys().await?;
        }
        self.orders.expire();
        self.read_versions().await?;
        self.record_versions().await?;
        self.orders.issue().await
    }

    async fn keep_lease(&mut self) -> Result<(), StoreError> {
        let sent_us = clock::now_us();
        if self.membership.renew(sent_us).await? {
            self.control.on_store_word(sent_us);
            self.orders.on_lease_renewed(sent_us);
            return Ok(());
        }
        self.orders.drop_authority("the lease has ended");
        self.membership.join(sent_us).await
    }

    /// Reads the records of software versions that may have streams, if this node may lack some.
    async fn read_versions(&self) -> Result<(), StoreError> {
        let versions = &self.control.gateway.versions;
        if !versions.needs_records() {
            return Ok(());
        }
        let asked_us = clock::now_us();
        let list = self.control.store.list(VERSIONS_PREFIX, Freshness::Latest);
        let records = with_timeout(LIST_TIMEOUT, list).await?;
        versions.on_records(&records.items, records.era, asked_us);
        Ok(())
    }

    /// Records which software versions may have streams, if this node holds the authority to order.
    async fn record_versions(&self) -> Result<(), StoreError> {
        if !self.orders.has_authority() {
            return Ok(());
        }
        for (key, value) in self.control.gateway.versions.due_records() {
            let put = Put {
                key,
                value,
                lease: None,
            };
            let transaction = Transaction {
                puts: vec![put],
                ..Transaction::default()
            };
            with_timeout(CALL_TIMEOUT, self.control.store.commit(transaction)).await?;
        }
        Ok(())
    }

    /// Lists the keys of all nodes, registers this node again if its key is missing, and acquires the
    /// authority to order if no node holds it.
    async fn list_node_keys(&mut self) -> Result<(), StoreError> {
        let list = self.control.store.list(KEY_PREFIX, Freshness::Stale);
        let Listing { items, era, .. } = with_timeout(LIST_TIMEOUT, list).await?;
        self.membership.on_listed(&items).await?;
        self.control.gateway.versions.on_listed(&items, era);
        self.orders.on_listed(&items, self.membership.lease()).await
    }
}
