//! Child processes, port selection and mesh placement.

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

fn wait_until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        std::thread::sleep(std::time::Duration::from_millis(1));
    }
}

#[rstest]
#[case::exits_on_sigterm("echo ready; exec sleep 1000")]
#[case::ignores_sigterm("trap '' TERM; echo ready; while :; do sleep 0.05; done")]
#[case::already_exited("echo ready")]
fn dropping_a_child_ends_its_process(#[case] script: &str) {
    let dir = tempfile::tempdir().unwrap();
    let child = Child::spawn("child", dir.path(), shell(script)).unwrap();
    wait_until(|| child.log().unwrap() == "ready\n");
    let proc = format!("/proc/{}", child.id());
    drop(child);
    assert!(!Path::new(&proc).exists());
}

#[rstest]
fn check_reports_an_unexpected_exit_with_the_last_log_line() {
    let dir = tempfile::tempdir().unwrap();
    let mut child = Child::spawn("child", dir.path(), shell("echo a; echo b >&2; exit 3")).unwrap();
    wait_until(|| child.ended().unwrap().is_some());
    let checked = child.check().map_err(|e| e.to_string());
    let expected = "child exited unexpectedly (exit status: 3); last log line: b";
    assert_eq!(checked, Err(expected.to_owned()));
}

#[rstest]
fn ports_are_picked_only_once() {
    let mut ports = Ports::new();
    let picked: BTreeSet<_> = (0..200)
        .map(|i| ports.pick(Ports::instance(i % 2)).unwrap())
        .collect();
    assert_eq!(picked.len(), 200);
}

#[rstest]
#[case::lima(Mesh::LIMA, 13)]
#[case::bogota(Mesh::BOGOTA, 13)]
fn mesh_places_an_instance_for_each_backend_server(#[case] mesh: Mesh, #[case] instances: usize) {
    assert_eq!(mesh.placement().count(), instances);
    assert_eq!(mesh.name.parse::<Mesh>().ok(), Some(mesh));
}
