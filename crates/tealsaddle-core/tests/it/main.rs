//! Integration tests of the decision logic.

mod admission;
mod arrivals;
mod authority;
mod claim;
mod decision;
mod drain;
mod fleet;
mod inventory;
mod load;
mod member;
mod model;
mod planner;
mod prefix;
mod retry;
mod rollout;
mod route;
mod stream;
mod zone_sim;
