//! Authentication of callers by API key.

use std::sync::Arc;

use hyper::StatusCode;
use hyper::header::{AUTHORIZATION, HeaderMap};
use tealsaddle_core::digest::sha256_hex;
use tealsaddle_core::inventory::{Customer, Inventory};

use super::response::Refusal;

/// Returns the customer that owns the API key of a request, or `None` if the configuration has no
/// API keys at all.
pub fn authenticate(
    inventory: &Inventory,
    headers: &HeaderMap,
) -> Result<Option<Arc<Customer>>, Refusal> {
    if inventory.customers_by_key.is_empty() {
        return Ok(None);
    }
    let key = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.split_once(' '))
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
        .map(|(_, key)| key.trim());
    let customer = key.and_then(|key| {
        inventory
            .customers_by_key
            .get(&sha256_hex(&[key.as_bytes()]))
    });
    match customer {
        Some(customer) => Ok(Some(Arc::clone(customer))),
        None => Err(Refusal::not_run(
            StatusCode::UNAUTHORIZED,
            "invalid_api_key",
            "the API key is missing or unknown",
        )),
    }
}
