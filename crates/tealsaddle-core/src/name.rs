//! Names as shared immutable strings.
//!
//! Names of engines, zones and models are copied into every decision, so cloning one must cost no
//! more than a reference count.

use std::sync::Arc;

/// Name of a VM, zone, engine, target, model, service or customer.
pub type Name = Arc<str>;
