//! Publishing with concurrent operators, lost and late answers, outages and partial sheets.

mod common;

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use common::{CliOutput, TestEnv, mask_ids, wait};
use rstest::rstest;
use swiftcart_core::{Body, Entry, Envelope, Fold, Offset};
use swiftcart_standin::{LogFaults, LogSettings, Outage};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const BOOKING: &str = "service,booking,,,50,10,2000\nroute,booking,/book,100,,,\n";
const SENSOR: &str = "service,sensor,,,0,10,500\nroute,sensor,/moisture,100,,,\n";

fn done(out: &str) -> CliOutput {
    CliOutput {
        code: Some(0),
        out: format!("{out}\n"),
        err: String::new(),
    }
}

fn failed(code: i32, err: &str) -> CliOutput {
    CliOutput {
        code: Some(code),
        out: String::new(),
        err: format!("{err}\n"),
    }
}

fn mask_output(output: &CliOutput) -> CliOutput {
    CliOutput {
        code: output.code,
        out: mask_ids(&output.out),
        err: mask_ids(&output.err),
    }
}

async fn env_with(rows: &str) -> TestEnv {
    let env = TestEnv::new().await;
    env.sheet("first.csv", 0, rows);
    let output = env.run("table publish first.csv --author ana");
    assert_eq!(output.code, Some(0), "{output:?}");
    env
}

