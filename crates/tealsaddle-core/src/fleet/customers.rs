//! The customers of a configuration, and the lookup of a customer by the digest of an API key.
//!
//! Keys are kept as SHA-256 digests only, and no debug output shows a digest: a short key could be guessed from
//! it.

use std::collections::hash_map::Entry;
use std::fmt;
use std::sync::Arc;

use crate::collections::HashMap;
use crate::digest::{DIGEST_BYTES, sha256};
use crate::name::Name;

/// A customer, whose requests bear one of its keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// Name, unique in a configuration.
    pub name: Name,
    /// Priority class of its requests, 0 the highest; `None` for that of the route.
    pub priority: Option<u32>,
}

/// SHA-256 digest of an API key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Digests a key.
    pub fn of(key: &[u8]) -> Self {
        Self(sha256(&[key]))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}

/// A customer with the digests of its keys, as an entry of a configuration lists them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerEntry {
    /// The customer.
    pub customer: Customer,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
}

/// The customers of a configuration, by the digests of their keys.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Customers {
    by_name: HashMap<Name, Arc<Customer>>,
    by_key: HashMap<KeyDigest, Arc<Customer>>,
    problems: Vec<String>,
}

impl Customers {
    /// Indexes the customers by their keys. A key that two customers hold belongs to neither. Entries of the same name
    /// are one customer, with the priority of the first. `problems` says which entries were left out and why; what is
    /// found here is added to it.
    pub fn new<I>(entries: I, problems: Vec<String>) -> Self
    where
        I: IntoIterator<Item = CustomerEntry>,
    {
        let mut customers = Self {
            problems,
            ..Self::default()
        };
        let mut holders: HashMap<KeyDigest, Option<Arc<Customer>>> = HashMap::default();
        for entry in entries {
            let customer = customers.add(entry.customer);
            for key in entry.keys {
                customers.hold(&mut holders, key, &customer);
            }
        }
        let held = holders.into_iter();
        let held = held.filter_map(|(key, holder)| Some((key, holder?)));
        customers.by_key = held.collect();
        customers
    }

    /// Returns the customer of an entry, which is the earlier one if there is one of its name.
    fn add(&mut self, customer: Customer) -> Arc<Customer> {
        match self.by_name.entry(Name::clone(&customer.name)) {
            Entry::Occupied(earlier) => {
                let name = earlier.key();
                self.problems.push(format!(
                    "customer {name} is listed twice; the first priority applies"
                ));
                Arc::clone(earlier.get())
            }
            Entry::Vacant(place) => Arc::clone(place.insert(Arc::new(customer))),
        }
    }

    /// Records that a customer holds a key; `None` in `holders` stands for several customers.
    fn hold(
        &mut self,
        holders: &mut HashMap<KeyDigest, Option<Arc<Customer>>>,
        key: KeyDigest,
        customer: &Arc<Customer>,
    ) {
        let holder = holders
            .entry(key)
            .or_insert_with(|| Some(Arc::clone(customer)));
        let other = holder
            .as_ref()
            .map_or("another customer", |holder| &*holder.name);
        if *other == *customer.name {
            return;
        }
        self.problems.push(format!(
            "a key of customer {} is also held by {other}, and belongs to neither",
            customer.name
        ));
        *holder = None;
    }

    /// Returns the customer that holds the key with this digest, in a time that does not depend on the number of keys.
    pub fn customer_of(&self, key: &KeyDigest) -> Option<&Arc<Customer>> {
        self.by_key.get(key)
    }

    /// Number of customers.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether there is no customer.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Number of keys that belong to a customer.
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }

    /// What was left out of the configuration and why, without keys.
    pub fn problems(&self) -> &[String] {
        &self.problems
    }
}
