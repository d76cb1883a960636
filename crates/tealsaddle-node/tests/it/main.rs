//! Integration tests with real node processes.

mod admin;
mod config;
mod faults;
mod path;
mod support;
