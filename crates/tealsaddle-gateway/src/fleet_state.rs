//! Configuration, registrations and quarantined parts, as last read from the store or a peer.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tealsaddle_core::collections::{HashMap, HashSet};
use tealsaddle_core::fleet::Runner;
use tealsaddle_core::fleet::change_sources::Member;
use tealsaddle_core::fleet::config::{FleetConfig, Route};
use tealsaddle_core::fleet::departures::Departures;
use tealsaddle_core::fleet::quarantine::list::QuarantineList;
use tealsaddle_core::fleet::store_availability::StoreAvailability;
use tealsaddle_core::fleet::store_era::StoreEra;
use tealsaddle_core::fleet::store_words::StoreWords;
use tealsaddle_core::name::Name;

use crate::change_log::ChangeLog;
use crate::customers;
use crate::external::{Change, Changes, Dialect, Item, Listing};
use crate::snapshot::FleetSnapshot;

/// Largest number of routes whose changed timeouts are logged for one configuration.
const MAX_LOGGED_ROUTES: usize = 16;

/// A runner's registration.
#[derive(Debug, Clone)]
struct Registration {
    /// `None` if the entry cannot be parsed.
    runner: Option<Arc<Runner>>,
    value: Vec<u8>,
    revision: u64,
    /// Set while the registration is no longer in the store.
    lapse: Option<Lapse>,
}

/// A registration that may have lapsed while the store was away.
#[derive(Debug, Clone, Copy)]
struct Lapse {
    /// Time at which the runner is dropped unless it has registered again.
    expires_us: u64,
    /// Whether a peer has told so, rather than that this node has concluded it from the silence of the store.
    is_told: bool,
    /// Whether other nodes have been asked what they know of it.
    is_asked: bool,
}

/// A configuration as stored. It contains the keys of customers, so its debug output does not show it.
#[derive(Default)]
struct ConfigValue(Vec<u8>);

impl fmt::Debug for ConfigValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} bytes", self.0.len())
    }
}

/// State of the fleet in the control thread.
#[derive(Debug)]
pub struct FleetState {
    /// Whether the store answers this node.
    pub store_availability: StoreAvailability,
    /// When the store is known to have answered this node or another one.
    pub store_words: StoreWords,
    departures: Departures,
    /// Number of registered nodes, including this one; 0 before the first listing.
    pub nodes: u32,
    /// Addresses at which the other registered nodes serve their peers.
    pub peers: Arc<[SocketAddr]>,
    /// The other registered nodes that serve peers.
    pub members: Arc<[Member]>,
    /// The latest changes, and how far the keys are known.
    pub changes: ChangeLog,
    /// Whether the quarantined parts are known, from the store or a peer.
    pub has_quarantine_list: bool,
    quarantine: Arc<QuarantineList>,
    config: Option<Arc<FleetConfig>>,
    config_value: ConfigValue,
    /// Registrations by their full key in the store.
    registrations: HashMap<String, Registration>,
    /// Whether the registrations have been listed at least once.
    has_runner_list: bool,
    /// Store revision that the registrations reflect.
    revision: u64,
    era: StoreEra,
}

impl FleetState {
    /// Creates the state of a node that knows nothing yet, on a platform whose runners renew their registrations each
    /// `renewal`.
    pub fn open(renewal: Duration) -> Self {
        Self {
            store_availability: StoreAvailability::default(),
            store_words: StoreWords::open(renewal.as_micros() as u64),
            departures: Departures::default(),
            nodes: 0,
            peers: Arc::default(),
            members: Arc::default(),
            changes: ChangeLog::default(),
            has_quarantine_list: false,
            quarantine: Arc::default(),
            config: None,
            config_value: ConfigValue::default(),
            registrations: HashMap::default(),
            has_runner_list: false,
            revision: 0,
            era: StoreEra::default(),
        }
    }

    /// Takes over the other nodes that serve peers.
    pub fn set_members(&mut self, members: Arc<[Member]>) {
        self.peers = members.iter().map(|member| member.address).collect();
        self.members = members;
    }

