//! Completeness of the operations page: outcome reasons, metrics and log events of a node.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use rstest::rstest;
use swiftcart_core::Reason;

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .parent()
        .expect("the root")
}

fn source_files(dir: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(dir)
        .expect("a folder")
        .map(|e| e.expect("an entry").path());
    let (dirs, files): (Vec<_>, Vec<_>) = entries.partition(|path| path.is_dir());
    let nested = dirs.iter().flat_map(|dir| source_files(dir));
    nested.chain(files).collect()
}

fn read_file(path: &str) -> String {
    fs::read_to_string(root().join(path)).expect("a file")
}

/// Returns the quoted words of `text` that satisfy `predicate`.
fn quoted_words(text: &str, predicate: impl Fn(&str) -> bool) -> BTreeSet<String> {
    let words = text.split('"').map(str::to_owned);
    words.filter(|word| predicate(word)).collect()
}

fn reasons() -> BTreeSet<String> {
    let names = Reason::ALL.iter().map(|reason| reason.as_str().to_owned());
    names.collect()
}

fn metrics() -> BTreeSet<String> {
    let is_lowercase = |word: &str| word.chars().all(|c| c.is_ascii_lowercase() || c == '_');
    let is_metric = |word: &str| word.starts_with("swiftcart_") && is_lowercase(word);
    let files = source_files(&root().join("crates/swiftcart-node/src"));
    let texts = files
        .iter()
        .map(|path| fs::read_to_string(path).expect("a file"));
    texts
        .flat_map(|text| quoted_words(&text, is_metric))
        .collect()
}

fn events() -> BTreeSet<String> {
    let text = read_file("crates/swiftcart-node/src/logging.rs");
    let arms = text
        .lines()
        .filter(|line| line.trim().starts_with("Self::"));
    let arms: Vec<_> = arms.filter(|line| line.contains("=> \"")).collect();
    quoted_words(&arms.join("\n"), |word| {
        !word.contains("Self") && word != ","
    })
}

#[rstest]
#[case::reasons(reasons(), 20)]
#[case::metrics(metrics(), 10)]
#[case::events(events(), 10)]
fn operations_page_lists_every_name(#[case] names: BTreeSet<String>, #[case] min_count: usize) {
    let page = read_file("docs/OPERATIONS.md");
    let table_row = |name: &String| format!("\n| `{name}` |");
    let missing: Vec<_> = names
        .iter()
        .filter(|name| !page.contains(&table_row(name)))
        .collect();
    assert_eq!(missing, Vec::<&String>::new());
    assert!(names.len() >= min_count, "only {names:?} were found");
}
