//! The interface for callers: the usual HTTP interface for language models, and plain services.
//!
//! A connection is served by `server`; `dispatch` decides whether a request is taken at all and by
//! which handler; `chat` and `service` answer it; `completion` and `attempt` run the work on engines;
//! `forward` passes it to another node.

pub mod admit;
pub mod attempt;
pub mod auth;
pub mod chat;
pub mod claim;
pub mod completion;
pub mod dispatch;
pub mod engine_work;
pub mod forward;
pub mod liveness;
pub mod openai;
pub mod proxy;
pub mod response;
pub mod select;
pub mod server;
pub mod service;
