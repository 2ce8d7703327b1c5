//! Client accounts: keys that are shown once, quotas, homes, and operators who race.

mod common;

use common::{CliOutput, TestEnv};
use rstest::rstest;
use serde_json::Value;
use swiftcart_core::KeyHash;

fn failed(code: i32, err: &str) -> CliOutput {
    CliOutput {
        code: Some(code),
        out: String::new(),
        err: format!("swiftcart: {err}\n"),
    }
}

/// Returns the accounts as scripts see them.
fn accounts(env: &TestEnv) -> Vec<Value> {
    let list = env.json("account list");
    list["accounts"].as_array().expect("a list").clone()
}

fn hash(key: &Value) -> String {
    KeyHash::of(key.as_str().expect("a key").as_bytes()).to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_shown_once_and_never_written() {
    let env = TestEnv::new().await;
    let added = env.json("account add harbour --rate 20 --burst 40 --rank 1");
    let key = added["key"].as_str().expect("a key").to_owned();
    assert_eq!(key.len(), 32);
    let listed = accounts(&env);
    assert_eq!(listed[0]["keys"], serde_json::json!([hash(&added["key"])]));
    assert_eq!(
        listed[0]["quota"],
        serde_json::json!({"rate": 20, "burst": 40})
    );
    assert_eq!(listed[0]["priority"], 1);
    let records = env.log.read("config", 0).expect("a stream");
    let written = format!("{records:?}");
    assert!(!written.contains(&key), "{written}");
    assert!(!env.run("account list").out.contains(&key));
    assert!(!env.run("history").out.contains(&key));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rotated_account_keeps_its_old_key_until_that_is_revoked() {
    let env = TestEnv::new().await;
    let first = env.json("account add harbour");
    let second = env.json("account rotate harbour");
    assert_ne!(first["key"], second["key"]);
    let keys = |env: &TestEnv| accounts(env)[0]["keys"].as_array().map_or(0, Vec::len);
    assert_eq!(keys(&env), 2);
    let digits = hash(&first["key"])[..8].to_owned();
    assert_eq!(
        env.run(&format!("account revoke harbour {digits}")).code,
        Some(0)
    );
    let left = &accounts(&env)[0]["keys"];
    assert_eq!(*left, serde_json::json!([hash(&second["key"])]));
}

#[tokio::test(flavor = "multi_thread")]
async fn quota_and_homes_are_set_and_lifted() {
    let env = TestEnv::new().await;
    env.json("account add harbour --rate 5");
    env.json("account homes harbour east west");
    let listed = &accounts(&env)[0];
    assert_eq!(listed["quota"], serde_json::json!({"rate": 5, "burst": 5}));
    assert_eq!(listed["homes"], serde_json::json!(["east", "west"]));
    env.json("account quota harbour");
    env.json("account homes harbour");
    let listed = &accounts(&env)[0];
    assert_eq!(
        (&listed["quota"], &listed["homes"]),
        (&Value::Null, &Value::Null)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_removed_account_takes_its_homes_along() {
    let env = TestEnv::new().await;
    env.json("account add harbour");
    env.json("account homes harbour east");
    assert_eq!(env.run("account remove harbour").code, Some(0));
    assert_eq!(accounts(&env), Vec::<Value>::new());
}

#[rstest]
#[case::one_that_is_there(
    "account add harbour",
    "account harbour is there already; change it with account rotate, revoke, quota or homes"
)]
#[case::one_that_is_not(
    "account rotate valley",
    "the table has no account valley; see account list"
)]
#[case::a_key_of_nobody(
    "account revoke harbour 0000000000000000000000000000000f",
    "account harbour has no key whose hash begins with 0000000000000000000000000000000f; see account list"
)]
#[case::no_digits(
    "account revoke harbour abc",
    "--KEY: \"abc\" is not valid; write the first digits of a hash that account list shows, at least 4"
)]
#[case::a_burst_alone(
    "account quota harbour --burst 5",
    "--rate, to which --burst belongs, is missing; see --help of the command"
)]
#[case::no_name(
    "account add",
    "the account's name is missing; see --help of the command"
)]
#[case::an_unknown_command(
    "account rename harbour",
    "there is no command \"account rename\"; see swiftcart --help"
)]
#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_published_for(#[case] words: &str, #[case] message: &str) {
    let env = TestEnv::new().await;
    env.json("account add harbour");
    let records = env.records();
    assert_eq!(env.run(words), failed(2, message));
    assert_eq!(env.records(), records);
}

#[tokio::test(flavor = "multi_thread")]
async fn what_the_table_does_not_take_is_rejected_with_the_reason() {
    let env = TestEnv::new().await;
    let output = env.run("account add Harbour");
    assert_eq!(output.code, Some(3), "{output:?}");
    let expected = "rejected, nothing changed: account \"Harbour\": a name has 1 to 63 characters of a-z, 0-9 and -\n";
    assert_eq!(output.err, expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_sheet_leaves_accounts_alone() {
    let env = TestEnv::new().await;
    env.json("account add harbour");
    env.sheet("table.csv", 1, "service,booking,,,50,10,2000\n");
    assert_eq!(env.run("table publish table.csv --prune").code, Some(0));
    assert_eq!(accounts(&env).len(), 1);
}
