//! The customers of a configuration.

use crate::name::Name;

/// A customer, whose requests bear one of its keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// Name, unique in a configuration.
    pub name: Name,
    /// Priority class of its requests, 0 the highest; `None` for that of the route.
    pub priority: Option<u32>,
}
