//! Messages, settings and stored records of tealsaddle.
//!
//! The types are generated from the files under `proto/` and committed, so that a build needs no
//! generator. A test regenerates them and compares. Settings and the operators' configuration
//! refuse unknown fields, because a misspelled field must not pass silently; stored records and peer
//! messages accept them, because nodes of two releases run side by side during a rollout.
//!
//! ```
//! let settings = tealsaddle_schema::settings::Settings::default();
//! assert!(settings.node.is_none());
//! ```

/// Settings of one node.
#[rustfmt::skip]
#[path = "generated/tealsaddle.settings.v1.rs"]
pub mod settings;

/// The operators' configuration.
#[rustfmt::skip]
#[path = "generated/tealsaddle.inventory.v1.rs"]
pub mod inventory;

/// Records kept in the platform's key-value service.
#[rustfmt::skip]
#[path = "generated/tealsaddle.record.v1.rs"]
pub mod record;

/// Calls between nodes.
#[rustfmt::skip]
#[path = "generated/tealsaddle.peer.v1.rs"]
pub mod peer;
