//! Integration tests with real node processes.

mod caller;
mod hostile;
mod path;
mod rig;
mod service;
mod stream;
mod support;
