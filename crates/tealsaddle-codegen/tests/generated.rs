//! Guards against committed code that differs from the code generated from the schema.
//!
//! After a change of the schema, run this test with `TEALSADDLE_REGENERATE=1` to write the files.

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
    // Files of operators must not contain unknown fields. Records and messages may, so that nodes of
    // two releases can read those of each other.
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
    let generated = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("generated");
    fs::create_dir_all(&generated).expect("the output directory is created");
    generate(&generated);
    for entry in fs::read_dir(&generated).expect("the generated code is listed") {
        let path = entry.expect("a directory entry").path();
        let name = path.file_name().expect("a file name");
        let expected = fs::read_to_string(&path).expect("the generated file is read");
        let actual = fs::read_to_string(committed.join(name)).unwrap_or_default();
        assert!(
            expected == actual,
            "{} differs from the schema; run the test with TEALSADDLE_REGENERATE=1",
            name.display()
        );
    }
}
