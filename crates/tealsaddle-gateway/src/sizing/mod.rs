//! Orders for numbers of runners, by the node that performs the duties.
//!
//! The task asks the nodes for their demand, decides with [`tealsaddle_core::fleet::sizing`], records what it is about to
//! order, and sends it. It runs only where the settings name the duty, and does nothing while no service has a scaling or
//! another node is the holder.

pub mod messages;
pub mod outcomes;
mod polls;
pub mod records;
mod round;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tealsaddle_core::collections::HashMap;
use tealsaddle_core::fleet::config::{FleetConfig, FleetService};
use tealsaddle_core::fleet::sizing::demand::FleetDemand;
use tealsaddle_core::fleet::sizing::planner::{Observation, ServiceSizer};
use tealsaddle_core::name::Name;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

use crate::clock;
use crate::control::Control;
use crate::duties::{DutyTerm, TermWatch};
use crate::external::DutyPlatform;
use polls::Polls;
use round::DueOrder;

/// Time between two decisions.
const INTERVAL: Duration = Duration::from_secs(1);
/// Share of the calls that the platform takes which these orders may use; the other duty has the rest.
const CALLS_SHARE: f64 = 0.2;
/// Largest number of orders in a round. Their records have to fit into one transaction of the store.
const MAX_ORDERS: usize = 12;

/// Starts the task, if the settings name the duty.
pub fn spawn(control: &Arc<Control>, term: TermWatch, stage_moves: watch::Receiver<usize>) {
    let duties = control.gateway.config.duties.as_ref();
    let duties = duties.filter(|duties| duties.has_sizing);
    let Some((duties, platform)) = duties.zip(control.duty_platform.as_ref()) else {
        return;
    };
    let per_round = duties.calls_per_s * CALLS_SHARE * INTERVAL.as_secs_f64();
    let sizing = Sizing {
        platform: Arc::clone(platform),
        orders_per_round: (per_round as usize).clamp(1, MAX_ORDERS),
        control: Arc::clone(control),
        term,
        stage_moves,
        polls: Polls::open(),
        state: None,
    };
    tokio::spawn(sizing.run());
}

/// The task.
#[derive(Debug)]
struct Sizing {
    control: Arc<Control>,
    platform: Arc<dyn DutyPlatform>,
    term: TermWatch,
    /// Number of runners that have been ordered to change their stage and have not yet.
    stage_moves: watch::Receiver<usize>,
    orders_per_round: usize,
    polls: Polls,
    /// What is known in the present term; `None` while another node is the holder.
    state: Option<TermState>,
}

/// What the task knows in one term.
#[derive(Debug)]
struct TermState {
    fence: u64,
    services: HashMap<Name, ServiceState>,
}

#[derive(Debug, Default)]
struct ServiceState {
    demand: FleetDemand<SocketAddr>,
    sizer: ServiceSizer,
    /// Why no runners were given up at the last decision.
    hold: Option<&'static str>,
}

impl Sizing {
    async fn run(mut self) {
        let mut ticks = tokio::time::interval(INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            match self.term.current() {
                Some(term) => self.round(&term).await,
                None => self.state = None,
            }
        }
    }

    async fn round(&mut self, term: &DutyTerm) {
        let gateway = Arc::clone(&self.control.gateway);
        let Some(config) = gateway.snapshot.load().config.clone() else {
            return;
        };
        let services = scaled_services(&config);
        if services.is_empty() || !self.begin_term(term).await {
            return;
        }
        let loads = self.polls.ask_due(&gateway, &services).await;
        self.record_loads(loads);
        let due = self.decide(&config, &services);
        if !due.is_empty() {
            self.order(term, due).await;
        }
    }

    /// Takes over the orders of earlier holders at the begin of a term; returns whether they are known.
    async fn begin_term(&mut self, term: &DutyTerm) -> bool {
        if self.state.as_ref().is_some_and(|s| s.fence == term.fence()) {
            return true;
        }
        self.state = None;
        let read = records::read(&self.control).await;
        let records = match read {
            Ok(records) => records,
            Err(error) => {
                self.increment("sizing.records_unread");
                log::warn!(error:%; "records of orders for runners cannot be read; none are sent meanwhile");
                return false;
            }
        };
        let now_us = clock::now_us();
        let mut services: HashMap<Name, ServiceState> = HashMap::default();
        for record in &records {
            let state = services.entry(Name::clone(&record.service)).or_default();
            state
                .sizer
                .adopt(&record.subject(), record.runners, record.before, now_us);
        }
        log::info!(fence = term.fence(), records = records.len();
            "this node now decides on the number of runners");
        self.state = Some(TermState {
            fence: term.fence(),
            services,
        });
        true
    }

    fn record_loads(&mut self, loads: Vec<polls::NodeLoads>) {
        let now_us = clock::now_us();
        let Some(state) = &mut self.state else {
            return;
        };
        for (node, loads) in loads {
            for (service, load) in loads {
                let service_state = state.services.entry(service).or_default();
                service_state.demand.on_report(node, load, now_us);
            }
        }
    }

    /// Decides for each service; returns the orders that are due, as many as may be sent in a round.
    fn decide(&mut self, config: &FleetConfig, services: &[Name]) -> Vec<DueOrder> {
        let gateway = Arc::clone(&self.control.gateway);
        let snapshot = gateway.snapshot.load();
        let Some(term_state) = &mut self.state else {
            return Vec::new();
        };
        let now_us = clock::now_us();
        let members = snapshot.members.len() + 1;
        let own = polls::own_address(&gateway);
        let is_member =
            |node: &SocketAddr| *node == own || snapshot.members.iter().any(|m| m.address == *node);
        let mut due = Vec::new();
        for name in services {
            let Some((service, scaling)) = scaled(config, name) else {
                continue;
            };
            let state = term_state.services.entry(Name::clone(name)).or_default();
            state.demand.retain(is_member);
            let demand = state.demand.total(members, now_us);
            let seen = Observation {
                runners: snapshot.runners_of(name),
                demand: demand.as_ref(),
                scaling,
                engine: service.engine.as_ref(),
                has_stage_moves: service.engine.is_some() && *self.stage_moves.borrow() > 0,
            };
            let decision = state.sizer.decide(&seen, now_us);
            if decision.hold != state.hold || !decision.orders.is_empty() {
                round::log_decision(name, &decision, demand.as_ref());
                state.hold = decision.hold;
            }
            let orders = decision.orders.into_iter();
            due.extend(orders.map(|order| DueOrder::new(name, order)));
        }
        if due.len() > self.orders_per_round {
            self.increment("sizing.orders_postponed");
            due.truncate(self.orders_per_round);
        }
        due
    }

    fn increment(&self, name: &str) {
        self.control.gateway.metrics.increment(name);
    }
}

/// Names of the services whose number of runners is chosen here, in order.
fn scaled_services(config: &FleetConfig) -> Vec<Name> {
    let scaled = config.services.values().filter(|s| s.scaling.is_some());
    let mut names: Vec<Name> = scaled.map(|s| Name::clone(&s.name)).collect();
    names.sort();
    names
}

fn scaled<'a>(
    config: &'a FleetConfig,
    name: &Name,
) -> Option<(
    &'a FleetService,
    &'a tealsaddle_core::fleet::config::Scaling,
)> {
    let service = config.services.get(name)?;
    Some((service, service.scaling.as_ref()?))
}
