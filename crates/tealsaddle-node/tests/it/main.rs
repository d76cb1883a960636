//! Integration tests with real node processes.

mod path;
mod rig;
mod stream;
mod support;
