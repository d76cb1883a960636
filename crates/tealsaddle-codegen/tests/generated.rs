//! Guards against committed code that differs from the code generated from the schema.
//!
//! After a change of the schema, run this test with `TEALSADDLE_REGENERATE=1` to write the files.

use std::fs;
use std::path::{Path, PathBuf};

/// Files whose code uses that of [`RECORD_PROTO`] at its path in the schema crate.
const PROTOS: [&str; 4] = [
    "settings.proto",
    "inventory.proto",
    "peer.proto",
    "fleet.proto",
];
const RECORD_PROTO: &str = "record.proto";

fn schema_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../tealsaddle-schema")
}

fn generate(out_dir: &Path) {
    // A package with an external path is not generated, so the records have a run of their own.
    generate_from(&[RECORD_PROTO], config(out_dir), out_dir);
    let mut config = config(out_dir);
    config.extern_path(".tealsaddle.record.v1", "crate::record");
    generate_from(&PROTOS, config, out_dir);
}

fn generate_from(protos: &[&str], config: prost_build::Config, out_dir: &Path) {
    let proto_dir = schema_dir().join("proto");
    let descriptors = protox::compile(protos, [&proto_dir]).expect("the schema compiles");
    tonic_prost_build::configure()
        .out_dir(out_dir)
        .compile_fds_with_config(descriptors, config)
        .expect("code is generated");
}

fn config(out_dir: &Path) -> prost_build::Config {
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
    for package in [
        ".tealsaddle.record.v1",
        ".tealsaddle.peer.v1",
        ".tealsaddle.fleet.v1",
    ] {
        config.message_attribute(
            package,
            "#[derive(serde::Serialize, serde::Deserialize)]\n#[serde(default)]",
        );
    }
    config
}

fn file_names(directory: &Path) -> Vec<String> {
    let entries = fs::read_dir(directory).expect("the directory is listed");
    let names = entries.map(|entry| entry.expect("a directory entry").file_name());
    let mut names: Vec<String> = names.map(|name| name.display().to_string()).collect();
    names.sort_unstable();
    names
}

#[test]
fn committed_code_matches_schema() {
    let committed = schema_dir().join("src/generated");
    if std::env::var_os("TEALSADDLE_REGENERATE").is_some() {
        generate(&committed);
        return;
    }
    let generated = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("generated");
    // A file of an earlier run must not stand for one that is no longer generated.
    drop(fs::remove_dir_all(&generated));
    fs::create_dir_all(&generated).expect("the output directory is created");
    generate(&generated);
    let names = file_names(&generated);
    assert_eq!(names, file_names(&committed));
    for name in names {
        let expected = fs::read_to_string(generated.join(&name)).expect("a generated file");
        let actual = fs::read_to_string(committed.join(&name)).expect("a committed file");
        assert!(
            expected == actual,
            "{name} differs from the schema; run the test with TEALSADDLE_REGENERATE=1"
        );
    }
}
