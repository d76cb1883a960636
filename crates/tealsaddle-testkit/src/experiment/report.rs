//! Reports.
