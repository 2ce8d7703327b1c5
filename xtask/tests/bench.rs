//! What the bench reads and writes.

use rstest::rstest;
use xtask::bench::{Plan, Request, Results, Series, compare, quantile};
use xtask::{Scrape, Usage, applied_at};

fn words(text: &str) -> Vec<String> {
    text.split_whitespace().map(str::to_owned).collect()
}

fn plan(benches: [bool; 4], sizes: &[usize], rounds: usize) -> Request {
    let [convergence, latency, overload, capacity] = benches;
    Request::Run(Plan {
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
#[case::everything("", Ok(plan([true; 4], &[13, 26, 52, 104], 3)))]
#[case::one("--latency --rounds 1", Ok(plan([false, true, false, false], &[13, 26, 52, 104], 1)))]
#[case::sizes("--sizes 3,5", Ok(plan([true; 4], &[3, 5], 3)))]
#[case::compare("--compare a b", Ok(Request::Compare("a".into(), "b".into())))]
#[case::compare_one("--compare a", Err("a"))]
#[case::no_nodes("--sizes 0", Err("0"))]
#[case::stray("fast", Err("fast"))]
fn options_are_read_or_refused(#[case] line: &str, #[case] expected: Result<Request, &str>) {
    let read = Request::parse(&words(line)).map_err(|e| e.to_string());
    let refusal =
        |word| format!("`{word}` is not understood; `cargo xtask help` lists the commands");
    assert_eq!(read, expected.map_err(refusal));
}

#[rstest]
#[case::median(0.5, 2.0)]
#[case::greatest(1.0, 4.0)]
#[case::least(0.0, 1.0)]
fn quantiles_take_the_nearest_rank(#[case] q: f64, #[case] expected: f64) {
    assert_eq!(quantile(&[4.0, 1.0, 3.0, 2.0], q), expected);
}

#[rstest]
fn two_results_are_compared_by_the_medians_of_their_rounds() {
    let results = |values: &[f64]| {
        let mut results = Results::default();
        for value in values {
            results.add(Series::new("latency", "node", "p50", "ms"), 1.0, *value);
        }
        results
    };
    let text = compare(&results(&[9.0, 2.0, 1.0]), &results(&[3.0]));
    let row = "| latency | p50 (ms) | node | 1 | 2.000 | 3.000 | +50.0 % |";
    assert_eq!(text.lines().last(), Some(row));
}

#[rstest]
fn a_process_is_read_past_a_name_with_spaces() {
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
#[case::all(&[], 6.0)]
#[case::one(&[("dir", "out")], 5.0)]
#[case::none(&[("dir", "up")], 0.0)]
fn samples_are_summed_by_label(#[case] labels: &[(&str, &str)], #[case] expected: f64) {
    let text = "# HELP b x\nb{kind=\"p\",dir=\"in\"} 1\nb{dir=\"out\",kind=\"p\"} 5\nb_other 9\n";
    assert_eq!(Scrape::parse(text).sum("b", labels), expected);
}

#[rstest]
#[case::skipped_version(2, Some(20))]
#[case::not_yet(4, None)]
fn the_first_line_at_or_above_a_version_counts(#[case] version: u64, #[case] at: Option<u64>) {
    let log = "at=10 event=applied version=1\nat=15 event=phase\nat=20 event=applied version=3\n";
    assert_eq!(applied_at(log, version), at);
}
