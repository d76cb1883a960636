//! Tests of the number of runners.

mod decisions;
mod demand;
mod histories;
mod sim;

use tealsaddle_core::fleet::config::{EngineLimits, Scaling};
use tealsaddle_core::name::Name;

/// Three zones with the prices and bounds of the deployment that pays for its runners.
pub fn scaling() -> Scaling {
    let prices = [("a", 1.0), ("b", 0.8), ("c", 1.25)];
    Scaling {
        min: 1,
        max: 94,
        boot_ms: 4_000,
        spot_price: Some(0.18),
        zone_prices: prices.map(|(zone, price)| (Name::from(zone), price)).into(),
    }
}

/// A model service whose runners have 32 places.
pub fn engine() -> EngineLimits {
    EngineLimits {
        slots: 32,
        kv_tokens: 444_000,
        kv_bytes_per_token: 131_072,
        link_mbps: 100_000.0,
        switch_ms: 2_000,
    }
}
