//! Validates each part of the configuration and converts it to its runtime form.
//!
//! An error names the field by its path, such as `engines[3].zone`, and the rule that its value
//! violates.

use std::net::SocketAddr;
use std::sync::Arc;

use tealsaddle_schema::inventory as schema;

use super::{
    Customer, Engine, Model, NonRepeatable, PlannerKind, Policy, Role, Service, Target, Zone,
};
use crate::Error;
use crate::collections::{HashMap, HashSet};
use crate::name::Name;

/// Default of `Model::first_token_ms`.
const DEFAULT_FIRST_TOKEN_MS: u64 = 490;
/// Default of `Model::between_tokens_ms`.
const DEFAULT_BETWEEN_TOKENS_MS: u64 = 37;
/// Default of `Model::max_output_tokens`.
const DEFAULT_MAX_OUTPUT_TOKENS: u32 = 4_096;
/// Default of `Engine::role_change_ms`.
const DEFAULT_ROLE_CHANGE_MS: u64 = 5_000;
/// Default of `Service::timeout_ms`.
const DEFAULT_SERVICE_TIMEOUT_MS: u64 = 10_000;

fn unique_name<'a>(seen: &mut HashSet<&'a str>, field: &str, name: &'a str) -> Result<Name, Error> {
    if name.is_empty() {
        return Err(Error::field(field, "must not be empty"));
    }
    if !seen.insert(name) {
        return Err(Error::field(field, format!("{name:?} is used twice")));
    }
    Ok(Name::from(name))
}

fn socket_addr(field: &str, text: &str) -> Result<SocketAddr, Error> {
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

/// Returns `default` if `value` is 0, which is also the value of an omitted field.
fn or_default(value: u64, default: u64) -> u64 {
    if value == 0 { default } else { value }
}

pub(super) fn zones(list: &[schema::Zone]) -> Result<HashMap<Name, Zone>, Error> {
    let mut seen = HashSet::default();
    let mut zones = HashMap::default();
    for (i, zone) in list.iter().enumerate() {
        let name = unique_name(&mut seen, &format!("zones[{i}].name"), &zone.name)?;
        let spill_to = zone
            .spill_to
            .iter()
            .map(|spill_zone| Name::from(spill_zone.as_str()))
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
        for (j, spill_zone) in zone.spill_to.iter().enumerate() {
            let field = format!("zones[{i}].spill_to[{j}]");
            zone_reference(&field, spill_zone, &zones)?;
            if *spill_zone == zone.name {
                return Err(Error::field(field, "a zone cannot spill to itself"));
            }
        }
    }
    Ok(zones)
}

pub(super) fn models(list: &[schema::Model]) -> Result<HashMap<Name, Arc<Model>>, Error> {
    let mut seen = HashSet::default();
    let mut models = HashMap::default();
    for (i, model) in list.iter().enumerate() {
        let name = unique_name(&mut seen, &format!("models[{i}].name"), &model.name)?;
        let model = Model {
            name: Name::clone(&name),
            version: Name::from(model.version.as_str()),
            first_token_ms: or_default(model.first_token_ms, DEFAULT_FIRST_TOKEN_MS),
            between_tokens_ms: or_default(model.between_tokens_ms, DEFAULT_BETWEEN_TOKENS_MS),
            max_output_tokens: if model.max_output_tokens == 0 {
                DEFAULT_MAX_OUTPUT_TOKENS
            } else {
                model.max_output_tokens
            },
        };
        models.insert(name, Arc::new(model));
    }
    Ok(models)
}

pub(super) fn engines<'a>(
    list: &'a [schema::Engine],
    zones: &HashMap<Name, Zone>,
    models: &HashMap<Name, Arc<Model>>,
    seen: &mut HashSet<&'a str>,
) -> Result<HashMap<Name, Arc<Engine>>, Error> {
    let mut engines = HashMap::default();
    for (i, engine) in list.iter().enumerate() {
        let field = |name: &str| format!("engines[{i}].{name}");
        let name = unique_name(seen, &field("name"), &engine.name)?;
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
        let capacities = [
            (
                "prefill_tokens_per_s",
                u64::from(engine.prefill_tokens_per_s),
            ),
            ("decode_tokens_per_s", u64::from(engine.decode_tokens_per_s)),
            ("batch_requests", u64::from(engine.batch_requests)),
            ("kv_capacity_tokens", engine.kv_capacity_tokens),
        ];
        for (parameter, value) in capacities {
            if value == 0 {
                return Err(Error::field(field(parameter), "must be above 0"));
            }
        }
        let engine = Engine {
            name: Name::clone(&name),
            zone,
            vm: optional_name(&engine.vm),
            address: socket_addr(&field("address"), &engine.address)?,
            models: served,
            initial_role,
            checks_fence: engine.checks_fence,
            prefill_tokens_per_s: engine.prefill_tokens_per_s,
            decode_tokens_per_s: engine.decode_tokens_per_s,
            batch_requests: engine.batch_requests,
            kv_capacity_tokens: engine.kv_capacity_tokens,
            role_change_ms: or_default(engine.role_change_ms, DEFAULT_ROLE_CHANGE_MS),
            withdrawn: engine.withdrawn,
        };
        engines.insert(name, Arc::new(engine));
    }
    Ok(engines)
}

pub(super) fn services<'a>(
    list: &'a [schema::Service],
    zones: &HashMap<Name, Zone>,
    seen_targets: &mut HashSet<&'a str>,
) -> Result<HashMap<Name, Arc<Service>>, Error> {
    let mut seen = HashSet::default();
    let mut services = HashMap::default();
    for (i, service) in list.iter().enumerate() {
        let name = unique_name(&mut seen, &format!("services[{i}].name"), &service.name)?;
        let mut targets = Vec::new();
        for (j, target) in service.targets.iter().enumerate() {
            let field = |name: &str| format!("services[{i}].targets[{j}].{name}");
            targets.push(Arc::new(Target {
                name: unique_name(seen_targets, &field("name"), &target.name)?,
                zone: zone_reference(&field("zone"), &target.zone, zones)?,
                vm: optional_name(&target.vm),
                address: socket_addr(&field("address"), &target.address)?,
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
        let timeout_ms = or_default(service.timeout_ms, DEFAULT_SERVICE_TIMEOUT_MS);
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

/// Customers by name, and by the SHA-256 of an API key in lower-case hexadecimal.
type Customers = (HashMap<Name, Arc<Customer>>, HashMap<String, Arc<Customer>>);

pub(super) fn customers(list: &[schema::Customer]) -> Result<Customers, Error> {
    let mut seen = HashSet::default();
    let mut customers = HashMap::default();
    let mut by_key: HashMap<String, Arc<Customer>> = HashMap::default();
    for (i, customer) in list.iter().enumerate() {
        let field = |name: &str| format!("customers[{i}].{name}");
        let name = unique_name(&mut seen, &field("name"), &customer.name)?;
        for (parameter, value) in [
            ("requests_per_s", customer.requests_per_s),
            ("share", customer.share),
        ] {
            if !value.is_finite() || value < 0.0 {
                return Err(Error::field(
                    field(parameter),
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

pub(super) fn policy(policy: Option<&schema::Policy>) -> Result<Policy, Error> {
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
