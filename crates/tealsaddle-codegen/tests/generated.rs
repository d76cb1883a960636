//! Keeps the committed code equal to what the schema generates.
//!
//! Run with `TEALSADDLE_REGENERATE=1` to write the files after a change of the schema.

use std::fs;
use std::path::{Path, PathBuf};

const PROTOS: [&str; 4] = [
    "settings.proto",
    "inventory.proto",
    "record.proto",
    "peer.proto",
];

fn schema_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../tealsaddle-schema")
}

fn generate(out_dir: &Path) {
    let proto_dir = schema_dir().join("proto");
    let descriptors = protox::compile(PROTOS, [&proto_dir]).expect("the schema compiles");
    let mut config = prost_build::Config::new();
    config.btree_map(["."]).out_dir(out_dir);
    // Operators' files must not contain unknown fields; records may, so that nodes of two releases
    // can read each other's.
    for package in [".tealsaddle.settings.v1", ".tealsaddle.inventory.v1"] {
        config.type_attribute(
            package,
            "#[derive(serde::Serialize, serde::Deserialize)]\n#[serde(default, deny_unknown_fields)]",
        );
    }
    for package in [".tealsaddle.record.v1", ".tealsaddle.peer.v1"] {
        config.message_attribute(
            package,
            "#[derive(serde::Serialize, serde::Deserialize)]\n#[serde(default)]",
        );
    }
    config.extern_path(".tealsaddle.record.v1", "crate::record");
    tonic_prost_build::configure()
        .out_dir(out_dir)
        .compile_fds_with_config(descriptors, config)
        .expect("code is generated");
}

#[test]
fn committed_code_matches_schema() {
    let committed = schema_dir().join("src/generated");
    if std::env::var_os("TEALSADDLE_REGENERATE").is_some() {
        generate(&committed);
        return;
    }
    let fresh = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("generated");
    fs::create_dir_all(&fresh).expect("a directory for the fresh code");
    generate(&fresh);
    for entry in fs::read_dir(&fresh).expect("the fresh code is listed") {
        let path = entry.expect("a directory entry").path();
        let name = path.file_name().expect("a file name");
        let expected = fs::read_to_string(&path).expect("the fresh file");
        let actual = fs::read_to_string(committed.join(name)).unwrap_or_default();
        assert!(
            expected == actual,
            "{} differs from the schema; run the test with TEALSADDLE_REGENERATE=1",
            name.display()
        );
    }
}
