//! Integration tests with real node processes.

mod admin;
mod authority;
mod caller;
mod cluster;
mod config;
mod faults;
mod forward;
mod hostile;
mod membership;
mod operator;
mod orders;
mod path;
mod peers;
mod planner;
mod prefix;
mod rig;
mod service;
mod stop;
mod stream;
mod support;
