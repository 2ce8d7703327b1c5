//! Error messages and exit codes for invalid command lines and settings files.

use std::fs;
use std::path::Path;
use std::process::Command;

use rstest::rstest;

fn run(dir: &Path, words: &str) -> (Option<i32>, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_swiftcart"))
        .args(words.split(' ').filter(|word| !word.is_empty()))
        .current_dir(dir)
        .env_remove("USER")
        .output()
        .expect("the binary runs");
    let output = String::from_utf8_lossy(&out.stderr).into_owned();
    (out.status.code(), output)
}

#[rstest]
#[case::no_command("", "the command is missing; see --help of the command")]
#[case::unknown_command("tables", "unknown command \"tables\"; see swiftcart --help")]
#[case::unknown_table_command("table push", "unknown command \"table push\"; see swiftcart --help")]
#[case::unknown_option("status --fast", "Unrecognized option: 'fast'; see swiftcart --help")]
#[case::option_of_another_command(
    "status --prune",
    "Unrecognized option: 'prune'; see swiftcart --help"
)]
#[case::missing_file("table publish", "the file is missing; see --help of the command")]
#[case::extra_argument(
    "table check a.csv b.csv",
    "unexpected argument \"b.csv\"; see --help of the command"
)]
#[case::explain_without_an_id("explain", "the request's id is missing; see --help of the command")]
#[case::explain_without_a_file(
    "explain 9c41",
    "the log file is missing; see --help of the command"
)]
#[case::host_name(
    "--platform localhost:7000 history",
    "--platform: \"localhost:7000\" is not valid; write IP:PORT, for example 127.0.0.1:7000"
)]
#[case::bad_version(
    "table pull --version v2",
    "--version: \"v2\" is not valid; write a version number, for example 12"
)]
#[case::bad_id(
    "table publish a.csv --id +1",
    "--id: \"+1\" is not valid; write 1 to 32 hexadecimal digits, as printed by an earlier publish"
)]
#[case::bad_format(
    "table pull --format xls",
    "--format: \"xls\" is not valid; write csv or json"
)]
#[case::bad_limit(
    "history --limit 0",
    "--limit: \"0\" is not valid; write a number from 1 to 10000"
)]
#[case::bad_wait(
    "table publish a.csv --wait=soon",
    "--wait: \"soon\" is not valid; write a number of seconds from 1 to 3600"
)]
#[case::no_platform(
    "history",
    "the platform is not set; give --platform IP:PORT or a settings file with platform"
)]
#[case::no_node(
    "status",
    "a node is not set; give --node IP:PORT or a settings file with nodes"
)]
#[case::no_author(
    "table publish a.csv",
    "the author is not set; give --author NAME or a settings file with author"
)]
#[case::wait_too_long(
    "table publish a.csv --wait 4000",
    "--wait: \"4000\" is not valid; write a number of seconds from 1 to 3600"
)]
#[case::wait_without_node(
    "table publish a.csv --author ana --wait",
    "a node is not set; give --node IP:PORT or a settings file with nodes"
)]
#[case::no_settings_file(
    "-s none.json status",
    "none.json: No such file or directory (os error 2)"
)]
fn an_invalid_command_line_reports_the_error_and_a_hint(
    #[case] words: &str,
    #[case] message: &str,
) {
    let dir = tempfile::tempdir().expect("a directory");
    let expected = (Some(2), format!("swiftcart: {message}\n"));
    assert_eq!(run(dir.path(), words), expected);
}

#[rstest]
#[case::incomplete_json(
    "{",
    "EOF while parsing an object at line 1 column 1; write a JSON object"
)]
#[case::not_an_object(
    "[]",
    "invalid type: sequence, expected a map at line 1 column 0; write a JSON object"
)]
#[case::unknown_key(
    r#"{"platfrom": 1}"#,
    "platfrom: unknown key; use platform, nodes, author or timeout_ms"
)]
#[case::bad_platform(
    r#"{"platform": 7000}"#,
    "platform: 7000 is not valid; write IP:PORT, for example \"127.0.0.1:7000\""
)]
#[case::bad_node(
    r#"{"nodes": ["127.0.0.1"]}"#,
    "nodes: [\"127.0.0.1\"] is not valid; write a list of at most 64 IP:PORT, for example [\"127.0.0.1:7002\"]"
)]
#[case::blank_author(
    r#"{"author": " "}"#,
    "author: \" \" is not valid; write your name in quotes, for example \"rosa\""
)]
#[case::timeout_too_long(
    r#"{"timeout_ms": 3600001}"#,
    "timeout_ms: 3600001 is not valid; write milliseconds from 1 to 3600000, for example 15000"
)]
fn an_invalid_settings_file_reports_key_value_and_a_hint(
    #[case] json: &str,
    #[case] message: &str,
) {
    let dir = tempfile::tempdir().expect("a directory");
    fs::write(dir.path().join("swiftcart.json"), json).expect("a file");
    let expected = (Some(2), format!("swiftcart: swiftcart.json: {message}\n"));
    assert_eq!(
        run(dir.path(), "--settings swiftcart.json status"),
        expected
    );
}
