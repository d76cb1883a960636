//! Integration tests with real node processes.

mod admin;
mod caller;
mod config;
mod faults;
mod hostile;
mod path;
mod rig;
mod service;
mod stream;
mod support;
