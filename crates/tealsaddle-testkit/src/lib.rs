//! Stand-ins and tools for tests and measurements of tealsaddle.
//!
//! Outside systems are met through their protocol. This package holds a small stand-in for each of
//! them, so that tests and measurements need no third-party server. Nothing here is shipped.

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
