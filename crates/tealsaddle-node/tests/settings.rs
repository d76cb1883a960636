//! Guards against invalid settings that are accepted, and against errors that do not name the field.

use std::path::Path;
use std::process::Command;

use tealsaddle_node::settings::Settings;
use yare::parameterized;

const VALID: &str = "
node:
  vm: vm-1
  zone: buda-hall
  caller_listen: 127.0.0.1:8001
  peer_listen: 127.0.0.1:8002
  admin_listen: 127.0.0.1:8003
platform: {address: \"127.0.0.1:8100\"}
admin: {token: secret}
log: {level: debug, format: json}
";

#[test]
fn valid_settings_fill_in_defaults() {
    let settings = Settings::from_yaml(VALID).expect("valid settings");
    assert_eq!(settings.limits.request_body_bytes, 8 << 20);
    assert_eq!(settings.platform_timeout.as_millis(), 1_000);
    assert!(settings.log.is_json);
    assert_eq!(settings.metrics.prefix, "tealsaddle");
}

#[parameterized(
    unknown_field = { "log:", "logs:", "logs" },
    missing_node = { "node:", "nod:", "nod" },
    empty_zone = { "zone: buda-hall", "zone: \"\"", "node.zone" },
    host_name = { "127.0.0.1:8001", "localhost:8001", "node.caller_listen" },
    no_token = { "token: secret", "token: \"\"", "admin.token" },
    unknown_level = { "level: debug", "level: loud", "log.level" },
    unknown_format = { "format: json", "format: xml", "log.format" },
    wrong_unit = { "platform: {", "platform: {timeout_s: 1, ", "timeout_s" },
)]
fn invalid_field_is_refused_and_named(valid: &str, invalid: &str, field: &str) {
    assert!(VALID.contains(valid), "the case changes nothing");
    let message =
        Settings::from_yaml(&VALID.replacen(valid, invalid, 1)).expect_err("invalid settings");
    assert!(
        message.contains(field),
        "{message:?} does not name {field:?}"
    );
}

/// Guards against a `--check` that starts the node, and against a wrong exit status.
#[test]
fn check_validates_without_starting() {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    for (name, text, is_valid) in [
        ("good", VALID, true),
        ("bad", "node: {vm: 1, zon: x}", false),
    ] {
        let file = directory.join(format!("check-{name}.yaml"));
        std::fs::write(&file, text).expect("the file is written");
        let output = Command::new(env!("CARGO_BIN_EXE_tealsaddle"))
            .arg("--check")
            .arg(&file)
            .output()
            .expect("the program runs");
        assert_eq!(output.status.success(), is_valid, "{output:?}");
    }
}
