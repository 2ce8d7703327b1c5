//! Commands for client accounts: API keys, quotas, homes and rejected changes.

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

/// Returns the accounts as JSON.
fn accounts(env: &TestEnv) -> Vec<Value> {
    let list = env.json("account list");
    list["accounts"].as_array().expect("a list").clone()
}

fn hash(key: &Value) -> String {
    KeyHash::of(key.as_str().expect("a key").as_bytes()).to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_key_is_shown_once_and_stored_only_as_hash() {
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
async fn rotation_keeps_the_old_key_until_it_is_revoked() {
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
async fn quota_and_homes_are_set_and_removed() {
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
async fn removing_an_account_removes_its_homes() {
    let env = TestEnv::new().await;
    env.json("account add harbour");
    env.json("account homes harbour east");
    assert_eq!(env.run("account remove harbour").code, Some(0));
    assert_eq!(accounts(&env), Vec::<Value>::new());
}

#[rstest]
#[case::existing_account(
    "account add harbour",
    "account harbour already exists; change it with account rotate, revoke, quota or homes"
)]
#[case::unknown_account(
    "account rotate valley",
    "the table has no account valley; see account list"
)]
#[case::unknown_key(
    "account revoke harbour 0000000000000000000000000000000f",
    "account harbour has no key whose hash begins with 0000000000000000000000000000000f; see account list"
)]
#[case::too_few_digits(
    "account revoke harbour abc",
    "--KEY: \"abc\" is not valid; write at least 4 leading digits of a hash that account list shows"
)]
#[case::burst_without_rate(
    "account quota harbour --burst 5",
    "--rate, which --burst requires, is missing; see --help of the command"
)]
#[case::missing_name(
    "account add",
    "the account's name is missing; see --help of the command"
)]
#[case::unknown_command(
    "account rename harbour",
    "unknown command \"account rename\"; see swiftcart --help"
)]
#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_account_command_publishes_nothing(#[case] words: &str, #[case] message: &str) {
    let env = TestEnv::new().await;
    env.json("account add harbour");
    let records = env.records();
    assert_eq!(env.run(words), failed(2, message));
    assert_eq!(env.records(), records);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_account_name_is_rejected_with_the_reason() {
    let env = TestEnv::new().await;
    let output = env.run("account add Harbour");
    assert_eq!(output.code, Some(3), "{output:?}");
    let expected = "rejected, nothing changed: account \"Harbour\": a name has 1 to 63 characters of a-z, 0-9 and -\n";
    assert_eq!(output.err, expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn publishing_a_sheet_with_prune_keeps_accounts() {
    let env = TestEnv::new().await;
    env.json("account add harbour");
    env.sheet("table.csv", 1, "service,booking,,,50,10,2000\n");
    assert_eq!(env.run("table publish table.csv --prune").code, Some(0));
    assert_eq!(accounts(&env).len(), 1);
}
