//! Sheets: the round trip through a spreadsheet, and the message for each invalid cell.

use std::fs;
use std::process::Command;

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use swiftcart_cli::{Sheet, plan, write};
use swiftcart_core::{Limits, Row, RowKey, Table, Version, diff};

const HEAD: &str = "kind,service,prefix,weight,rate,concurrency,timeout_ms";

fn table(rng: &mut SmallRng) -> Table {
    let mut table = Table::new();
    for service in ["sensor", "booking", "survey"] {
        let limits = Limits {
            rate: rng.random_range(0..1000),
            concurrency: rng.random_range(0..100),
            timeout_ms: rng.random_range(10..60_000),
        };
        table = table.with_service(service, limits);
        for _ in 0..rng.random_range(0..5) {
            let tail = ["", "a,b", "x;y", "\"q\"", "1.5"][rng.random_range(0..5)];
            let prefix = format!("/{}/{tail}", rng.random_range(0..50));
            table = table.with_route(prefix, service, rng.random_range(1..1000));
        }
    }
    table
}

/// Applies the changes to a sheet that spreadsheets make when they save it.
fn resave(csv: &str, rng: &mut SmallRng) -> Vec<u8> {
    let mut reader = csv::ReaderBuilder::new();
    let mut reader = reader.has_headers(false).from_reader(csv.as_bytes());
    let mut rows: Vec<_> = reader
        .records()
        .map(|row| row.expect("our own CSV"))
        .collect();
    rows.shuffle(rng);
    let mut order: Vec<_> = (0..7).collect();
    order.shuffle(rng);
    let delimiter = [b',', b';', b'\t'][rng.random_range(0..3)];
    let trailing = rng.random_range(0..3);
    let mut writer = csv::WriterBuilder::new();
    writer.delimiter(delimiter);
    if rng.random() {
        writer.terminator(csv::Terminator::CRLF);
    }
    if rng.random() {
        writer.quote_style(csv::QuoteStyle::Always);
    }
    let mut writer = writer.from_writer(Vec::new());
    for row in &rows {
        let cells = order.iter().map(|i| &row[*i]);
        let cells: Vec<_> = cells.chain(std::iter::repeat_n("", trailing)).collect();
        writer.write_record(cells).expect("memory");
    }
    let mut bytes = writer.into_inner().expect("memory");
    if rng.random() {
        let directive = format!("sep={}\r\n", char::from(delimiter));
        bytes.splice(0..0, directive.bytes());
    }
    if rng.random() {
        bytes.splice(0..0, *b"\xef\xbb\xbf");
    }
    bytes
}

#[test]
fn a_sheet_resaved_by_a_spreadsheet_parses_to_the_same_table() {
    let mut rng = SmallRng::seed_from_u64(7);
    for round in 0..100 {
        let table = table(&mut rng);
        let version = Version(rng.random_range(0..1_000_000));
        let bytes = resave(&write(&table, version), &mut rng);
        let sheet = Sheet::parse(&bytes).unwrap_or_else(|faults| {
            panic!(
                "round {round}: {faults:?} in {}",
                String::from_utf8_lossy(&bytes)
            )
        });
        let rows = sheet.lines.iter();
        let rows: Vec<(RowKey, Row)> = rows
            .filter_map(|(key, line)| Some((key.clone(), line.row.clone()?)))
            .collect();
        assert_eq!(
            (Table::from(rows), sheet.base),
            (table, Some(version)),
            "round {round}"
        );
    }
}

#[test]
fn the_edits_of_a_complete_sheet_with_prune_produce_its_table() {
    let mut rng = SmallRng::seed_from_u64(8);
    for round in 0..100 {
        let (old, new) = (table(&mut rng), table(&mut rng));
        let sheet = Sheet::parse(write(&new, Version(1)).as_bytes()).expect("our own CSV");
        let scope = swiftcart_cli::Scope {
            prune: true,
            ..Default::default()
        };
        let edits = plan(&sheet, &old, &scope).expect("no service is named");
        assert_eq!(edits, diff(&old, &new), "round {round}");
    }
}

