//! Shared immutable strings for names.
//!
//! Names of engines, zones and models are cloned into every decision, so a clone only increments a
//! reference count.

use std::sync::Arc;

/// Name of a VM, zone, engine, target, model, service or customer.
pub type Name = Arc<str>;
