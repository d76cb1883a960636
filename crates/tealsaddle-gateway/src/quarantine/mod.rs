//! Quarantine of prompt parts and requests that crash runners: what the nodes tell each other, and what requests are
//! told.
//!
//! The request path reports answers that survive and requests that are lost with their runners ([`losses`]).
//! Losses go to two collectors, nodes that are chosen by the service ([`collector`]). A collector that finds a
//! deadly part or request has it quarantined: [`keeper`], in the control thread, publishes the decision, tells the
//! peers and stores it. Quarantined requests, and those with a quarantined part, are refused by [`gate`]. The
//! decisions are made by [`tealsaddle_core::fleet::quarantine`].

pub mod collector;
pub mod gate;
pub mod keeper;
pub mod losses;
pub mod messages;
pub mod peer_clock;
pub mod records;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use tealsaddle_core::fleet::PromptPart;
use tealsaddle_core::fleet::quarantine::subject::{RequestDigest, SubjectKey};
use tealsaddle_core::fleet::quarantine::survivals::Survivals;
use tealsaddle_core::name::Name;
use tokio::sync::mpsc;

use crate::quarantine::collector::Collector;
use crate::quarantine::keeper::Command;
use crate::quarantine::losses::PendingLosses;
use crate::upstream::Upstreams;

/// Capacity of the queue of commands to the control thread. A command that does not fit is dropped: decisions
/// and survivals are found again with the next loss or answer.
const COMMAND_QUEUE: usize = 256;

/// What a node knows of crashes, apart from the list of quarantined parts in the snapshot of the fleet.
#[derive(Debug)]
pub struct Quarantine {
    /// Address on which peers reach this node; `None` if it serves no peers.
    own_address: Option<SocketAddr>,
    /// Connections to peers.
    upstreams: Arc<Upstreams>,
    survivals: Mutex<Survivals>,
    losses: PendingLosses,
    collector: Collector,
    commands: mpsc::Sender<Command>,
    /// Taken by the control thread when it starts.
    receiver: Mutex<Option<mpsc::Receiver<Command>>>,
}

impl Quarantine {
    /// Creates the state of a node that has seen no crash.
    pub fn open(own_address: Option<SocketAddr>) -> Self {
        let (commands, receiver) = mpsc::channel(COMMAND_QUEUE);
        Self {
            own_address,
            upstreams: Upstreams::open(),
            survivals: Mutex::default(),
            losses: PendingLosses::default(),
            collector: Collector::default(),
            commands,
            receiver: Mutex::new(Some(receiver)),
        }
    }

    /// The commands for the control thread. Returns `None` to all callers but the first one.
    pub fn take_commands(&self) -> Option<mpsc::Receiver<Command>> {
        let mut receiver = self.receiver.lock().expect("no holder of the lock panics");
        receiver.take()
    }

    /// Sends a command to the control thread.
    pub fn send(&self, command: Command) {
        if let Err(error) = self.commands.try_send(command) {
            log::warn!(error:%; "command of the quarantine dropped");
        }
    }

    fn survivals(&self) -> MutexGuard<'_, Survivals> {
        self.survivals.lock().expect("no holder of the lock panics")
    }

    /// Records that an answer has survived whose first event came at `first_event_us`.
    fn on_survived(
        &self,
        service: &Name,
        request: RequestDigest,
        parts: &[PromptPart],
        first_event_us: u64,
    ) {
        let mut survivals = self.survivals();
        survivals.on_survived(service, request, parts, first_event_us);
    }

    /// Forgets the losses of a part or request whose quarantine has ended.
    pub fn forget_losses(&self, key: &SubjectKey) {
        self.collector.forget(key);
    }

    /// When a part or request last survived at this node.
    pub fn survived_us(&self, key: &SubjectKey) -> Option<u64> {
        self.survivals().survived_us(key)
    }
}
