//! The operators' configuration in its validated form.
//!
//! The schema types accept any text and number. [`Inventory::from_yaml`] checks them once and turns
//! them into types that the decisions can rely on: every reference resolves, every name is unique,
//! every default is filled in. A file with one fault is refused as a whole, and the error names the
//! field and the rule.

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
        let zones = read_zones(&schema.zones)?;
        let models = read_models(&schema.models)?;
        let mut target_names = HashSet::default();
        let engines = read_engines(&schema.engines, &zones, &models, &mut target_names)?;
        let services = read_services(&schema.services, &zones, &mut target_names)?;
        let (customers, customers_by_key) = read_customers(&schema.customers)?;
        let policy = read_policy(schema.policy.as_ref())?;
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

fn unique<'a>(seen: &mut HashSet<&'a str>, field: &str, name: &'a str) -> Result<Name, Error> {
    if name.is_empty() {
        return Err(Error::field(field, "must not be empty"));
    }
    if !seen.insert(name) {
        return Err(Error::field(field, format!("{name:?} is used twice")));
    }
    Ok(Name::from(name))
}

fn address(field: &str, text: &str) -> Result<SocketAddr, Error> {
    text.parse()
        .map_err(|_parse| Error::field(field, format!("{text:?} is not IP:port")))
}

fn zone_reference(field: &str, zone: &str, zones: &HashMap<Name, Zone>) -> Result<Name, Error> {
    match zones.get_key_value(zone) {
        Some((name, _)) => Ok(Name::clone(name)),
        None => Err(Error::field(
            field,
            format!("zone {zone:?} is not listed under zones"),
        )),
    }
}

fn optional_name(text: &str) -> Option<Name> {
    (!text.is_empty()).then(|| Name::from(text))
}

fn or_default(value: u64, default: u64) -> u64 {
    if value == 0 { default } else { value }
}

fn read_zones(list: &[schema::Zone]) -> Result<HashMap<Name, Zone>, Error> {
    let mut seen = HashSet::default();
    let mut zones = HashMap::default();
    for (i, zone) in list.iter().enumerate() {
        let name = unique(&mut seen, &format!("zones[{i}].name"), &zone.name)?;
        let spill_to = zone
            .spill_to
            .iter()
            .map(|near| Name::from(near.as_str()))
            .collect();
        let region = Name::from(zone.region.as_str());
        zones.insert(
            Name::clone(&name),
            Zone {
                name,
                region,
                spill_to,
            },
        );
    }
    for (i, zone) in list.iter().enumerate() {
        for (j, near) in zone.spill_to.iter().enumerate() {
            let field = format!("zones[{i}].spill_to[{j}]");
            zone_reference(&field, near, &zones)?;
            if *near == zone.name {
                return Err(Error::field(field, "a zone cannot spill to itself"));
            }
        }
    }
    Ok(zones)
}

fn read_models(list: &[schema::Model]) -> Result<HashMap<Name, Arc<Model>>, Error> {
    let mut seen = HashSet::default();
    let mut models = HashMap::default();
    for (i, model) in list.iter().enumerate() {
        let name = unique(&mut seen, &format!("models[{i}].name"), &model.name)?;
        let model = Model {
            name: Name::clone(&name),
            version: Name::from(model.version.as_str()),
            first_token_ms: or_default(model.first_token_ms, 490),
            between_tokens_ms: or_default(model.between_tokens_ms, 37),
            max_output_tokens: if model.max_output_tokens == 0 {
                4_096
            } else {
                model.max_output_tokens
            },
        };
        models.insert(name, Arc::new(model));
    }
    Ok(models)
}

fn read_engines<'a>(
    list: &'a [schema::Engine],
    zones: &HashMap<Name, Zone>,
    models: &HashMap<Name, Arc<Model>>,
    seen: &mut HashSet<&'a str>,
) -> Result<HashMap<Name, Arc<Engine>>, Error> {
    let mut engines = HashMap::default();
    for (i, engine) in list.iter().enumerate() {
        let field = |name: &str| format!("engines[{i}].{name}");
        let name = unique(seen, &field("name"), &engine.name)?;
        let zone = zone_reference(&field("zone"), &engine.zone, zones)?;
        if engine.models.is_empty() {
            return Err(Error::field(
                field("models"),
                "must name at least one model",
            ));
        }
        let mut served = Vec::new();
        for (j, model) in engine.models.iter().enumerate() {
            let Some((model, _)) = models.get_key_value(model.as_str()) else {
                let rule = format!("model {model:?} is not listed under models");
                return Err(Error::field(field(&format!("models[{j}]")), rule));
            };
            served.push(Name::clone(model));
        }
        let initial_role = if engine.role.is_empty() {
            Role::Mixed
        } else {
            engine
                .role
                .parse()
                .map_err(|error: Error| Error::field(field("role"), error.to_string()))?
        };
        let rates = [
            (
                "prefill_tokens_per_s",
                u64::from(engine.prefill_tokens_per_s),
            ),
            ("decode_tokens_per_s", u64::from(engine.decode_tokens_per_s)),
            ("batch_requests", u64::from(engine.batch_requests)),
            ("kv_capacity_tokens", engine.kv_capacity_tokens),
        ];
        for (rate, value) in rates {
            if value == 0 {
                return Err(Error::field(field(rate), "must be above 0"));
            }
        }
        let engine = Engine {
            name: Name::clone(&name),
            zone,
            vm: optional_name(&engine.vm),
            address: address(&field("address"), &engine.address)?,
            models: served,
            initial_role,
            checks_fence: engine.checks_fence,
            prefill_tokens_per_s: engine.prefill_tokens_per_s,
            decode_tokens_per_s: engine.decode_tokens_per_s,
            batch_requests: engine.batch_requests,
            kv_capacity_tokens: engine.kv_capacity_tokens,
            role_change_ms: or_default(engine.role_change_ms, 5_000),
            withdrawn: engine.withdrawn,
        };
        engines.insert(name, Arc::new(engine));
    }
    Ok(engines)
}

