//! Check of callers' API keys.
//!
//! A configuration with customers requires the key of one of them on each route that is not public. The check reads
//! the key from the head of the request and returns whose request it is; the key itself is kept nowhere.

use std::sync::Arc;

use hyper::header::{AUTHORIZATION, HeaderMap};
use tealsaddle_core::fleet::config::{FleetConfig, Route};
use tealsaddle_core::fleet::customers::{Customer, KeyDigest};

use crate::answer::GatewayAnswer;

/// Scheme of the `Authorization` header that bears a key (RFC 6750, section 2.1).
const SCHEME: &[u8] = b"bearer";
/// Largest number of problems that are logged for one configuration.
const MAX_LOGGED_PROBLEMS: usize = 32;

/// Why a request has no customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyProblem {
    /// The request bears no key, or not as `Authorization: Bearer KEY`.
    Missing,
    /// The request has several `Authorization` headers, so that the key is ambiguous.
    Several,
    /// The key belongs to no customer.
    Unknown,
}

impl KeyProblem {
    /// Name of the reason in counters, log records and the body of the answer.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Missing => "key_missing",
            Self::Several => "key_ambiguous",
            Self::Unknown => "key_unknown",
        }
    }
}

/// Whose request it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerIdentity {
    /// The configuration has no customers: what the caller sent about itself is passed on.
    PassedThrough,
    /// The key was checked; `None` for a request on a public route without the key of a customer.
    Checked(Option<Arc<Customer>>),
}

impl CallerIdentity {
    /// The customer, if there is one.
    pub const fn customer(&self) -> Option<&Arc<Customer>> {
        match self {
            Self::PassedThrough => None,
            Self::Checked(customer) => customer.as_ref(),
        }
    }

    /// The identity under a newer configuration, for a request that was already admitted as `self`. A key that was
    /// checked once is not passed on to a runner, also if the newer configuration has no customers.
    #[must_use]
    pub fn or_checked(self, earlier: &Self) -> Self {
        match (&self, earlier) {
            (Self::PassedThrough, Self::Checked(_)) => Self::Checked(None),
            _ => self,
        }
    }
}

/// Checks the key of a request on a route, or returns the answer to a request that needs a key and has none.
pub fn check(
    config: &FleetConfig,
    route: &Route,
    headers: &HeaderMap,
) -> Result<CallerIdentity, GatewayAnswer> {
    let Some(customers) = &config.customers else {
        return Ok(CallerIdentity::PassedThrough);
    };
    let customer = key_digest(headers).and_then(|key| {
        let customer = customers.customer_of(&key);
        customer.cloned().ok_or(KeyProblem::Unknown)
    });
    match customer {
        Ok(customer) => Ok(CallerIdentity::Checked(Some(customer))),
        Err(_problem) if route.is_public => Ok(CallerIdentity::Checked(None)),
        Err(problem) => Err(GatewayAnswer::Unauthorized(problem)),
    }
}

/// Digest of the key in the head of a request.
fn key_digest(headers: &HeaderMap) -> Result<KeyDigest, KeyProblem> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let value = values.next().ok_or(KeyProblem::Missing)?;
    if values.next().is_some() {
        return Err(KeyProblem::Several);
    }
    let value = value.as_bytes();
    let scheme_end = value.iter().position(|byte| *byte == b' ');
    let (scheme, key) = value.split_at(scheme_end.ok_or(KeyProblem::Missing)?);
    let key = key.trim_ascii();
    if !scheme.eq_ignore_ascii_case(SCHEME) || key.is_empty() {
        return Err(KeyProblem::Missing);
    }
    Ok(KeyDigest::of(key))
}

/// Logs the customers of a configuration that comes into force, and what was left out.
pub fn log_customers(config: &FleetConfig) {
    let Some(customers) = &config.customers else {
        return;
    };
    let version = config.version;
    let problems = customers.problems();
    for problem in problems.iter().take(MAX_LOGGED_PROBLEMS) {
        log::warn!(version, problem:%; "part of the customers ignored");
    }
    log::info!(version, customers = customers.len(), keys = customers.key_count(),
        problems = problems.len(); "customers in force");
}