    /// Applies a configuration if it is newer than the current one; returns whether it is.
    pub fn on_config(&mut self, config: FleetConfig, value: &[u8]) -> bool {
        let current = self.config.as_ref().map(|config| config.version);
        if current.is_some_and(|current| current >= config.version) {
            return false;
        }
        if let Some(current) = &self.config {
            log_changed_limits(current, &config);
        }
        customers::log_customers(&config);
        self.config = Some(Arc::new(config));
        value.clone_into(&mut self.config_value.0);
        true
    }

    /// Applies a listing of all registrations; those that are not in it count as removed.
    pub fn on_listing(
        &mut self,
        dialect: &dyn Dialect,
        prefix: &str,
        listing: Listing,
        now_us: u64,
    ) {
        let is_first_era = self.era.current().is_none() && listing.era.is_some();
        self.follow_era(listing.era, listing.revision);
        if self.has_runner_list && listing.revision < self.revision && !is_first_era {
            log::warn!(revision = listing.revision, known_revision = self.revision;
                "listing of the runners is older than what is known, and ignored");
            return;
        }
        let listed: HashSet<&str> = listing.items.iter().map(|item| item.key.as_str()).collect();
        let is_unlisted = |key: &&String| !listed.contains(key.as_str());
        let unlisted: Vec<String> = self
            .registrations
            .keys()
            .filter(is_unlisted)
            .cloned()
            .collect();
        for key in unlisted {
            self.remove(&key, listing.revision, now_us);
        }
        for item in listing.items {
            self.put(dialect, prefix, item);
        }
        self.has_runner_list = true;
        self.revision = self.revision.max(listing.revision);
    }

    /// Lets the registrations of an earlier era yield to any state of a later one: the store has come back from an
    /// older copy and gives revisions out again.
    fn follow_era(&mut self, era: Option<u64>, revision: u64) {
        if !self.era.rises_to(era) {
            return;
        }
        log::warn!(era, revision, earlier_revision = self.revision;
            "store came back from an older copy; all registrations are replaced");
        self.revision = revision;
        self.departures.clear();
        for registration in self.registrations.values_mut() {
            registration.revision = 0;
        }
    }

    /// Applies changes of registrations, in order.
    pub fn on_changes(
        &mut self,
        dialect: &dyn Dialect,
        prefix: &str,
        changes: Changes,
        now_us: u64,
    ) {
        let known = self.revision;
        let new = changes.changes.into_iter();
        for change in new.filter(|change| change.revision() > known) {
            match change {
                Change::Put(item) => self.put(dialect, prefix, item),
                Change::Removed {
                    key,
                    revision,
                    has_left: true,
                } => self.on_left(&key, revision),
                Change::Removed { key, revision, .. } => self.remove(&key, revision, now_us),
            }
        }
        self.revision = self.revision.max(changes.revision);
    }

    fn put(&mut self, dialect: &dyn Dialect, prefix: &str, item: Item) {
        let current = self.registrations.get(&item.key);
        if current.is_some_and(|current| current.revision > item.revision) {
            return;
        }
        let id = item.key.strip_prefix(prefix).unwrap_or(&item.key);
        let runner = match dialect.runner(id, &item.value) {
            Ok(runner) => Some(Arc::new(runner)),
            Err(error) => {
                log::warn!(key:% = item.key, error:%; "registration cannot be parsed; runner ignored");
                None
            }
        };
        self.log_change(&item.key, runner.as_deref(), item.revision);
        let registration = Registration {
            runner,
            value: item.value,
            revision: item.revision,
            lapse: None,
        };
        // A runner that is registered is not among those that have left.
        if current.is_none() {
            self.departures.forget(&item.key);
        }
        self.registrations.insert(item.key, registration);
    }

    fn log_change(&self, key: &str, runner: Option<&Runner>, revision: u64) {
        let before = self.registrations.get(key);
        let before = before.and_then(|current| current.runner.as_deref());
        let Some(runner) = runner else {
            return;
        };
        let is_same = before.is_some_and(|before| {
            before.is_draining == runner.is_draining
                && before.stage == runner.stage
                && before.started_unix_ms == runner.started_unix_ms
        });
        if !is_same {
            log::info!(runner:% = runner.id, is_draining = runner.is_draining,
                stage:? = runner.stage, revision; "runner registered");
        }
    }

