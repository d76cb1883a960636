//! Integration tests of the decisions.

mod model;
