//! Guards against arguments that are parsed wrongly, and against errors that do not name the cause.

use tealsaddle_ctl::args::{Command, Invocation, parse};
use yare::parameterized;

fn words(line: &str) -> Vec<String> {
    line.split_whitespace().map(str::to_owned).collect()
}

#[parameterized(
    none = { "", "a command is needed" },
    unknown = { "deploy", "unknown command" },
    missing_file = { "config apply", "wrong arguments" },
    too_many = { "status now", "wrong arguments" },
    wrong_version = { "config apply --if-version x f", "not a version" },
    foreign_option = { "status --author me", "--author goes with" },
    wrong_address = { "status --admin localhost:1", "is not IP:port" },
    unknown_option = { "status --all", "Unrecognized option" },
)]
fn error_names_the_cause(line: &str, cause: &str) {
    let error = parse(&words(line), None).expect_err("a faulty command line");
    assert_eq!(error.exit_status(), 2);
    assert!(error.to_string().contains(cause), "{error}");
}

#[test]
fn apply_takes_version_and_author() {
    let line = "--admin 127.0.0.1:1 config apply --if-version 4 --author eszter f.yaml";
    let invocation = parse(&words(line), None).expect("a valid command line");
    let Invocation::Run { command, .. } = invocation else {
        panic!("not a command")
    };
    let expected = Command::ConfigApply {
        file: "f.yaml".to_owned(),
        if_version: Some(4),
        author: Some("eszter".to_owned()),
    };
    assert_eq!(command, expected);
}

#[parameterized(
    general = { "--help", "general" },
    status = { "status --help", "status" },
    config = { "config --help", "config" },
    apply = { "config apply --help", "config_apply" },
    drain = { "drain --help", "drain" },
    watch = { "watch --help", "watch" },
    explain = { "explain --help", "explain" },
)]
fn every_command_has_help(line: &str, name: &str) {
    let invocation = parse(&words(line), None).expect("help");
    let Invocation::Print(text) = invocation else {
        panic!("not help")
    };
    insta::assert_snapshot!(format!("help_{name}"), text);
}
