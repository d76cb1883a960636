//! Lets requests wait for an update of the fleet after the process was paused.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tealsaddle_core::fleet::resumption::Resumption;

use crate::clock;
use crate::gateway::Gateway;
use crate::knowledge::KnowledgeClock;

/// Pause between two turns that are recorded, a fraction of what counts as a pause of the process.
const TURN: Duration = Duration::from_millis(250);
/// Pause between two looks at the node's knowledge.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The turns of the process, recorded by the control thread and by requests.
#[derive(Debug)]
pub struct ResumptionClock(Mutex<Resumption>);

impl ResumptionClock {
    /// Begins at the start of the process.
    pub fn open() -> Self {
        Self(Mutex::new(Resumption::new(clock::now_us())))
    }

    /// Waits until the node has heard what has changed during a pause of the process; returns at once if there was none.
    /// Returns whether it has waited.
    pub async fn until_current(&self, knowledge: &KnowledgeClock) -> bool {
        let mut has_waited = false;
        while self.must_wait(knowledge) {
            has_waited = true;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        has_waited
    }

    fn must_wait(&self, knowledge: &KnowledgeClock) -> bool {
        let as_of_us = knowledge.as_of_us();
        let wait = self.resumption().wait_until_us(as_of_us, clock::now_us());
        wait.is_some()
    }

    fn resumption(&self) -> MutexGuard<'_, Resumption> {
        self.0.lock().expect("no holder of the lock panics")
    }
}

/// Records the turns of the process. Never returns.
pub async fn record_turns(gateway: Arc<Gateway>) {
    loop {
        gateway.resumption.resumption().on_turn(clock::now_us());
        tokio::time::sleep(TURN).await;
    }
}