#[rstest]
#[case::empty(
    "",
    "1: no row has all headings; start the sheet with kind,service,prefix,weight,rate,concurrency,timeout_ms"
)]
#[case::missing_column(
    "kind,service,prefix,weight\n",
    "1: no row has all headings; start the sheet with kind,service,prefix,weight,rate,concurrency,timeout_ms"
)]
#[case::unknown_heading(
    "HEAD,note\nbase,1,,,,,,x\n",
    "1: column 8: \"note\" is not a known heading; clear the column or use kind,service,prefix,weight,rate,concurrency,timeout_ms"
)]
#[case::duplicate_heading(
    "HEAD,rate\n",
    "1: column 8: \"rate\" is a duplicate heading; remove one of the columns"
)]
#[case::cell_without_heading(
    "HEAD\nservice,booking,,,1,2,30,9\n",
    "2: column 8: \"9\" has no heading; clear the cell"
)]
#[case::unknown_kind(
    "HEAD\nsvc,booking,,,1,2,30\n",
    "2: kind: \"svc\" is not a known kind; write base, service, route, remove-service or remove-route"
)]
#[case::empty_service(
    "HEAD\nservice,,,,1,2,30\n",
    "2: service: \"\" is empty; write the name of the service, or the version in a row of kind base"
)]
#[case::empty_limit(
    "HEAD\nservice,booking,,,,2,30\n",
    "2: rate: \"\" is empty; write a number, 0 for no limit"
)]
#[case::empty_weight(
    "HEAD\nroute,booking,/b,,,,\n",
    "2: weight: \"\" is empty; write a weight, 0 for no requests"
)]
#[case::empty_prefix(
    "HEAD\nroute,booking,,5,,,\n",
    "2: prefix: \"\" is empty; write the path prefix, for example /book"
)]
#[case::rate_on_a_route(
    "HEAD\nroute,booking,/b,5,7,,\n",
    "2: rate: \"7\" does not belong to a row of kind route; clear the cell"
)]
#[case::weight_on_a_removed_route(
    "HEAD\nremove-route,booking,/b,5,,,\n",
    "2: weight: \"5\" does not belong to a row of kind remove-route; clear the cell"
)]
#[case::grouped_digits(
    "HEAD\nservice,booking,,,1.000,2,30\n",
    "2: rate: \"1.000\" is not a whole number up to 4294967295; write only digits, for example 1000"
)]
#[case::signed_digits(
    "HEAD\nroute,booking,/b,+5,,,\n",
    "2: weight: \"+5\" is not a whole number up to 4294967295; write only digits, for example 1000"
)]
#[case::negative_number(
    "HEAD\nroute,booking,/b,-5,,,\n",
    "2: weight: \"-5\" is not a whole number up to 4294967295; write only digits, for example 1000"
)]
#[case::invalid_base(
    "HEAD\nbase,v7,,,,,\n",
    "2: service: \"v7\" is not a version; pull the table again to get the right one"
)]
#[case::duplicate_base(
    "HEAD\nbase,7,,,,,\nbase,8,,,,,\n",
    "3: kind: \"base\" duplicates the row on line 2; remove one of them"
)]
#[case::duplicate_row(
    "HEAD\r\nroute,booking,/b,5,,,\r\n\r\nremove-route,booking,/b,,,,\r\n",
    "4: kind: \"route /b -> booking\" duplicates the row on line 2; remove one of them"
)]
#[case::unclosed_quote(
    "HEAD\nroute,\"booking,/b,5,,,\n",
    "2: line: \"route,\\\"booking,/b,5,,,\" has a line break or an unclosed quote; remove it"
)]
#[case::not_utf_8(
    "HEAD\nservice,c\u{0}sped,,,1,2,30\n",
    "2: line: \"\" is not UTF-8; save the sheet as CSV UTF-8"
)]
#[case::two_faults_at_once(
    "HEAD\nroute,booking,,x,,,\n",
    "2: prefix: \"\" is empty; write the path prefix, for example /book\nFILE:2: weight: \"x\" is not a whole number up to 4294967295; write only digits, for example 1000"
)]
#[case::invalid_service_name(
    "HEAD\nservice,Booking,,,1,2,30\n",
    "2: service: \"Booking\" is not valid: service \"Booking\": a name has 1 to 63 characters of a-z, 0-9 and -"
)]
#[case::limit_out_of_range(
    "HEAD\nservice,booking,,,1,2,3\n",
    "2: timeout_ms: \"3\" is not valid: service booking: timeout_ms 3 is neither 0 nor in 10..=600000"
)]
fn an_invalid_sheet_reports_line_column_value_and_a_hint(#[case] csv: &str, #[case] message: &str) {
    let dir = tempfile::tempdir().expect("a directory");
    let file = dir.path().join("table.csv");
    // The zero byte is a placeholder for a byte that is not valid UTF-8, which a `str` cannot hold.
    let bytes = csv.replace("HEAD", HEAD).into_bytes();
    let bytes: Vec<u8> = bytes
        .into_iter()
        .map(|b| if b == 0 { 0xe9 } else { b })
        .collect();
    fs::write(&file, bytes).expect("a file");
    let out = Command::new(env!("CARGO_BIN_EXE_swiftcart"))
        .args(["table", "check"])
        .arg(&file)
        .output()
        .expect("the binary runs");
    let path = file.display().to_string();
    let expected = format!("swiftcart: FILE:{message}\n").replace("FILE", &path);
    let output = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!((out.status.code(), output), (Some(2), expected));
}
