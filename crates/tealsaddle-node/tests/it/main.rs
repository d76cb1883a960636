//! Integration tests with real node processes.

mod admin;
mod config;
mod operator;
mod path;
mod rig;
mod stream;
mod support;
