//! The operators' configuration in its validated form.
//!
//! The schema types accept any text and number. [`Inventory::from_yaml`] validates them once and
//! converts them to types in which every reference resolves, every name is unique and every default
//! is set. A file with any invalid value is rejected as a whole, and the error names the field and
//! the rule.

mod validate;

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use tealsaddle_schema::inventory as schema;

use crate::Error;
use crate::collections::{HashMap, HashSet};
use crate::name::Name;

/// Kind of work that an engine performs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Role {
    /// Processes prompts and exports the KV cache.
    Prefill,
    /// Imports the KV cache and generates output.
    Decode,
    /// Processes prompts and generates output.
    Mixed,
}

impl Role {
    /// Returns the name that is used in messages and in the configuration.
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

/// Version of the configuration; 0 before the first is known.
pub type ConfigVersion = u64;

/// One validated version of the configuration.
#[derive(Debug, Clone)]
pub struct Inventory {
    /// Version under which the configuration was accepted.
    pub version: ConfigVersion,
    /// Zones by name.
    pub zones: HashMap<Name, Zone>,
    /// Models by name.
    pub models: HashMap<Name, Arc<Model>>,
    /// Engines by name.
    pub engines: HashMap<Name, Arc<Engine>>,
    /// Plain services, which are not model engines, by name.
    pub services: HashMap<Name, Arc<Service>>,
    /// Customers by name.
    pub customers: HashMap<Name, Arc<Customer>>,
    /// Customers by the SHA-256 of an API key, in lower-case hexadecimal.
    pub customers_by_key: HashMap<String, Arc<Customer>>,
    /// Parameters of routing and role planning.
    pub policy: Policy,
}

/// An availability zone.
#[derive(Debug, Clone)]
pub struct Zone {
    /// Name of the zone, unique among zones.
    pub name: Name,
    /// Region that the zone belongs to.
    pub region: Name,
    /// Zones that may receive overflow requests of this zone, nearest first.
    pub spill_to: Vec<Name>,
}

/// A model and its latency objectives.
#[derive(Debug, Clone)]
pub struct Model {
    /// Name by which callers request the model.
    pub name: Name,
    /// Version that engines should have loaded.
    pub version: Name,
    /// Latency objective for the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Latency objective between two tokens, in milliseconds.
    pub between_tokens_ms: u64,
    /// Maximum number of output tokens that one request may ask for.
    pub max_output_tokens: u32,
}

/// A model engine.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Name of the engine, unique among engines and targets.
    pub name: Name,
    /// Zone in which the engine runs.
    pub zone: Name,
    /// VM on which the engine runs; `None` if the platform does not list that VM.
    pub vm: Option<Name>,
    /// Address of the engine's HTTP interface.
    pub address: SocketAddr,
    /// Models that the engine serves.
    pub models: Vec<Name>,
    /// Role that the engine has when it is first used.
    pub initial_role: Role,
    /// Whether the engine rejects orders with an outdated fencing token.
    pub checks_fence: bool,
    /// Prompt tokens that the engine can process per second.
    pub prefill_tokens_per_s: u32,
    /// Output tokens that the engine can generate per second, over its whole batch.
    pub decode_tokens_per_s: u32,
    /// Requests that the engine can decode concurrently.
    pub batch_requests: u32,
    /// Capacity of the KV cache, in tokens.
    pub kv_capacity_tokens: u64,
    /// Duration of a role change, in milliseconds.
    pub role_change_ms: u64,
    /// Whether an operator has withdrawn the engine from service.
    pub withdrawn: bool,
}

/// A plain service, which is not a model engine.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name of the service, which callers use in the path `/services/NAME/`.
    pub name: Name,
    /// Processes that provide the service.
    pub targets: Vec<Arc<Target>>,
    /// Rules for calls that must not be repeated.
    pub non_repeatable: Vec<NonRepeatable>,
    /// Timeout of a whole call, in milliseconds.
    pub timeout_ms: u64,
}

impl Service {
    /// Returns whether a rule marks the call as not repeatable.
    pub fn is_non_repeatable(&self, method: &str, path: &str) -> bool {
        self.non_repeatable.iter().any(|rule| {
            rule.method.eq_ignore_ascii_case(method) && path.starts_with(&rule.path_prefix)
        })
    }
}

/// A process that provides a plain service.
#[derive(Debug, Clone)]
pub struct Target {
    /// Name of the target, unique among engines and targets.
    pub name: Name,
    /// Zone in which the target runs.
    pub zone: Name,
    /// VM on which the target runs; `None` if the platform does not list that VM.
    pub vm: Option<Name>,
    /// Address of the target's HTTP interface.
    pub address: SocketAddr,
    /// Whether an operator has withdrawn the target from service.
    pub withdrawn: bool,
}

/// A rule that marks calls as not repeatable.
#[derive(Debug, Clone)]
pub struct NonRepeatable {
    /// HTTP method, compared without regard to case.
    pub method: String,
    /// Prefix of the path below the service.
    pub path_prefix: String,
}

/// A customer, to which callers belong.
#[derive(Debug, Clone)]
pub struct Customer {
    /// Name of the customer, unique among customers.
    pub name: Name,
    /// Priority class; 0 has the highest priority.
    pub priority: u32,
    /// Limit of requests per second over the whole deployment; `None` if unlimited.
    pub requests_per_s: Option<f64>,
    /// Weight in fair sharing.
    pub share: f64,
}

/// Planner that decides on role changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlannerKind {
    /// Weighs the cost of a role change against the late responses that it avoids.
    Cost,
    /// Never changes a role.
    Fixed,
    /// Compares queue lengths with thresholds.
    Threshold,
    /// Runs all engines in the mixed role.
    Mixed,
}

/// Parameters of routing and role planning.
#[derive(Debug, Clone)]
pub struct Policy {
    /// Planner in use.
    pub planner: PlannerKind,
    /// Number of late responses that one role change must avoid to be worthwhile. About 1 favours
    /// goodput, about 10 favours few role changes.
    pub role_change_weight: f64,
    /// Minimum time for which an engine keeps a role, in milliseconds.
    pub min_dwell_ms: u64,
    /// Largest fraction of a pool that may change role concurrently.
    pub max_moving_share: f64,
    /// Minimum number of engines that each role of a model keeps.
    pub role_floor: u32,
    /// Interval between runs of the planner, in milliseconds.
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
    /// Parses and validates the text of a configuration file.
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

    /// Validates a configuration that was already parsed.
    pub fn from_schema(schema: &schema::Inventory, version: ConfigVersion) -> Result<Self, Error> {
        let zones = validate::zones(&schema.zones)?;
        let models = validate::models(&schema.models)?;
        // Engines and targets share one namespace.
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

    /// Iterates over the engines of a zone that serve a model, except withdrawn ones.
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
