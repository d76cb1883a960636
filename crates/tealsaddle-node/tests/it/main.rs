//! Integration tests with real node processes.

mod admin;
mod authority;
mod cluster;
mod config;
mod faults;
mod membership;
mod path;
mod support;
