//! Messages, settings and stored records of tealsaddle.
//!
//! The types are generated from the files under `proto/` and committed, so that a build needs no
//! generator. A test in `tealsaddle-codegen` generates them again and compares the result with the
//! committed files.
//!
//! Settings and the operators' configuration reject unknown fields, so that a misspelled field is
//! reported. Stored records and peer messages accept unknown fields, because nodes of two releases
//! run side by side during a rollout.
//!
//! ```
//! let settings = tealsaddle_schema::settings::Settings::default();
//! assert!(settings.node.is_none());
//! ```

/// Settings of one node, from its YAML file.
#[rustfmt::skip]
#[path = "generated/tealsaddle.settings.v1.rs"]
pub mod settings;

/// The configuration that operators apply to the deployment.
#[rustfmt::skip]
#[path = "generated/tealsaddle.inventory.v1.rs"]
pub mod inventory;

/// Records stored in the platform's key-value service.
#[rustfmt::skip]
#[path = "generated/tealsaddle.record.v1.rs"]
pub mod record;

/// Messages and calls between nodes.
#[rustfmt::skip]
#[path = "generated/tealsaddle.peer.v1.rs"]
pub mod peer;

/// Records and messages of the nodes of a fleet whose runners register themselves.
#[rustfmt::skip]
#[path = "generated/tealsaddle.fleet.v1.rs"]
pub mod fleet;
