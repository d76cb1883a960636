//! The `tealsaddlectl` program: operators' commands.

fn main() {}
