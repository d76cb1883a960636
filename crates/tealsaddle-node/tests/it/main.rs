//! Integration tests with node processes, and with the data plane of a node in the test process.

mod admin;
mod authority;
mod cluster;
mod completions;
mod config;
mod early_signal;
mod end_to_end;
mod faults;
mod forward;
mod framing;
mod malformed_input;
mod membership;
mod operator;
mod orders;
mod peer_list;
mod peers;
mod planner;
mod prefix_affinity;
mod service;
mod silence;
mod stop;
mod stream;
mod support;
mod test_node;
mod zone_capacity;
