//! Tests of the stand-ins: a test of the system is worth no more than they are.

mod engine;
mod platform;
mod proxy;
