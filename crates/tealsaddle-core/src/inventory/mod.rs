//! The operators' configuration in its validated form.
//!
//! The schema types accept any text and number. [`Inventory::from_yaml`] checks them once and turns
//! them into types that the decisions can rely on: every reference resolves, every name is unique,
//! every default is filled in. A file with one fault is refused as a whole, and the error names the
//! field and the rule.

mod validate;

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use tealsaddle_schema::inventory as schema;

use crate::Error;
use crate::collections::{HashMap, HashSet};
use crate::name::Name;

/// Work that an engine takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Role {
    /// Reads prompts and exports KV cache.
    Prefill,
    /// Imports KV cache and generates output.
    Decode,
    /// Does both.
    Mixed,
}

impl Role {
    /// The name used in messages and settings.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Prefill => "prefill",
            Self::Decode => "decode",
            Self::Mixed => "mixed",
        }
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Role {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "prefill" => Ok(Self::Prefill),
            "decode" => Ok(Self::Decode),
            "mixed" => Ok(Self::Mixed),
            other => Err(Error::UnknownRole(other.to_owned())),
        }
    }
}

/// Version of the configuration; 0 before any is known.
pub type ConfigVersion = u64;

/// One version of the configuration, validated.
#[derive(Debug, Clone)]
pub struct Inventory {
    /// Version under which it was accepted.
    pub version: ConfigVersion,
    /// Zones by name.
    pub zones: HashMap<Name, Zone>,
    /// Models by name.
    pub models: HashMap<Name, Arc<Model>>,
    /// Engines by name.
    pub engines: HashMap<Name, Arc<Engine>>,
    /// Plain services by name.
    pub services: HashMap<Name, Arc<Service>>,
    /// Customers by name.
    pub customers: HashMap<Name, Arc<Customer>>,
    /// Customers by the SHA-256 of an API key, in lower-case hexadecimal.
    pub customers_by_key: HashMap<String, Arc<Customer>>,
    /// Rules of routing and role planning.
    pub policy: Policy,
}

/// An availability zone.
#[derive(Debug, Clone)]
pub struct Zone {
    /// Name of the zone.
    pub name: Name,
    /// Region of the zone.
    pub region: Name,
    /// Zones that may take its overflow, nearest first.
    pub spill_to: Vec<Name>,
}

/// A model and its latency targets.
#[derive(Debug, Clone)]
pub struct Model {
    /// Name that callers use.
    pub name: Name,
    /// Version to be loaded.
    pub version: Name,
    /// Target for the first token.
    pub first_token_ms: u64,
    /// Target between tokens.
    pub between_tokens_ms: u64,
    /// Most tokens that one request may ask for.
    pub max_output_tokens: u32,
}

/// A model engine.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Name of the engine.
    pub name: Name,
    /// Zone of the engine.
    pub zone: Name,
    /// VM it runs on, where the platform lists it.
    pub vm: Option<Name>,
    /// HTTP address.
    pub address: SocketAddr,
    /// Models it serves.
    pub models: Vec<Name>,
    /// Role at first.
    pub initial_role: Role,
    /// Whether it refuses orders with an old fencing token.
    pub checks_fence: bool,
    /// Prompt tokens it can read in a second.
    pub prefill_tokens_per_s: u32,
    /// Output tokens it can generate in a second over its whole batch.
    pub decode_tokens_per_s: u32,
    /// Requests it can decode at once.
    pub batch_requests: u32,
    /// Tokens its KV cache can hold.
    pub kv_capacity_tokens: u64,
    /// Time that a change of role takes.
    pub role_change_ms: u64,
    /// Whether it was withdrawn by an operator.
    pub withdrawn: bool,
}

/// A plain service.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Processes that answer for it.
    pub targets: Vec<Arc<Target>>,
    /// Calls that may not be repeated.
    pub non_repeatable: Vec<NonRepeatable>,
    /// Time for a whole call.
    pub timeout_ms: u64,
}

impl Service {
    /// Whether a call is marked as not repeatable.
    pub fn is_non_repeatable(&self, method: &str, path: &str) -> bool {
        self.non_repeatable.iter().any(|rule| {
            rule.method.eq_ignore_ascii_case(method) && path.starts_with(&rule.path_prefix)
        })
    }
}

