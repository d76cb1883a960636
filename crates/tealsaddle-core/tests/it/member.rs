//! Membership of VMs and processes, merged from the VM list and the answers of peers.

use std::fmt::Write as _;

use tealsaddle_core::member::{Liveness, LivenessChange, Members};
use tealsaddle_core::name::Name;
use tealsaddle_schema::record::ProcessId;

fn process(vm: &str, incarnation: &str) -> ProcessId {
    ProcessId {
        vm: vm.to_owned(),
        incarnation: incarnation.to_owned(),
    }
}

fn list(vms: &[(&str, bool)]) -> Vec<(Name, bool)> {
    vms.iter()
        .map(|(vm, leaving)| (Name::from(*vm), *leaving))
        .collect()
}

/// Guards against a VM that still counts as live after either source has reported that it is
/// leaving. Also guards against a VM that counts as removed because the list does not contain it
/// yet.
#[test]
fn sources_are_merged() {
    let zone = Name::from("z");
    let mut members = Members::default();
    let mut table = String::new();
    let mut record = |event: &str, changes: Vec<LivenessChange>| {
        writeln!(table, "{event}: {changes:?}").expect("writing to a string does not fail");
    };
    let started = members.on_peer_answer("a1", &zone, &process("vm1", "p1"), false, 1);
    record(
        "vm1 answers before it is listed",
        started.into_iter().collect(),
    );
    record(
        "list without vm1",
        members.on_vm_list(&list(&[("vm2", false)])),
    );
    record(
        "list with vm1",
        members.on_vm_list(&list(&[("vm1", false), ("vm2", false)])),
    );
    let leaving = members.on_peer_answer("a1", &zone, &process("vm1", "p1"), true, 2);
    record(
        "vm1 says that it is stopping",
        leaving.into_iter().collect(),
    );
    record(
        "vm2 is listed as leaving",
        members.on_vm_list(&list(&[("vm1", false), ("vm2", true)])),
    );
    let restarted = members.on_peer_answer("a1", &zone, &process("vm1", "p2"), false, 3);
    record("vm1 has a new process", restarted.into_iter().collect());
    let says_live = members.on_peer_answer("a2", &zone, &process("vm2", "q1"), false, 4);
    record("vm2 says that it is live", says_live.into_iter().collect());
    record(
        "vm2 is no longer listed",
        members.on_vm_list(&list(&[("vm1", false)])),
    );
    let late = members.on_peer_answer("a2", &zone, &process("vm2", "q1"), false, 5);
    record("a late answer of vm2", late.into_iter().collect());
    insta::assert_snapshot!(table);
    assert!(
        !members.is_live(&process("vm1", "p1")),
        "a newer process has its address"
    );
    assert!(members.is_live(&process("vm1", "p2")));
    assert!(
        !members.is_live(&process("vm2", "q1")),
        "its VM was removed"
    );
    assert_eq!(members.liveness("vm1"), Some(Liveness::Live));
    assert_eq!(members.liveness("vm2"), Some(Liveness::Gone));
}