    fn remove(&mut self, key: &str, revision: u64, now_us: u64) {
        let keep_until_us = self.store_words.keep_until_us(now_us);
        let Some(current) = self.registrations.get_mut(key) else {
            return;
        };
        if current.revision > revision {
            return;
        }
        let is_draining = current.runner.as_ref().is_some_and(|r| r.is_draining);
        match keep_until_us.filter(|_until_us| !is_draining) {
            Some(expires_us) => {
                let is_same = |lapse: Lapse| lapse.is_asked && lapse.expires_us >= expires_us;
                let is_asked = current.lapse.is_some_and(is_same);
                current.lapse = Some(Lapse {
                    expires_us,
                    is_told: false,
                    is_asked,
                });
                let kept_ms = expires_us.saturating_sub(now_us) / 1_000;
                log::info!(key, revision, kept_ms; "registration may have lapsed; runner kept for now");
            }
            None => self.on_left(key, revision),
        }
    }

    /// Drops a runner that is known to have left by a revision.
    fn on_left(&mut self, key: &str, revision: u64) {
        let current = self.registrations.get(key);
        if current.is_some_and(|current| current.revision > revision) {
            return;
        }
        if self.registrations.remove(key).is_some() {
            log::info!(key, revision; "runner gone");
        }
        self.departures.on_left(key, revision);
    }

    /// Whether the runner of a registration has left since it wrote it at `registered_revision`.
    pub fn has_left(&self, key: &str, registered_revision: u64) -> bool {
        self.departures.has_left(key, registered_revision)
    }

    /// Registrations that are no longer in the store and may have lapsed, with the revisions at which they were written.
    pub fn lapsed(&self) -> impl Iterator<Item = (&str, u64)> {
        let registrations = self.registrations.iter();
        let lapsed = registrations.filter(|(_key, registration)| registration.lapse.is_some());
        lapsed.map(|(key, registration)| (key.as_str(), registration.revision))
    }

    /// Returns whether some registrations may have lapsed of which other nodes have not been asked, and counts them as asked.
    pub fn begin_asking(&mut self) -> bool {
        let mut has_new = false;
        let registrations = self.registrations.values_mut();
        for lapse in registrations.filter_map(|registration| registration.lapse.as_mut()) {
            has_new |= !lapse.is_asked;
            lapse.is_asked = true;
        }
        has_new
    }

    /// Drops the runners that are kept and of which a peer knows that they have left; returns their number.
    pub fn on_told_left(&mut self, keys: &[String]) -> usize {
        self.drop_lapsed(|key, _lapse| keys.iter().any(|told| told == key))
    }

    /// Drops the runners that were kept for a silence which leaves no room for an outage any more, by what is known of the
    /// store now; returns their number.
    pub fn settle(&mut self, now_us: u64) -> usize {
        if self.store_words.keep_until_us(now_us).is_some() {
            return 0;
        }
        self.drop_lapsed(|_key, lapse| !lapse.is_told)
    }

    /// Drops the runners whose registrations have lapsed and for which `has_ended` holds; returns their number.
    fn drop_lapsed<F>(&mut self, has_ended: F) -> usize
    where
        F: Fn(&str, Lapse) -> bool,
    {
        let registrations = self.registrations.iter();
        let lapsed = registrations.filter_map(|(key, registration)| {
            let lapse = registration.lapse?;
            has_ended(key, lapse).then(|| key.clone())
        });
        let keys: Vec<String> = lapsed.collect();
        for key in &keys {
            self.on_left(key, self.revision);
        }
        keys.len()
    }

    /// Records that a registration is no longer in the store and is kept until `expires_us`, as a peer tells.
    pub fn on_lapsed(&mut self, key: &str, expires_us: u64) {
        if let Some(registration) = self.registrations.get_mut(key) {
            registration.lapse = Some(Lapse {
                expires_us,
                is_told: true,
                is_asked: false,
            });
        }
    }

