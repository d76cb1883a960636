//! Tests of the quarantine of parts that crash runners.

mod accounts;
mod histories;
mod history_sim;
mod list;
mod survivals;
