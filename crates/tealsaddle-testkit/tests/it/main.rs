//! Tests of the stand-ins, on which the validity of all tests of the system depends.

mod engine;
mod platform;
mod proxy;
