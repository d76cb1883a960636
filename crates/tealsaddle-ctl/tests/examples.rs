//! Guards against an example configuration that the programs refuse.

use std::path::Path;

use tealsaddle_core::inventory::Inventory;

#[test]
fn example_inventory_is_valid() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/config/inventory.yaml");
    let yaml = std::fs::read_to_string(file).expect("the example");
    let inventory = Inventory::from_yaml(&yaml, 1).expect("a valid configuration");
    assert_eq!(inventory.engines.len(), 2);
}