#[tokio::test(flavor = "multi_thread")]
async fn a_published_sheet_round_trips_and_republishing_it_appends_nothing() {
    let env = TestEnv::new().await;
    env.sheet("table.csv", 0, BOOKING);
    let output = env.run("table publish table.csv");
    assert_eq!(
        mask_output(&output),
        done("accepted as version 1: 2 rows, id ID")
    );
    let output = env.run("table pull -o table.csv");
    let exists = "swiftcart: table.csv already exists; use --force to overwrite it";
    assert_eq!(output, failed(2, exists));
    let output = env.run("table pull -o table.csv --force");
    assert_eq!(output, done("wrote version 1, 2 rows, to table.csv"));
    let text = fs::read_to_string(env.path("table.csv")).expect("a file");
    assert_eq!(text, format!("{}base,1,,,,,\n{BOOKING}", common::HEAD));
    let output = env.run("table publish table.csv");
    let unchanged = "nothing to change: the table already has these rows as of version 1";
    assert_eq!(output, done(unchanged));
    assert_eq!(env.records(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_sheet_of_one_service_keeps_the_rows_of_other_services() {
    let env = env_with(BOOKING).await;
    env.sheet("sensor.csv", 1, SENSOR);
    let output = env.run("table diff sensor.csv");
    let diff = "change  row                          before  after\n\
        added   service sensor               -       rate 0, concurrency 10, timeout_ms 500\n\
        added   route /moisture -> sensor    -       weight 100\n\n2 rows against version 1";
    let squeezed = |text: &str| text.split_whitespace().collect::<Vec<_>>().join(" ");
    assert_eq!(
        (output.code, squeezed(&output.out)),
        (Some(0), squeezed(diff))
    );
    let output = env.run("table publish sensor.csv");
    assert_eq!(
        mask_output(&output),
        done("accepted as version 2: 2 rows, id ID")
    );
    let output = env.run("table pull");
    let rows = "service,booking,,,50,10,2000\nservice,sensor,,,0,10,500\n\
        route,booking,/book,100,,,\nroute,sensor,/moisture,100,,,";
    assert_eq!(
        output,
        done(&format!("{}base,2,,,,,\n{rows}", common::HEAD))
    );
}

#[rstest]
#[case::nothing_is_removed_by_default("route,sensor,/moisture,100,,,\n", "", "unchanged", "[]")]
#[case::prune_removes_rows_missing_from_the_sheet(
    "service,sensor,,,0,10,500\n",
    "--prune",
    "accepted",
    r#"["removed route /moisture"]"#
)]
#[case::rows_of_a_remove_kind_are_removed(
    "remove-route,sensor,/moisture,,,,\nremove-service,sensor,,,,,\n",
    "",
    "accepted",
    r#"["removed service", "removed route /moisture"]"#
)]
#[case::prune_removes_a_service_missing_from_the_sheet(
    "service,booking,,,50,10,2000\n",
    "--prune --only sensor",
    "accepted",
    r#"["removed service", "removed route /moisture"]"#
)]
#[tokio::test(flavor = "multi_thread")]
async fn only_the_selected_rows_are_removed(
    #[case] rows: &str,
    #[case] options: &str,
    #[case] result: &str,
    #[case] changes: &str,
) {
    let env = env_with(&format!("{BOOKING}{SENSOR}")).await;
    env.sheet("edit.csv", 1, rows);
    let words = format!("edit.csv {options}");
    let diff = env.json(&format!("table diff {}", words.trim()));
    let list = diff["changes"].as_array().expect("a list").iter();
    let named = list.map(|change| {
        let text = |key: &str| change[key].as_str().unwrap_or_default().to_owned();
        let name = [text("change"), text("kind"), text("prefix")].join(" ");
        serde_json::Value::from(name.trim())
    });
    let named: Vec<_> = named.collect();
    let expected: Vec<serde_json::Value> = serde_json::from_str(changes).expect("JSON");
    assert_eq!(named, expected);
    let published = env.json(&format!("table publish {}", words.trim()));
    assert_eq!(published["result"], result);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_conflicting_publish_is_rejected_with_the_rows_and_the_other_author() {
    let env = env_with(BOOKING).await;
    env.sheet(
        "rosa.csv",
        1,
        "service,booking,,,60,10,2000\nroute,booking,/book,90,,,\n",
    );
    env.sheet(
        "luis.csv",
        1,
        "service,booking,,,70,10,2000\nroute,booking,/book,100,,,\n",
    );
    let output = env.run("table publish luis.csv --author luis");
    assert_eq!(
        mask_output(&output),
        done("accepted as version 2: 1 row, id ID")
    );
    let output = env.run("table publish rosa.csv --author rosa");
    let conflict = "rejected, nothing changed:\
        \n  service booking was changed by luis in version 2\
        \npull the table again and repeat your edits of these rows";
    assert_eq!(output, failed(3, conflict));
}

/// Starts a proxy to the log that delays appends until two have arrived.
async fn start_append_barrier(log: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound port");
    let (arrived, _) = watch::channel(0);
    tokio::spawn(async move {
        while let Ok((caller, _)) = listener.accept().await {
            tokio::spawn(forward(caller, log, arrived.clone()));
        }
    });
    addr
}

async fn forward(caller: TcpStream, log: SocketAddr, arrived: watch::Sender<u32>) {
    let (mut requests, mut responses) = caller.into_split();
    let connection = TcpStream::connect(log).await.expect("the log");
    let (mut server_responses, mut server_requests) = connection.into_split();
    tokio::spawn(async move { tokio::io::copy(&mut server_responses, &mut responses).await });
    let mut buf = vec![0; 64 * 1024];
    while let Ok(n @ 1..) = requests.read(&mut buf).await {
        if buf.starts_with(b"POST") {
            arrived.send_modify(|count| *count += 1);
            let mut arrived = arrived.subscribe();
            arrived
                .wait_for(|count| *count >= 2)
                .await
                .expect("a sender");
        }
        server_requests.write_all(&buf[..n]).await.ok();
    }
}

/// Guards against two accepted publishes when both operators have read version 1 before either
/// append takes effect, and the answer to the first append is lost.
#[tokio::test(flavor = "multi_thread")]
async fn exactly_one_of_two_concurrent_publishes_is_accepted_when_an_answer_is_lost() {
    let env = env_with(BOOKING).await;
    env.sheet("rosa.csv", 1, "service,booking,,,60,10,2000\n");
    env.sheet("luis.csv", 1, "service,booking,,,70,10,2000\n");
    env.log.set_faults(LogFaults::new().with_lose_answers(1));
    let proxy = start_append_barrier(env.log.addr()).await;
    let words = |name| format!("table publish {name}.csv --author {name} --platform {proxy}");
    let (rosa, luis) = (env.spawn(&words("rosa")), env.spawn(&words("luis")));
    let (rosa, luis) = (mask_output(&wait(rosa)), mask_output(&wait(luis)));
    let (winner, loser, author) = match rosa.code {
        Some(0) => (rosa, luis, "rosa"),
        _ => (luis, rosa, "luis"),
    };
    assert_eq!(winner, done("accepted as version 2: 1 row, id ID"));
    let conflict = format!(
        "rejected, nothing changed:\
        \n  service booking was changed by {author} in version 2\
        \npull the table again and repeat your edits of these rows"
    );
    assert_eq!(loser, failed(3, &conflict));
    assert_eq!((env.log.faults().lose_answers, env.records()), (0, 3));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_resolved_without_a_second_record() {
    let env = TestEnv::new().await;
    env.log.set_faults(LogFaults::new().with_lose_answers(1));
    env.sheet("table.csv", 0, BOOKING);
    let output = env.run("table publish table.csv");
    assert_eq!(
        mask_output(&output),
        done("accepted as version 1: 2 rows, id ID")
    );
    assert_eq!(env.records(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_append_that_takes_effect_after_its_timeout_is_accepted_once() {
    let env = TestEnv::new().await;
    env.log.set_faults(LogFaults::new().with_late_ms(1500));
    env.sheet("table.csv", 0, BOOKING);
    let output = env.run("table publish table.csv --timeout 3");
    assert_eq!(
        mask_output(&output),
        done("accepted as version 1: 2 rows, id ID")
    );
    while env.records() < 2 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let verdicts = env.json("history");
    let list = verdicts["publishes"].as_array().expect("a list").iter();
    let versions: Vec<_> = list.map(|publish| publish["version"].clone()).collect();
    assert_eq!(versions, [serde_json::Value::Null, 1.into()]);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_outcome_is_resolved_by_the_same_id() {
    let env = TestEnv::new().await;
    env.log.set_faults(LogFaults::new().with_late_ms(60_000));
    env.sheet("table.csv", 0, BOOKING);
    let output = env.run("table publish table.csv --timeout 1 --id 5ca1ab1e");
    let unknown = "swiftcart: outcome unknown (the platform did not answer in time): run the same \
        command again with --id 0000000000000000000000005ca1ab1e to resolve it; the sheet is \
        published at most once";
    assert_eq!(output, failed(5, unknown));
    env.log.set_faults(LogFaults::new());
    let accepted = "accepted as version 1: 2 rows, id 0000000000000000000000005ca1ab1e";
    for _ in 0..2 {
        let output = env.run("table publish table.csv --id 5ca1ab1e");
        assert_eq!(output, done(accepted));
    }
    assert_eq!(env.records(), 1);
    env.sheet("table.csv", 0, SENSOR);
    let output = env.run("table publish table.csv --id 5ca1ab1e");
    let reused = "swiftcart: --id 0000000000000000000000005ca1ab1e was used for a publish with \
        other edits; leave --id out for a new publish";
    assert_eq!(output, failed(2, reused));
}

#[rstest]
#[case::unavailable(Outage::Unavailable, "the platform has an outage")]
#[case::connection_closed(
    Outage::Closed,
    "the connection to the platform ended before its answer"
)]
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_publishes_nothing_and_is_reported(#[case] outage: Outage, #[case] cause: &str) {
    let env = TestEnv::new().await;
    env.log.set_faults(LogFaults::new().with_outage(outage));
    env.sheet("table.csv", 0, BOOKING);
    let output = env.run("table publish table.csv --timeout 1");
    let addr = env.log.addr();
    let err = format!("swiftcart: platform {addr}: {cause}; nothing was changed, try again later");
    assert_eq!(output, failed(4, &err));
    assert_eq!(env.records(), 0);
}

#[rstest]
#[case::route_to_an_unknown_service(
    1,
    "route,nobody,/x,1,,,\n",
    3,
    "rejected, nothing changed:\n  edit.csv:3: service: \"nobody\" is not valid: route /x -> \
     nobody: add the service nobody or remove the route"
)]
#[case::removal_of_a_service_with_a_route(
    1,
    "remove-service,booking,,,,,\n",
    3,
    "rejected, nothing changed:\n  edit.csv:3: service: \"booking\" is not valid: route /book -> \
     booking: add the service booking or remove the route"
)]
#[case::unknown_base_version(
    5,
    BOOKING,
    2,
    "swiftcart: version 5 was not accepted or is no longer kept; the current version is 1"
)]
#[tokio::test(flavor = "multi_thread")]
async fn a_publish_that_would_be_rejected_is_not_appended(
    #[case] base: u64,
    #[case] rows: &str,
    #[case] code: i32,
    #[case] err: &str,
) {
    let env = env_with(BOOKING).await;
    env.sheet("edit.csv", base, rows);
    assert_eq!(env.run("table publish edit.csv"), failed(code, err));
    assert_eq!(env.records(), 1);
}