    /// Time until which a lapsed registration is kept; `None` while it is in the store.
    pub fn expires_us(&self, key: &str) -> Option<u64> {
        let lapse = self.registrations.get(key)?.lapse?;
        Some(lapse.expires_us)
    }

    /// Whether any runner is kept although its registration is no longer in the store.
    pub fn has_lapsed_registrations(&self) -> bool {
        self.lapsed().next().is_some()
    }

    /// Drops the runners whose registrations have lapsed and which have not registered again in time; returns their number.
    pub fn expire(&mut self, now_us: u64) -> usize {
        self.drop_lapsed(|key, lapse| {
            let is_over = lapse.expires_us <= now_us;
            if is_over {
                log::info!(key; "registration did not come back");
            }
            is_over
        })
    }

    /// Era of the store, if it tells.
    pub const fn era(&self) -> Option<u64> {
        self.era.current()
    }

    /// The registered runner with this id.
    pub fn runner(&self, id: &str) -> Option<&Arc<Runner>> {
        let mut runners = self
            .registrations
            .values()
            .filter_map(|r| r.runner.as_ref());
        runners.find(|runner| &*runner.id == id)
    }

    /// Newest configuration, as stored; `None` before the first one.
    pub fn config_value(&self) -> Option<&[u8]> {
        self.config.is_some().then_some(&self.config_value.0)
    }

    /// Registrations, as stored, with the store revision that they reflect; `None` before the first listing.
    pub fn listing(&self) -> Option<Listing> {
        self.has_runner_list.then(|| Listing {
            items: self
                .registrations
                .iter()
                .map(|(key, registration)| Item {
                    key: key.clone(),
                    value: registration.value.clone(),
                    revision: registration.revision,
                })
                .collect(),
            revision: self.revision,
            era: self.era.current(),
        })
    }

    /// The quarantined parts.
    pub fn quarantine(&self) -> &QuarantineList {
        &self.quarantine
    }

    /// The quarantined parts, to be changed. Published snapshots keep what they have.
    pub fn quarantine_mut(&mut self) -> &mut QuarantineList {
        Arc::make_mut(&mut self.quarantine)
    }

    /// Whether configuration, registrations and quarantined parts are known.
    pub const fn is_ready(&self) -> bool {
        self.config.is_some() && self.has_runner_list && self.has_quarantine_list
    }

    /// Creates the snapshot from which requests are served.
    pub fn snapshot(&self) -> FleetSnapshot {
        let mut runners: HashMap<Name, Vec<Arc<Runner>>> = HashMap::default();
        for runner in self
            .registrations
            .values()
            .filter_map(|r| r.runner.as_ref())
        {
            let service_runners = runners.entry(Name::clone(&runner.service)).or_default();
            service_runners.push(Arc::clone(runner));
        }
        for service_runners in runners.values_mut() {
            service_runners.sort_by(|a, b| a.id.cmp(&b.id));
        }
        FleetSnapshot {
            config: self.config.clone(),
            runners,
            has_runner_list: self.has_runner_list,
            runners_revision: self.revision,
            nodes: self.nodes,
            peers: Arc::clone(&self.peers),
            members: Arc::clone(&self.members),
            has_quarantine_list: self.has_quarantine_list,
            quarantine: Arc::clone(&self.quarantine),
        }
    }
}

/// Logs what a new configuration changes in the limits of callers and in the timeouts of routes. Requests in
/// flight keep the limits of the version with which they were admitted.
fn log_changed_limits(before: &FleetConfig, after: &FleetConfig) {
    let version = after.version;
    if before.limits != after.limits {
        log::info!(version, before:? = before.limits, after:? = after.limits; "caller limits changed");
    }
    let earlier: HashMap<&str, &Arc<Route>> = before.routes().map(|r| (&*r.name, r)).collect();
    let changed = after.routes().filter_map(|route| {
        let before_ms = earlier.get(&*route.name)?.timeout_ms;
        (before_ms != route.timeout_ms).then_some((route, before_ms))
    });
    for (route, before_ms) in changed.take(MAX_LOGGED_ROUTES) {
        log::info!(version, route:% = route.name, before_ms, timeout_ms = route.timeout_ms;
            "route timeout changed");
    }
}
