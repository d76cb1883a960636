//! The request path on a platform whose runners register themselves.
//!
//! A gateway serves callers from an immutable view of the fleet. One control thread keeps that view
//! current from the platform's store and, while it holds the right to, orders runners to change their
//! stage. All requests run on another thread. The decisions come from `tealsaddle_core::fleet`; what a
//! platform calls things is known only to the implementations of the traits in [`external`].

pub mod admit;
pub mod answer;
pub mod call;
pub mod clock;
pub mod control;
pub mod error;
pub mod external;
pub mod fleet_state;
pub mod front;
pub mod gateway;
pub mod lifecycle;
pub mod logging;
pub mod membership;
pub mod metrics;
pub mod orders;
pub mod outgoing;
pub mod peers;
pub mod plain;
pub mod progress;
pub mod relay;
pub mod request;
pub mod rounds;
pub mod scheduler;
pub mod snapshot;
pub mod stages;
pub mod stop;
pub mod upstream;

pub use error::Error;
