//! Stand-in of a model engine.
//!
//! Its output depends only on the prompt and the seed, so that a test can compare what a caller
//! received with what the engine must have produced, also when a stream moved between engines.

mod http;
pub mod record;
pub mod server;
pub mod sim;
pub mod stream_faults;
pub mod text;
pub mod wire;
