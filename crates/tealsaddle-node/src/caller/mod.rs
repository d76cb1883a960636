//! The interface for callers: the usual HTTP interface for language models.

pub mod completion;
pub mod openai;
pub mod response;
pub mod server;