fn read_services<'a>(
    list: &'a [schema::Service],
    zones: &HashMap<Name, Zone>,
    seen_targets: &mut HashSet<&'a str>,
) -> Result<HashMap<Name, Arc<Service>>, Error> {
    let mut seen = HashSet::default();
    let mut services = HashMap::default();
    for (i, service) in list.iter().enumerate() {
        let name = unique(&mut seen, &format!("services[{i}].name"), &service.name)?;
        let mut targets = Vec::new();
        for (j, target) in service.targets.iter().enumerate() {
            let field = |name: &str| format!("services[{i}].targets[{j}].{name}");
            targets.push(Arc::new(Target {
                name: unique(seen_targets, &field("name"), &target.name)?,
                zone: zone_reference(&field("zone"), &target.zone, zones)?,
                vm: optional_name(&target.vm),
                address: address(&field("address"), &target.address)?,
                withdrawn: target.withdrawn,
            }));
        }
        let mut non_repeatable = Vec::new();
        for (j, rule) in service.non_repeatable.iter().enumerate() {
            if rule.method.is_empty() {
                let field = format!("services[{i}].non_repeatable[{j}].method");
                return Err(Error::field(field, "must not be empty"));
            }
            non_repeatable.push(NonRepeatable {
                method: rule.method.clone(),
                path_prefix: rule.path_prefix.clone(),
            });
        }
        let timeout_ms = or_default(service.timeout_ms, 10_000);
        let service = Service {
            name: Name::clone(&name),
            targets,
            non_repeatable,
            timeout_ms,
        };
        services.insert(name, Arc::new(service));
    }
    Ok(services)
}

type Customers = (HashMap<Name, Arc<Customer>>, HashMap<String, Arc<Customer>>);

fn read_customers(list: &[schema::Customer]) -> Result<Customers, Error> {
    let mut seen = HashSet::default();
    let mut customers = HashMap::default();
    let mut by_key: HashMap<String, Arc<Customer>> = HashMap::default();
    for (i, customer) in list.iter().enumerate() {
        let field = |name: &str| format!("customers[{i}].{name}");
        let name = unique(&mut seen, &field("name"), &customer.name)?;
        for (rule, value) in [
            ("requests_per_s", customer.requests_per_s),
            ("share", customer.share),
        ] {
            if !value.is_finite() || value < 0.0 {
                return Err(Error::field(
                    field(rule),
                    "must be a finite number of at least 0",
                ));
            }
        }
        let entry = Arc::new(Customer {
            name: Name::clone(&name),
            priority: customer.priority,
            requests_per_s: (customer.requests_per_s > 0.0).then_some(customer.requests_per_s),
            share: if customer.share > 0.0 {
                customer.share
            } else {
                1.0
            },
        });
        for (j, key) in customer.api_key_sha256.iter().enumerate() {
            let key_field = field(&format!("api_key_sha256[{j}]"));
            if key.len() != 64 || !key.bytes().all(|byte| byte.is_ascii_hexdigit()) {
                return Err(Error::field(key_field, "must be 64 hexadecimal digits"));
            }
            if by_key
                .insert(key.to_ascii_lowercase(), Arc::clone(&entry))
                .is_some()
            {
                return Err(Error::field(key_field, "the key is used twice"));
            }
        }
        customers.insert(name, entry);
    }
    Ok((customers, by_key))
}

fn read_policy(policy: Option<&schema::Policy>) -> Result<Policy, Error> {
    let default = Policy::default();
    let Some(policy) = policy else {
        return Ok(default);
    };
    let planner = match policy.planner.as_str() {
        "" | "cost" => PlannerKind::Cost,
        "fixed" => PlannerKind::Fixed,
        "threshold" => PlannerKind::Threshold,
        "mixed" => PlannerKind::Mixed,
        other => {
            let rule =
                format!("unknown planner {other:?}; expected cost, fixed, threshold or mixed");
            return Err(Error::field("policy.planner", rule));
        }
    };
    let weight = policy.role_change_weight;
    if !weight.is_finite() || weight < 0.0 {
        let rule = "must be a finite number of at least 0";
        return Err(Error::field("policy.role_change_weight", rule));
    }
    if !(0.0..=1.0).contains(&policy.max_moving_share) {
        return Err(Error::field(
            "policy.max_moving_share",
            "must be between 0 and 1",
        ));
    }
    Ok(Policy {
        planner,
        role_change_weight: if weight > 0.0 {
            weight
        } else {
            default.role_change_weight
        },
        min_dwell_ms: or_default(policy.min_dwell_ms, default.min_dwell_ms),
        max_moving_share: if policy.max_moving_share > 0.0 {
            policy.max_moving_share
        } else {
            default.max_moving_share
        },
        role_floor: if policy.role_floor == 0 {
            default.role_floor
        } else {
            policy.role_floor
        },
        plan_interval_ms: or_default(policy.plan_interval_ms, default.plan_interval_ms),
    })
}