/// A process that answers for a plain service.
#[derive(Debug, Clone)]
pub struct Target {
    /// Name of the target.
    pub name: Name,
    /// Zone of the target.
    pub zone: Name,
    /// VM it runs on, where the platform lists it.
    pub vm: Option<Name>,
    /// HTTP address.
    pub address: SocketAddr,
    /// Whether it was withdrawn by an operator.
    pub withdrawn: bool,
}

/// A rule that marks calls as not repeatable.
#[derive(Debug, Clone)]
pub struct NonRepeatable {
    /// HTTP method.
    pub method: String,
    /// Start of the path below the service.
    pub path_prefix: String,
}

/// A customer, to whom callers belong.
#[derive(Debug, Clone)]
pub struct Customer {
    /// Name of the customer.
    pub name: Name,
    /// Priority class, 0 first.
    pub priority: u32,
    /// Requests a second over the deployment, where limited.
    pub requests_per_s: Option<f64>,
    /// Weight in fair sharing.
    pub share: f64,
}

/// Which planner decides on roles.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlannerKind {
    /// Weighs the cost of a change against late answers.
    Cost,
    /// Never changes a role.
    Fixed,
    /// Compares queue lengths with thresholds.
    Threshold,
    /// Runs all engines in the mixed role.
    Mixed,
}

/// Rules of routing and role planning.
#[derive(Debug, Clone)]
pub struct Policy {
    /// Which planner decides.
    pub planner: PlannerKind,
    /// Late answers that one role change must avoid to be worth it.
    pub role_change_weight: f64,
    /// Time an engine keeps a role at least.
    pub min_dwell_ms: u64,
    /// Largest share of a pool that may change role at once.
    pub max_moving_share: f64,
    /// Engines that each role of a model keeps at least.
    pub role_floor: u32,
    /// Time between two rounds of the planner.
    pub plan_interval_ms: u64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            planner: PlannerKind::Cost,
            role_change_weight: 1.0,
            min_dwell_ms: 60_000,
            max_moving_share: 0.25,
            role_floor: 1,
            plan_interval_ms: 1_000,
        }
    }
}

impl Inventory {
    /// Reads and checks a configuration file.
    ///
    /// # Examples
    ///
    /// ```
    /// use tealsaddle_core::inventory::Inventory;
    ///
    /// let error = Inventory::from_yaml("engines: [{name: e1, zone: nowhere}]", 1).unwrap_err();
    /// assert!(error.to_string().starts_with("engines[0].zone: "));
    /// ```
    pub fn from_yaml(yaml: &str, version: ConfigVersion) -> Result<Self, Error> {
        let schema: schema::Inventory =
            serde_saphyr::from_str(yaml).map_err(|error| Error::InvalidYaml(error.to_string()))?;
        Self::from_schema(&schema, version)
    }

    /// Checks a configuration that was already parsed.
    pub fn from_schema(schema: &schema::Inventory, version: ConfigVersion) -> Result<Self, Error> {
        let zones = validate::zones(&schema.zones)?;
        let models = validate::models(&schema.models)?;
        let mut target_names = HashSet::default();
        let engines = validate::engines(&schema.engines, &zones, &models, &mut target_names)?;
        let services = validate::services(&schema.services, &zones, &mut target_names)?;
        let (customers, customers_by_key) = validate::customers(&schema.customers)?;
        let policy = validate::policy(schema.policy.as_ref())?;
        Ok(Self {
            version,
            zones,
            models,
            engines,
            services,
            customers,
            customers_by_key,
            policy,
        })
    }

    /// Engines of a zone that serve a model, withdrawn ones left out.
    pub fn engines_for<'a>(
        &'a self,
        zone: &'a str,
        model: &'a str,
    ) -> impl Iterator<Item = &'a Arc<Engine>> {
        self.engines.values().filter(move |engine| {
            &*engine.zone == zone
                && !engine.withdrawn
                && engine.models.iter().any(|served| &**served == model)
        })
    }
}