/// Folds the records from `offset` on, as a reader at the head does.
fn fold_records(fold: &mut Fold, env: &TestEnv, offset: u64) {
    let page = env.log.read("config", offset).expect("a stream");
    for record in page.records {
        let entry = Entry {
            offset: Offset(record.offset),
            at_ms: 0,
            body: record.body.to_string(),
        };
        fold.apply(&entry).expect("the next record");
    }
}

fn append_checkpoint(env: &TestEnv, fold: &Fold) {
    let checkpoint = Envelope::new(Body::Checkpoint(fold.checkpoint()));
    env.log
        .append("config", &checkpoint.encode())
        .expect("room");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_with_expired_records_is_read_from_a_checkpoint() {
    let env = TestEnv::with(LogSettings::default().with_records(4)).await;
    let mut fold = Fold::new();
    for base in 0..3 {
        env.sheet(
            "table.csv",
            base,
            &format!("service,booking,,,{},10,2000\n", base + 1),
        );
        let output = env.run("table publish table.csv");
        assert_eq!(output.code, Some(0), "{output:?}");
    }
    // Records after the position of the first checkpoint have expired, so no reader can start there.
    append_checkpoint(&env, &fold);
    fold_records(&mut fold, &env, 0);
    append_checkpoint(&env, &fold);
    env.sheet("table.csv", 3, "service,booking,,,9,10,2000\n");
    let output = env.run("table publish table.csv");
    assert_eq!(
        mask_output(&output),
        done("accepted as version 6: 1 row, id ID")
    );
    let output = env.run("table pull --version 3");
    let pulled = format!("{}base,3,,,,,\nservice,booking,,,3,10,2000", common::HEAD);
    assert_eq!(output, done(&pulled));
}

#[tokio::test(flavor = "multi_thread")]
async fn large_records_are_read_in_smaller_pages() {
    let env = env_with(BOOKING).await;
    // Each byte takes two in JSON, which the size limit of the log does not count.
    let large = "\"".repeat(250 * 1024);
    for _ in 0..18 {
        env.log.append("config", &large).expect("room");
    }
    let output = env.run("table pull -o table.csv");
    assert_eq!(output, done("wrote version 1, 2 rows, to table.csv"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_with_expired_records_and_no_checkpoint_is_an_error() {
    let env = TestEnv::with(LogSettings::default().with_records(1)).await;
    for _ in 0..2 {
        env.log.append("config", "hello").expect("room");
    }
    let output = env.run("table pull");
    let err = "swiftcart: records before offset 1 have expired and no checkpoint covers them";
    assert_eq!(output, failed(1, err));
}

#[rstest]
#[case::malformed_records_are_skipped("hello", done("wrote version 1, 2 rows, to table.csv"))]
#[case::an_unknown_rule_is_an_error(
    r#"{"rule":65535}"#,
    failed(
        1,
        "swiftcart: the log has records of rule 65535, which this release does not know; upgrade swiftcart"
    )
)]
#[tokio::test(flavor = "multi_thread")]
async fn records_of_other_formats(#[case] body: &str, #[case] expected: CliOutput) {
    let env = env_with(BOOKING).await;
    env.log.append("config", body).expect("room");
    assert_eq!(env.run("table pull -o table.csv"), expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn history_shows_versions_authors_and_rejections() {
    let env = env_with(BOOKING).await;
    env.sheet("rosa.csv", 1, "service,booking,,,60,10,2000\n");
    let publish = env.json("table publish rosa.csv");
    // A conflicting publish that is appended without the check of the tool.
    let conflicting =
        Envelope::decode(&env.log.read("config", 1).expect("a stream").records[0].body);
    let Ok(Body::Publish(mut conflicting)) = conflicting.map(|envelope| envelope.body) else {
        panic!("the tool appends publishes");
    };
    assert_eq!(publish["id"], conflicting.id.to_string());
    conflicting.id.0 ^= 1;
    conflicting.author = "luis".into();
    let body = Envelope::new(Body::Publish(conflicting)).encode();
    env.log.append("config", &body).expect("room");
    let output = env.run("history --limit 2");
    let cells = |line: &str| {
        let (version, rest) = line.split_at(9);
        format!(
            "{} {}",
            version.trim(),
            rest[20..].split_whitespace().collect::<Vec<_>>().join(" ")
        )
    };
    let lines: Vec<_> = output.out.lines().skip(1).map(cells).collect();
    let expected = [
        "- luis rejected: service booking was changed by rosa in version 2; pull and edit again \
         service booking",
        "2 rosa accepted service booking",
    ];
    assert_eq!(lines, expected, "{}", output.out);
}
