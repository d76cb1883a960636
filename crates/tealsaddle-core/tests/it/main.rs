//! Integration tests of the decisions.

mod authority;
mod claim;
mod drain;
mod member;
mod model;
mod rollout;
mod zone_sim;
