//! Integration tests with real node processes.

mod path;
mod support;
