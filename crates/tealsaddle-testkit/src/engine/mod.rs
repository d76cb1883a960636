//! Stand-in of a model engine.
//!
//! The output depends only on the prompt and the seed, so that a test can compare the text received
//! by a caller with the expected text, even if the stream moved between engines.

mod http;
pub mod record;
pub mod server;
pub mod sim;
pub mod stream_faults;
pub mod text;
pub mod wire;
