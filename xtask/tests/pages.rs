//! The page for operators names everything that a node can tell them.

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

fn sources(dir: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(dir)
        .expect("a folder")
        .map(|e| e.expect("an entry").path());
    let (dirs, files): (Vec<_>, Vec<_>) = entries.partition(|path| path.is_dir());
    let below = dirs.iter().flat_map(|dir| sources(dir));
    below.chain(files).collect()
}

fn read(path: &str) -> String {
    fs::read_to_string(root().join(path)).expect("a file")
}

/// Returns the quoted words of `text` that satisfy `wanted`.
fn quoted(text: &str, wanted: impl Fn(&str) -> bool) -> BTreeSet<String> {
    let words = text.split('"').map(str::to_owned);
    words.filter(|word| wanted(word)).collect()
}

fn reasons() -> BTreeSet<String> {
    let names = Reason::ALL.iter().map(|reason| reason.as_str().to_owned());
    names.collect()
}

fn metrics() -> BTreeSet<String> {
    let plain = |word: &str| word.chars().all(|c| c.is_ascii_lowercase() || c == '_');
    let named = |word: &str| word.starts_with("swiftcart_") && plain(word);
    let files = sources(&root().join("crates/swiftcart-node/src"));
    let texts = files
        .iter()
        .map(|path| fs::read_to_string(path).expect("a file"));
    texts.flat_map(|text| quoted(&text, named)).collect()
}

fn events() -> BTreeSet<String> {
    let text = read("crates/swiftcart-node/src/logging.rs");
    let arms = text
        .lines()
        .filter(|line| line.trim().starts_with("Self::"));
    let arms: Vec<_> = arms.filter(|line| line.contains("=> \"")).collect();
    quoted(&arms.join("\n"), |word| {
        !word.contains("Self") && word != ","
    })
}

#[rstest]
#[case::reasons(reasons(), 20)]
#[case::metrics(metrics(), 10)]
#[case::events(events(), 10)]
fn the_page_for_operators_names_each(#[case] names: BTreeSet<String>, #[case] least: usize) {
    let page = read("docs/OPERATIONS.md");
    let row = |name: &String| format!("\n| `{name}` |");
    let missing: Vec<_> = names
        .iter()
        .filter(|name| !page.contains(&row(name)))
        .collect();
    assert_eq!(missing, Vec::<&String>::new());
    assert!(names.len() >= least, "only {names:?} were found");
}
