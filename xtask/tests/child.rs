//! Processes of a run end with it, and addresses are free.

use std::collections::BTreeSet;
use std::path::Path;
use std::process::Command;

use rstest::rstest;
use xtask::{Child, Mesh, Ports};

fn shell(script: &str) -> Command {
    let mut command = Command::new("sh");
    command.args(["-c", script]);
    command
}

fn wait(mut condition: impl FnMut() -> bool) {
    while !condition() {
        std::thread::sleep(std::time::Duration::from_millis(1));
    }
}

#[rstest]
#[case::obedient("echo ready; exec sleep 1000")]
#[case::deaf("trap '' TERM; echo ready; while :; do sleep 0.05; done")]
#[case::ended("echo ready")]
fn a_dropped_child_has_ended(#[case] script: &str) {
    let dir = tempfile::tempdir().unwrap();
    let child = Child::spawn("child", dir.path(), shell(script)).unwrap();
    wait(|| child.log().unwrap() == "ready\n");
    let proc = format!("/proc/{}", child.id());
    drop(child);
    assert!(!Path::new(&proc).exists());
}

#[rstest]
fn a_child_that_ends_by_itself_is_told_with_its_last_line() {
    let dir = tempfile::tempdir().unwrap();
    let mut child = Child::spawn("child", dir.path(), shell("echo a; echo b >&2; exit 3")).unwrap();
    wait(|| child.ended().unwrap().is_some());
    let told = child.check().map_err(|e| e.to_string());
    let expected = "child ended by itself (exit status: 3); its last line: b";
    assert_eq!(told, Err(expected.to_owned()));
}

#[rstest]
fn addresses_are_handed_out_once() {
    let mut ports = Ports::new();
    let picked: BTreeSet<_> = (0..200)
        .map(|i| ports.pick(Ports::instance(i % 2)).unwrap())
        .collect();
    assert_eq!(picked.len(), 200);
}

#[rstest]
#[case::lima(Mesh::LIMA, 13)]
#[case::bogota(Mesh::BOGOTA, 13)]
fn a_mesh_has_an_instance_for_each_backend_server(#[case] mesh: Mesh, #[case] instances: usize) {
    assert_eq!(mesh.placement().count(), instances);
    assert_eq!(mesh.name.parse::<Mesh>().ok(), Some(mesh));
}
