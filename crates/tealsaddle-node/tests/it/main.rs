//! Integration tests with real node processes.

mod admin;
mod authority;
mod cluster;
mod config;
mod membership;
mod path;
mod support;
