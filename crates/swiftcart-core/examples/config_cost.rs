//! Measures the time to apply records and checkpoints, and the encoded sizes of rows and records.
//!
//! The example prints one JSON line for each table size. Times are wall-clock times, so run the
//! example with `--release` on an otherwise idle computer.

use std::hint::black_box;
use std::time::{Duration, Instant};

use serde::Serialize;
use swiftcart_core::{
    Body, Edit, Entry, Envelope, Fold, FoldError, Limits, Publish, PublishId, Row, RowKey,
    ServiceName, Table, Verdict, diff,
};

/// Table sizes, in rows.
const SIZES: [usize; 5] = [10, 100, 500, 1000, 2000];
/// Number of measured records.
///
/// The number exceeds the retained decisions, so that the measurement includes evictions.
const RECORDS: u32 = 1000;
/// Number of runs of each other operation.
const RUNS: usize = 21;

#[derive(Serialize)]
struct Cost {
    rows: usize,
    records: u32,
    accepted: u32,
    /// Median time over all records.
    fold_us: f64,
    /// Median time over [`RUNS`] runs.
    checkpoint_us: f64,
    /// Median time over [`RUNS`] runs.
    adopt_us: f64,
    record_bytes: usize,
    state_bytes: usize,
    state_bytes_per_row: f64,
    checkpoint_record_bytes: usize,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    for rows in SIZES {
        println!("{}", serde_json::to_string(&measure(rows)?)?);
    }
    Ok(())
}

fn measure(rows: usize) -> Result<Cost, Box<dyn std::error::Error>> {
    let (mut fold, table) = (Fold::new(), table(rows));
    append(&mut fold, 0, diff(&Table::new(), &table))?;
    let (mut apply_times, mut accepted, mut record_bytes) = (Vec::new(), 0, 0);
    for n in 1..=RECORDS {
        let entry = entry(&fold, n, vec![edit(n, rows)]);
        record_bytes = entry.body.len();
        let start = Instant::now();
        let verdict = black_box(fold.apply(&entry)?);
        apply_times.push(start.elapsed());
        accepted += u32::from(matches!(verdict, Verdict::Accepted(_)));
    }
    let (checkpoint, checkpoint_times) = timed(|| fold.checkpoint());
    let (restored, restore_times) = timed(|| Fold::from_checkpoint(&checkpoint));
    assert_eq!(restored?, fold, "a checkpoint restores the same state");
    let state_bytes = checkpoint.state.len();
    Ok(Cost {
        rows,
        records: RECORDS,
        accepted,
        fold_us: median(apply_times),
        checkpoint_us: median(checkpoint_times),
        adopt_us: median(restore_times),
        record_bytes,
        state_bytes,
        state_bytes_per_row: state_bytes as f64 / rows as f64,
        checkpoint_record_bytes: Envelope::new(Body::Checkpoint(checkpoint)).encode().len(),
    })
}

/// Returns a table with one service for every nine routes. Each route has a distinct prefix.
fn table(rows: usize) -> Table {
    (0..rows).fold(Table::new(), |table, row| match row % 10 {
        0 => table.with_service(service(row), Limits::default()),
        _ => table.with_route(prefix(row), service(row - row % 10), 1),
    })
}

fn service(row: usize) -> String {
    format!("booking-{row:04}")
}

fn prefix(row: usize) -> String {
    format!("/v1/bookings/{row:04}")
}

/// Returns an edit of the weight of one route, like a typical publish.
fn edit(n: u32, rows: usize) -> Edit {
    let row = (n as usize % rows / 10) * 10 + 1;
    Edit {
        key: RowKey::Route(prefix(row), ServiceName::new(service(row - 1))),
        row: Some(Row::Route(1 + n % 1000)),
    }
}

fn entry(fold: &Fold, n: u32, edits: Vec<Edit>) -> Entry {
    let publish = Publish {
        // The ids are spread over the whole range, like generated ids.
        id: PublishId(u128::from(n).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835)),
        author: "operator".into(),
        base: fold.version(),
        edits,
    };
    Entry {
        offset: fold.position(),
        at_ms: 0,
        body: Envelope::new(Body::Publish(publish)).encode(),
    }
}

fn append(fold: &mut Fold, n: u32, edits: Vec<Edit>) -> Result<Verdict, FoldError> {
    let entry = entry(fold, n, edits);
    fold.apply(&entry)
}

/// Runs an operation [`RUNS`] times and returns its first result and the duration of each run.
fn timed<T>(run: impl Fn() -> T) -> (T, Vec<Duration>) {
    let measure = || {
        let start = Instant::now();
        (black_box(run()), start.elapsed())
    };
    let (value, first) = measure();
    let others = (1..RUNS).map(|_| measure().1);
    (value, std::iter::once(first).chain(others).collect())
}

/// Returns the median in microseconds.
fn median(mut times: Vec<Duration>) -> f64 {
    times.sort_unstable();
    let middle = times.get(times.len() / 2).copied().unwrap_or_default();
    middle.as_secs_f64() * 1e6
}
