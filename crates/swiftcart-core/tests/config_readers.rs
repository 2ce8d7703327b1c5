//! Property tests: every reader of a log reaches the same state.
//!
//! The logs contain repeats, concurrent publishes, checkpoints and malformed records.

use std::collections::BTreeSet;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use swiftcart_core::{
    Body, Edit, Entry, Envelope, Fold, Limits, Offset, Publish, PublishId, Row, RowKey,
    ServiceName, Table, Verdict, Version, check,
};

#[derive(Debug, Clone)]
enum Step {
    /// An operator publishes edits that are based on the state from `lag` records earlier.
    Publish {
        id: u128,
        lag: usize,
        edits: Vec<Edit>,
    },
    /// A record is appended again, as after an append whose response was lost.
    Repeat(prop::sample::Index),
    /// A checkpoint is appended after `lag` other records.
    Checkpoint { lag: usize },
    /// 300 publishes without edits are appended, to evict older decisions.
    Flood(u128),
    /// A malformed record is appended.
    Malformed,
}

fn edit() -> impl Strategy<Value = Edit> {
    let name = prop_oneof!["[ab]", Just("Z".to_owned())];
    let row = prop::option::weighted(0.7, 0..4_u32);
    (name, prop::bool::weighted(0.3), row).prop_map(|(name, is_service, row)| {
        let name = ServiceName::new(name);
        match is_service {
            true => Edit {
                key: RowKey::Service(name),
                row: row.map(|rate| {
                    Row::Service(Limits {
                        rate,
                        ..Limits::default()
                    })
                }),
            },
            false => Edit {
                key: RowKey::Route("/x".into(), name),
                row: row.map(Row::Route),
            },
        }
    })
}

fn step() -> impl Strategy<Value = Step> {
    let publish = (
        any::<u128>(),
        0..4_usize,
        prop::collection::vec(edit(), 0..4),
    );
    prop_oneof![
        12 => publish.prop_map(|(id, lag, edits)| Step::Publish { id, lag, edits }),
        4 => any::<prop::sample::Index>().prop_map(Step::Repeat),
        3 => (0..3_usize).prop_map(|lag| Step::Checkpoint { lag }),
        1 => any::<u128>().prop_map(Step::Flood),
        1 => Just(Step::Malformed),
    ]
}

/// A log and the state of a reader after each record.
#[derive(Default)]
struct History {
    log: Vec<Entry>,
    verdicts: Vec<Verdict>,
    folds: Vec<Fold>,
}

impl History {
    fn fold(&self, lag: usize) -> Fold {
        let at = self.folds.len().saturating_sub(lag + 1);
        self.folds.get(at).cloned().unwrap_or_default()
    }

    fn append(&mut self, body: String) {
        let mut fold = self.fold(0);
        let entry = Entry {
            offset: fold.position(),
            at_ms: 0,
            body,
        };
        self.verdicts
            .push(fold.apply(&entry).expect("the next offset"));
        self.log.push(entry);
        self.folds.push(fold);
    }

    fn publish(&mut self, id: u128, base: Version, edits: Vec<Edit>) {
        let (id, author) = (PublishId(id), "op".into());
        let publish = Publish {
            id,
            author,
            base,
            edits,
        };
        self.append(Envelope::new(Body::Publish(publish)).encode());
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Publish { id, lag, edits } => self.publish(id, self.fold(lag).version(), edits),
            Step::Repeat(_) if self.log.is_empty() => {}
            Step::Repeat(index) => self.append(index.get(&self.log).body.clone()),
            Step::Checkpoint { lag } => {
                let checkpoint = self.fold(lag).checkpoint();
                self.append(Envelope::new(Body::Checkpoint(checkpoint)).encode());
            }
            Step::Flood(id) => {
                let base = self.fold(0).version();
                (0..300).for_each(|i| self.publish(id.wrapping_add(i), base, vec![]));
            }
            Step::Malformed => self.append("{".into()),
        }
    }
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn apply_edits(table: &Table, edits: &[Edit]) -> Table {
    edits.iter().fold(table.clone(), |mut table, edit| {
        match &edit.row {
            Some(row) => table.0.insert(edit.key.clone(), row.clone()),
            None => table.0.remove(&edit.key),
        };
        table
    })
}

proptest! {
    #![proptest_config(config(40))]

    #[test]
    fn readers_from_checkpoints_reach_the_same_state(steps in prop::collection::vec(step(), 1..60)) {
        let mut history = History::default();
        history.publish(0, Version::NONE, vec![Edit {
            key: RowKey::Service(ServiceName::new("a")),
            row: Some(Row::Service(Limits::default())),
        }]);
        steps.into_iter().for_each(|step| history.run(step));
        let last = history.fold(0);
        for entry in &history.log {
            let Ok(Body::Checkpoint(checkpoint)) = Envelope::decode(&entry.body).map(|e| e.body) else {
                continue;
            };
            let mut fold = Fold::from_checkpoint(&checkpoint).expect("a valid checkpoint");
            let start = fold.position().0 as usize;
            let verdicts: Vec<_> = history.log[start..].iter().map(|e| fold.apply(e)).collect();
            let expected = history.verdicts[start..].iter().cloned().map(Ok);
            prop_assert_eq!(verdicts, expected.collect::<Vec<_>>());
            prop_assert_eq!(fold.digest(), last.digest());
            prop_assert_eq!(fold, last.clone());
        }
    }

    #[test]
    fn publishes_are_atomic_and_versions_never_decrease(steps in prop::collection::vec(step(), 1..60)) {
        let mut history = History::default();
        steps.into_iter().for_each(|step| history.run(step));
        let mut before = Fold::new();
        let mut accepted = BTreeSet::new();
        for (i, verdict) in history.verdicts.iter().enumerate() {
            let (after, entry) = (&history.folds[i], &history.log[i]);
            match verdict {
                Verdict::Accepted(version) => {
                    let Ok(Body::Publish(publish)) = Envelope::decode(&entry.body).map(|e| e.body) else {
                        panic!("accepted {entry:?}");
                    };
                    prop_assert!(accepted.insert(publish.id), "accepted {} twice", publish.id);
                    prop_assert_eq!(after.table().as_ref(), &apply_edits(before.table(), &publish.edits));
                    prop_assert_eq!(check(after.table()), vec![]);
                    prop_assert_eq!(*version, Version::at(Offset(i as u64)));
                    prop_assert!(*version > before.version());
                }
                _ => prop_assert_eq!(after.table(), before.table()),
            }
            prop_assert!(after.version() >= before.version());
            prop_assert!(after.horizon() >= before.horizon());
            before = after.clone();
        }
    }
}
