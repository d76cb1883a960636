//! Stand-ins and tools for tests and measurements of tealsaddle.
//!
//! tealsaddle talks to external systems only through their network protocols. This crate contains a
//! small stand-in for each of them, so that tests and measurements need no third-party server. It
//! is not part of a release.

pub mod client;
pub mod deployment;
pub mod engine;
pub mod experiment;
pub mod http;
pub mod load;
pub mod platform;
pub mod process;
pub mod proxy;
pub mod service;
