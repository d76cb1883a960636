//! Integration tests with real node processes.

mod admin;
mod config;
mod path;
mod support;
