//! Tests of the bench: option parsing, statistics, comparison and the parsers of its input data.

use rstest::rstest;
use xtask::bench::{BenchCommand, Plan, Results, Series, compare, quantile};
use xtask::{Scrape, Usage, applied_at};

fn args(text: &str) -> Vec<String> {
    text.split_whitespace().map(str::to_owned).collect()
}

fn run_command(benches: [bool; 4], sizes: &[usize], rounds: usize) -> BenchCommand {
    let [convergence, latency, overload, capacity] = benches;
    BenchCommand::Run(Plan {
        convergence,
        latency,
        overload,
        capacity,
        sizes: sizes.to_vec(),
        rounds,
        out: None,
    })
}

#[rstest]
#[case::defaults("", Ok(run_command([true; 4], &[13, 26, 52, 104], 3)))]
#[case::one_bench("--latency --rounds 1", Ok(run_command([false, true, false, false], &[13, 26, 52, 104], 1)))]
#[case::node_counts("--sizes 3,5", Ok(run_command([true; 4], &[3, 5], 3)))]
#[case::compare("--compare a b", Ok(BenchCommand::Compare("a".into(), "b".into())))]
#[case::compare_without_second_file("--compare a", Err("a"))]
#[case::zero_nodes("--sizes 0", Err("0"))]
#[case::unexpected_argument("fast", Err("fast"))]
fn parses_options_or_rejects_invalid_arguments(
    #[case] line: &str,
    #[case] expected: Result<BenchCommand, &str>,
) {
    let read = BenchCommand::parse(&args(line)).map_err(|e| e.to_string());
    let usage_error =
        |argument| format!("`{argument}` is not understood; `cargo xtask help` lists the commands");
    assert_eq!(read, expected.map_err(usage_error));
}

#[rstest]
#[case::median(0.5, 2.0)]
#[case::maximum(1.0, 4.0)]
#[case::minimum(0.0, 1.0)]
fn quantile_uses_the_nearest_rank(#[case] q: f64, #[case] expected: f64) {
    assert_eq!(quantile(&[4.0, 1.0, 3.0, 2.0], q), expected);
}

#[rstest]
fn compare_shows_the_change_between_medians() {
    let results = |values: &[f64]| {
        let mut results = Results::default();
        for value in values {
            results.record(Series::new("latency", "node", "p50", "ms"), 1.0, *value);
        }
        results
    };
    let text = compare(&results(&[9.0, 2.0, 1.0]), &results(&[3.0]));
    let row = "| latency | p50 (ms) | node | 1 | 2.000 | 3.000 | +50.0 % |";
    assert_eq!(text.lines().last(), Some(row));
}

#[rstest]
fn usage_parser_skips_process_name_with_spaces_and_parentheses() {
    let stat = "7 (a) b) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20 0 4 0 9";
    let status = "Name:\ta\nVmHWM:\t  900 kB\nVmRSS:\t  800 kB\nThreads:\t4\n";
    let expected = Usage {
        cpu: std::time::Duration::from_secs(2),
        rss_kib: 800,
        peak_kib: 900,
        threads: 4,
    };
    assert_eq!(Usage::parse(stat, status), expected);
}

#[rstest]
#[case::no_labels(&[], 6.0)]
#[case::matching_label(&[("dir", "out")], 5.0)]
#[case::no_match(&[("dir", "up")], 0.0)]
fn scrape_sums_samples_with_matching_labels(
    #[case] labels: &[(&str, &str)],
    #[case] expected: f64,
) {
    let text = "# HELP b x\nb{kind=\"p\",dir=\"in\"} 1\nb{dir=\"out\",kind=\"p\"} 5\nb_other 9\n";
    assert_eq!(Scrape::parse(text).sum("b", labels), expected);
}

#[rstest]
#[case::skipped_version(2, Some(20))]
#[case::version_not_applied(4, None)]
fn applied_at_returns_first_event_at_or_above_version(
    #[case] version: u64,
    #[case] at: Option<u64>,
) {
    let log = "at=10 event=applied version=1\nat=15 event=phase\nat=20 event=applied version=3\n";
    assert_eq!(applied_at(log, version), at);
}
