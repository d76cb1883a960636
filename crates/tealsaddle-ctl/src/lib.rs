//! Command line for operators, over the administration API.
