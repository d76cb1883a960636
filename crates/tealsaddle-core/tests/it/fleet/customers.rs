//! Tests of the lookup of customers by the digests of their keys.

use tealsaddle_core::fleet::customers::{Customer, CustomerEntry, Customers, KeyDigest};
use tealsaddle_core::name::Name;
use yare::parameterized;

fn entry(name: &str, priority: Option<u32>, keys: &[&str]) -> CustomerEntry {
    CustomerEntry {
        customer: Customer {
            name: Name::from(name),
            priority,
        },
        keys: keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect(),
    }
}

fn name_of<'a>(customers: &'a Customers, key: &str) -> Option<&'a str> {
    let customer = customers.customer_of(&KeyDigest::of(key.as_bytes()))?;
    Some(&customer.name)
}

/// Guards against a key that is taken for that of another customer, or is not known, in a large configuration.
#[test]
fn each_of_many_keys_belongs_to_its_customer() {
    const KEYS: usize = 10_000;
    let key = |number: usize| format!("key-{number}");
    let entries = (0..KEYS).map(|n| entry(&format!("c{}", n / 5), None, &[&key(n)]));
    let customers = Customers::new(entries, Vec::new());
    assert_eq!(customers.key_count(), KEYS);
    assert_eq!(customers.len(), KEYS / 5);
    for number in 0..KEYS {
        let expected = format!("c{}", number / 5);
        assert_eq!(name_of(&customers, &key(number)), Some(&*expected));
    }
    for unknown in ["", "key", "key-10000", "key-1 ", "KEY-1"] {
        assert_eq!(name_of(&customers, unknown), None, "{unknown:?}");
    }
}

/// Guards against a key that still identifies one of the customers that hold it, in whatever order and number, and
/// against one that loses its customer because the same customer lists it twice.
#[parameterized(
    held_by_two = { &[("a", &["k", "a1"]), ("b", &["k", "b1"])], None, 1 },
    held_by_three = { &[("a", &["k", "a1"]), ("b", &["k", "b1"]), ("c", &["k"])], None, 2 },
    held_by_first_again = { &[("a", &["k", "a1"]), ("b", &["k", "b1"]), ("a", &["k"])], None, 3 },
    listed_twice = { &[("a", &["k", "k", "a1"]), ("b", &["b1"])], Some("a"), 0 },
    in_two_entries_of_a_name = { &[("a", &["k"]), ("a", &["k", "a1"]), ("b", &["b1"])], Some("a"), 1 },
)]
fn key_of_several_customers_belongs_to_none(
    listed: &[(&str, &[&str])],
    expected: Option<&str>,
    problems: usize,
) {
    let entries = listed.iter().map(|(name, keys)| entry(name, None, keys));
    let customers = Customers::new(entries, Vec::new());
    assert_eq!(name_of(&customers, "k"), expected);
    assert_eq!(name_of(&customers, "a1"), Some("a"));
    assert_eq!(name_of(&customers, "b1"), Some("b"));
    let found = customers.problems();
    assert_eq!(found.len(), problems, "{found:?}");
}

/// Guards against entries of one name that are two customers, so that the name stands for two priorities.
#[test]
fn entries_of_a_name_are_one_customer() {
    let entries = [entry("a", Some(2), &["k1"]), entry("a", Some(7), &["k2"])];
    let customers = Customers::new(entries, Vec::new());
    let of = |key: &str| customers.customer_of(&KeyDigest::of(key.as_bytes()));
    assert_eq!(of("k1"), of("k2"));
    assert_eq!(of("k2").and_then(|customer| customer.priority), Some(2));
}

/// Guards against a digest in debug output, from which a short key could be guessed.
#[test]
fn debug_output_shows_neither_keys_nor_digests() {
    let customers = Customers::new([entry("a", None, &["league-key"])], Vec::new());
    let output = format!("{customers:?}");
    assert!(!output.contains("league-key"), "{output}");
    let digest = tealsaddle_core::digest::sha256_hex(&[b"league-key"]);
    assert!(!output.contains(&digest[..8]), "{output}");
    let first_byte = tealsaddle_core::digest::sha256(&[b"league-key"])[0].to_string();
    assert!(!output.contains(&first_byte), "{output}");
}
