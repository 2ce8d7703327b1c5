//! Tests of settings and the command line, and of their error messages.

use std::process::Command;
use std::time::Duration;

use rstest::rstest;
use swiftcart_node::{Gossip, Limits, LogLevel, Settings};

const VALID_SETTINGS: &str = r#"{
  "domain": "norte",
  "listen": {"calls": "127.0.0.1:1", "peer": "127.0.0.1:2", "admin": "127.0.0.1:3",
             "gossip": "127.0.0.1:4", "sync": "127.0.0.1:5"},
  "seeds": ["127.0.0.1:6"],
  "platform": {"addr": "127.0.0.1:7"},
  "mesh_key": "0123456789abcdef0123456789abcdef"
}"#;

#[test]
fn omitted_keys_have_the_documented_defaults() {
    let settings = Settings::parse("f", VALID_SETTINGS.as_bytes()).unwrap();
    assert_eq!(settings.limits, Limits::default());
    assert_eq!(settings.gossip, Gossip::default());
    assert_eq!(settings.log.level, LogLevel::Info);
    let platform = settings.platform;
    assert_eq!((platform.timeout_ms, platform.retention_s), (2000, 86_400));
}

#[rstest]
#[case::unknown_key(
    r#""domain": "norte","#,
    r#""domain": "norte", "colour": 1,"#,
    "f: colour: 1 is refused: unknown field `colour`, expected one of `domain`, `regions`, `listen`, \
     `seeds`, `platform`, `mesh_key`, `limits`, `gossip`, `log`, `service`, `headers`, `announcements`, `answers`, `link`, `retries`, `rollouts`, `quotas`, `overload`, `cold`, `stop`, \
     `claims`, `first_start`, `threads` at line 2 column 29: add, fix or remove this key"
)]
#[case::unknown_nested_key(
    r#""addr": "127.0.0.1:7""#,
    r#""adr": "127.0.0.1:7""#,
    "f: platform.adr: \"127.0.0.1:7\" is refused: unknown field `adr`, expected one of `addr`, \
     `timeout_ms`, `retention_s` at line 6 column 20: add, fix or remove this key"
)]
#[case::missing_key(
    r#""domain": "norte","#,
    "",
    "f: .: the object is refused: missing field `domain` at line 8 column 1: add, fix or remove this key"
)]
#[case::wrong_type(
    r#"["127.0.0.1:6"]"#,
    r#"["127.0.0.1:6", "here"]"#,
    "f: seeds[1]: \"here\" is refused: invalid socket address syntax at line 5 column 33: add, fix or remove this key"
)]
#[case::negative_number(
    r#""domain": "norte","#,
    r#""domain": "norte", "limits": {"queue": -1},"#,
    "f: limits.queue: -1 is refused: invalid value: integer `-1`, expected u32 at line 2 column 43: add, fix or remove this key"
)]
#[case::number_out_of_range(
    r#""domain": "norte","#,
    r#""domain": "norte", "limits": {"header_bytes": 1},"#,
    "f: limits.header_bytes: 1 is refused: use a whole number from 8192 to 1048576"
)]
#[case::negative_link_rate(
    r#""domain": "norte","#,
    r#""domain": "norte", "link": {"mbit_s": -2.5},"#,
    "f: link.mbit_s: -2.5 is refused: use a number from 0 to 1e6"
)]
#[case::ack_timeout_longer_than_probe_interval(
    r#""domain": "norte","#,
    r#""domain": "norte", "gossip": {"ack_ms": 501},"#,
    "f: gossip.ack_ms: 501 is refused: use a whole number from 1 to 500"
)]
#[case::kill_time_out_of_range(
    r#""domain": "norte","#,
    r#""domain": "norte", "stop": {"kill_s": 0.5},"#,
    "f: stop.kill_s: 0.5 is refused: use 0 or a number from 1 to 3600"
)]
#[case::domain_with_a_space(
    "norte",
    "nor te",
    "f: domain: \"nor te\" is refused: use 1 to 63 of the characters a-z, 0-9 and -"
)]
#[case::short_key_is_not_shown(
    "0123456789abcdef0123456789abcdef",
    "secret",
    "f: mesh_key: a key of 6 characters is refused: use at least 32 characters, the same on \
     every node"
)]
#[case::key_of_another_type_is_not_shown(
    r#""0123456789abcdef0123456789abcdef""#,
    "[4711]",
    "f: mesh_key: the value is refused: invalid type: sequence, expected a string at line 7 \
     column 14: add, fix or remove this key"
)]
#[case::unspecified_address(
    "127.0.0.1:2",
    "0.0.0.0:2",
    "f: listen.peer: 0.0.0.0:2 is refused: use an address and port that other processes reach, \
     neither 0.0.0.0 nor port 0"
)]
#[case::two_listeners_on_one_port(
    "127.0.0.1:3",
    "127.0.0.1:2",
    "f: listen.admin: 127.0.0.1:2 is refused: give each listener a port of its own"
)]
#[case::truncated_file(
    "\n}",
    "",
    "f: invalid JSON: EOF while parsing an object at line 7 column 48: fix the text at this \
     line and column"
)]
fn errors_name_file_path_value_and_fix(
    #[case] from: &str,
    #[case] to: &str,
    #[case] message: &str,
) {
    let text = VALID_SETTINGS.replacen(from, to, 1);
    let err = Settings::parse("f", text.as_bytes()).unwrap_err();
    assert_eq!(err.to_string(), message);
}

