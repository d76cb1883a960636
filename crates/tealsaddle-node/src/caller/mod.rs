//! The caller interface: an OpenAI-compatible HTTP API for language models, and plain services.
//!
//! `server` accepts connections and serves requests on them. `dispatch` applies the limits common to
//! all requests and selects the handler. `chat` and `service` handle requests, `completion`,
//! `generation` and `attempt` run a completion on engines, and `forward` relays a request to another node.

pub mod admit;
pub mod attempt;
pub mod auth;
mod body_end;
pub mod chat;
pub mod claim;
pub mod completion;
pub mod dispatch;
pub mod engine_work;
pub mod forward;
pub mod generation;
pub mod liveness;
pub mod openai;
pub mod payload;
pub mod peer_attempts;
pub mod proxy;
pub mod response;
pub mod select;
pub mod server;
pub mod service;
