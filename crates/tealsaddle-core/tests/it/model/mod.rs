//! Exhaustive model check of the core protocols within bounds; see docs/model-check.md.

mod authority;
mod check;
mod claims;
mod explore;
mod holder;
mod records;
mod state;
