//! The node's rounds with the store.
//!
//! A round keeps the lease, reads now and then what the nodes have written, and gives orders where this
//! node is the one that does.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use crate::clock::{self, jittered};
use crate::control::{CALL_TIMEOUT, Control, within};
use crate::error::StoreError;
use crate::external::Freshness;
use crate::membership::Membership;
use crate::orders::Orders;

/// Start of all keys of this system.
const PREFIX: &str = "tealsaddle/";
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

/// The rounds of one node.
#[derive(Debug)]
pub struct ControlLoop {
    control: Arc<Control>,
    membership: Membership,
    orders: Orders,
    made: u32,
}

impl ControlLoop {
    /// Makes the rounds of a node that is not registered yet.
    pub fn open(control: Arc<Control>) -> Self {
        Self {
            membership: Membership::open(Arc::clone(&control)),
            orders: Orders::open(Arc::clone(&control)),
            control,
            made: 0,
        }
    }

    /// Runs rounds until told to leave, then gives up what the node holds.
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
        if let Some(ended) = self.membership.leave().await {
            log::info!(was_holder = self.orders.has_authority(), ended:?; "left the store");
        }
        // The watches go on until the process ends.
        std::future::pending::<()>().await;
    }

    async fn round(&mut self) -> Result<(), StoreError> {
        self.keep_lease().await?;
        self.made += 1;
        if self.made < FIRST_ROUNDS || self.made.is_multiple_of(ROUNDS_PER_LIST) {
            self.look_around().await?;
        }
        self.orders.expire();
        self.orders.give().await
    }

    async fn keep_lease(&mut self) -> Result<(), StoreError> {
        let sent_us = clock::now_us();
        if self.membership.renew(sent_us).await? {
            self.orders.on_lease_renewed(sent_us);
            return Ok(());
        }
        self.orders.drop_authority("the lease has ended");
        self.membership.join(sent_us).await
    }

    /// Reads what the nodes have written, and takes the right to give orders where nobody has it.
    async fn look_around(&mut self) -> Result<(), StoreError> {
        let list = self.control.store.list(PREFIX, Freshness::Stale);
        let items = within(CALL_TIMEOUT, list).await?.items;
        self.membership.on_listed(&items).await?;
        self.orders.on_listed(&items, self.membership.lease()).await
    }
}