#[rstest]
#[case::linger_without_grace_period(r#"{"linger_ms": 2500}"#, 2_500, None)]
#[case::kill_time_of_six_seconds(r#"{"linger_ms": 2500, "kill_s": 6}"#, 2_500, Some(5_300))]
#[case::short_kill_time(r#"{"linger_ms": 2500, "kill_s": 3.5}"#, 1_400, Some(2_800))]
#[case::grace_period_shorter_than_kill_time(r#"{"grace_ms": 4000, "kill_s": 6}"#, 0, Some(4_000))]
fn linger_and_grace_period_fit_into_the_kill_time(
    #[case] stop: &str,
    #[case] linger_ms: u64,
    #[case] grace_ms: Option<u64>,
) {
    let text = VALID_SETTINGS.replacen("{", &format!("{{ \"stop\": {stop},"), 1);
    let stop = Settings::parse("f", text.as_bytes()).unwrap().stop;
    assert_eq!(stop.linger(), Duration::from_millis(linger_ms));
    assert_eq!(stop.grace(), grace_ms.map(Duration::from_millis));
}

#[rstest]
#[case::unknown_interval(0, 5_000)]
#[case::short_interval(870, 5_000)]
#[case::long_interval(4_000, 14_000)]
fn silence_limit_covers_missed_heartbeats(#[case] heartbeat_ms: u32, #[case] expected: u32) {
    let limits = Limits {
        heartbeat_ms,
        ..Limits::default()
    };
    assert_eq!(limits.silence_ms(), expected);
}

#[rstest]
#[case::valid_settings(&["--check"], VALID_SETTINGS, 0, "")]
#[case::invalid_settings(
    &["--check"],
    "{}",
    2,
    "swiftcartd: FILE: .: the object is refused: missing field `domain` at line 1 column 2: add, fix or \
     remove this key\n"
)]
#[case::invalid_settings_without_check(
    &[],
    "{}",
    2,
    "swiftcartd: FILE: .: the object is refused: missing field `domain` at line 1 column 2: add, fix or \
     remove this key\n"
)]
#[case::unknown_option(
    &["--chek"],
    VALID_SETTINGS,
    2,
    "swiftcartd: Unrecognized option: 'chek': see swiftcartd --help\n"
)]
fn command_line_reports_errors_and_exits(
    #[case] options: &[&str],
    #[case] text: &str,
    #[case] code: i32,
    #[case] stderr: &str,
) {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), text).unwrap();
    let path = file.path().to_str().unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_swiftcartd"))
        .args(["--settings", path])
        .args(options)
        .output()
        .unwrap();
    let found = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(code));
    assert_eq!(found.replace(path, "FILE"), stderr);
}
