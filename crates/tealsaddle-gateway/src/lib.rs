//! Request path for a platform whose runners register themselves in a store.
//!
//! A runner is a process that serves requests. One control thread follows the platform's store and
//! publishes an immutable snapshot of the fleet: the configuration and the registered runners. Caller
//! requests are served on another thread from that snapshot. While this node holds the authority for it
//! (a lease in the store), the control thread also orders runners to switch between the prefill and the
//! decode stage. The decisions are made by `tealsaddle_core::fleet`; header names, stored formats and
//! other platform specifics are known only to the implementations of the traits in [`external`].

pub mod admit;
pub mod answer;
pub mod body_buffer;
pub mod borrowed_paths;
pub mod call;
pub mod caller_memory;
pub mod change_log;
pub mod changes;
pub mod clock;
pub mod connector;
pub mod control;
pub mod customers;
pub mod departures;
pub mod duties;
pub mod endpoint_connections;
pub mod error;
pub mod event_stream;
pub mod external;
pub mod fleet_state;
pub mod follow;
pub mod framing;
pub mod front;
pub mod gateway;
pub mod held_bytes;
pub mod idle_timeout;
pub mod knowledge;
pub mod lifecycle;
pub mod logging;
pub mod membership;
pub mod metrics;
pub mod orders;
pub mod outgoing;
pub mod peer_message;
pub mod peer_server;
pub mod peers;
pub mod permits;
pub mod plain;
pub mod prefill;
pub mod process_check;
pub mod progress;
pub mod quarantine;
pub mod relay;
pub mod repeats;
pub mod request;
pub mod resumption;
pub mod rounds;
pub mod scheduler;
pub mod send_gate;
pub mod send_progress;
pub mod shares;
pub mod signals;
pub mod silence;
pub mod sizing;
pub mod snapshot;
pub mod stages;
pub mod stop;
pub mod stream_version;
pub mod timeout;
pub mod upstream;
pub mod usage;
pub mod versions;

pub use error::Error;
