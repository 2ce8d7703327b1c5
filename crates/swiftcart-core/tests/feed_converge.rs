//! Feeds that exchange records in any order converge to one state and never move back.

use std::time::Duration;

use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;
use swiftcart_core::{
    Body, Edit, Entry, Envelope, Feed, FeedAction, FeedSettings, Fold, Instant, Limits, NodeId,
    Offset, Publish, PublishId, PullAnswer, Row, RowKey, ServiceName, push_children,
};

const NODES: usize = 4;
const RETENTION: Duration = Duration::from_secs(100);

#[derive(Debug, Clone)]
enum Step {
    Publish(u32),
    Read { node: usize, limit: usize },
    Head { from: usize, to: usize },
    Deliver { message: Index, duplicate: bool },
    Drop(Index),
    Restart(usize),
    Tick { node: usize, rank: usize },
    Wait(u64),
}

#[derive(Debug, Clone)]
enum Message {
    Push { origin: NodeId, entries: Vec<Entry> },
    Pull(Offset),
    Answer(PullAnswer),
}

fn step() -> impl Strategy<Value = Step> {
    let node = || 0..NODES;
    let deliver = (any::<Index>(), prop::bool::weighted(0.2));
    prop_oneof![
        6 => (0..9_u32).prop_map(Step::Publish),
        4 => (node(), 1..6_usize).prop_map(|(node, limit)| Step::Read { node, limit }),
        6 => (node(), node()).prop_map(|(from, to)| Step::Head { from, to }),
        10 => deliver.prop_map(|(message, duplicate)| Step::Deliver { message, duplicate }),
        2 => any::<Index>().prop_map(Step::Drop),
        1 => node().prop_map(Step::Restart),
        2 => (node(), 0..3_usize).prop_map(|(node, rank)| Step::Tick { node, rank }),
        2 => (1..9_000_u64).prop_map(Step::Wait),
    ]
}

/// Simulation of a log whose records expire and of messages that may be lost, duplicated or late.
struct Simulation {
    log: Vec<Entry>,
    first: usize,
    now_ms: u64,
    feeds: Vec<Feed>,
    messages: Vec<(usize, usize, Message)>,
}

fn id(node: usize) -> NodeId {
    NodeId(([10, 0, 0, 1], 7000 + node as u16).into())
}

fn feed(node: usize) -> Feed {
    let settings = FeedSettings::new(RETENTION)
        .with_ring(5, 1 << 20)
        .with_checkpoint(8);
    Feed::new(id(node), settings)
}

impl Simulation {
    fn new() -> Self {
        Self {
            log: Vec::new(),
            first: 0,
            now_ms: 0,
            feeds: (0..NODES).map(feed).collect(),
            messages: Vec::new(),
        }
    }

    fn append(&mut self, body: Body) {
        let offset = Offset(self.log.len() as u64);
        let body = Envelope::new(body).encode();
        self.log.push(Entry {
            offset,
            at_ms: self.now_ms,
            body,
        });
    }

    fn publish(&mut self, rate: u32) {
        let newest = self.feeds.iter().max_by_key(|feed| feed.fold().position());
        let limits = Limits {
            rate,
            ..Limits::default()
        };
        let publish = Publish {
            id: PublishId(self.log.len() as u128),
            author: "op".into(),
            base: newest.expect("at least one feed").fold().version(),
            edits: vec![Edit {
                key: RowKey::Service(ServiceName::new("a")),
                row: Some(Row::Service(limits)),
            }],
        };
        self.append(Body::Publish(publish));
    }

    fn expire(&mut self) {
        let oldest = self.now_ms.saturating_sub(RETENTION.as_millis() as u64);
        self.first = self.log.partition_point(|entry| entry.at_ms < oldest);
    }

    fn read(&mut self, node: usize, limit: usize) {
        let from = self.feeds[node].from().0 as usize;
        let start = from.max(self.first).min(self.log.len());
        let end = self.log.len().min(start + limit);
        let (first, next) = (Offset(self.first as u64), Offset(self.log.len() as u64));
        let page = self.log[start..end].to_vec();
        self.handle(node, |feed| feed.on_page(first, next, page));
    }

    fn handle(&mut self, node: usize, event: impl FnOnce(&mut Feed) -> Vec<FeedAction>) {
        let before = (
            self.feeds[node].fold().position(),
            self.feeds[node].fold().version(),
        );
        let actions = event(&mut self.feeds[node]);
        let after = (
            self.feeds[node].fold().position(),
            self.feeds[node].fold().version(),
        );
        assert!(
            after.0 >= before.0 && after.1 >= before.1,
            "feed moved back from {before:?} to {after:?}"
        );
        for action in actions {
            self.perform(node, action);
        }
    }

    fn perform(&mut self, node: usize, action: FeedAction) {
        let members: Vec<_> = (0..NODES).map(id).collect();
        let index_of = |id| {
            members
                .iter()
                .position(|member| *member == id)
                .expect("the node is a member")
        };
        match action {
            FeedAction::Push { origin, entries } => {
                for child in push_children(&members, origin, id(node), 2) {
                    let entries = entries.clone();
                    self.messages
                        .push((node, index_of(child), Message::Push { origin, entries }));
                }
            }
            FeedAction::Pull { peer, from } => {
                self.messages
                    .push((node, index_of(peer), Message::Pull(from)));
            }
            FeedAction::AppendCheckpoint(checkpoint) => self.append(Body::Checkpoint(checkpoint)),
            FeedAction::Applied(_) | FeedAction::NoStart(_) => {}
            FeedAction::Stalled(_) | FeedAction::Diverged(_) | FeedAction::PushDelta { .. } => {
                panic!("{action:?}")
            }
        }
    }

    fn deliver(&mut self, (from, to, message): (usize, usize, Message)) {
        let now = Instant::from_millis(self.now_ms);
        match message {
            Message::Push { origin, entries } => {
                self.handle(to, |feed| feed.on_push(now, id(from), origin, entries));
            }
            Message::Pull(offset) => {
                let answer = self.feeds[to].answer(offset);
                self.messages.push((to, from, Message::Answer(answer)));
            }
            Message::Answer(answer) => {
                self.handle(to, |feed| feed.on_pull_reply(now, id(from), answer));
            }
        }
    }

    fn step(&mut self, step: &Step) {
        let now = Instant::from_millis(self.now_ms);
        match *step {
            Step::Publish(rate) => self.publish(rate),
            Step::Read { node, limit } => self.read(node, limit),
            Step::Head { from, to } => {
                let head = self.feeds[from].head();
                self.handle(to, |feed| feed.on_head(now, id(from), head));
            }
            Step::Deliver { .. } | Step::Drop(_) if self.messages.is_empty() => {}
            Step::Deliver { message, duplicate } => {
                let index = message.index(self.messages.len());
                let delivered = match duplicate {
                    true => self.messages[index].clone(),
                    false => self.messages.swap_remove(index),
                };
                self.deliver(delivered);
            }
            Step::Drop(message) => {
                self.messages
                    .swap_remove(message.index(self.messages.len()));
            }
            Step::Restart(node) => self.feeds[node] = feed(node),
            Step::Tick { node, rank } => {
                let now_ms = self.now_ms;
                self.handle(node, |feed| {
                    feed.on_tick(now_ms, rank).into_iter().collect()
                });
            }
            Step::Wait(ms) => {
                self.now_ms += ms;
                self.expire();
            }
        }
    }

    /// Returns `true` if a feed or a checkpoint in the log still allows reading to the end of the
    /// log.
    fn is_recoverable(&self) -> bool {
        let first = Offset(self.first as u64);
        let is_usable = |entry: &Entry| match Envelope::decode(&entry.body).map(|e| e.body) {
            Ok(Body::Checkpoint(checkpoint)) => checkpoint.position >= first,
            _ => false,
        };
        self.feeds
            .iter()
            .any(|feed| feed.fold().position() >= first)
            || self.log[self.first..].iter().any(is_usable)
    }

    /// Runs 100 rounds in which no message is lost. Only node 0 reads the platform.
    fn run_without_loss(&mut self) {
        for round in 0..100 {
            self.now_ms += 2_001;
            self.read(0, 10);
            for node in 1..NODES {
                let (from, to) = if round % 2 == 0 { (0, node) } else { (node, 0) };
                self.step(&Step::Head { from, to });
            }
            while let Some(message) = self.messages.pop() {
                self.deliver(message);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 192,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn feeds_converge_to_the_fold_of_the_log(steps in prop::collection::vec(step(), 1..150)) {
        let mut simulation = Simulation::new();
        steps.into_iter().for_each(|step| simulation.step(&step));
        prop_assume!(simulation.is_recoverable());
        simulation.run_without_loss();
        let mut fold = Fold::new();
        for entry in &simulation.log {
            fold.apply(entry).expect("offsets are consecutive");
        }
        for feed in &simulation.feeds {
            prop_assert_eq!(feed.fold(), &fold);
            prop_assert_eq!(feed.counts().diverged, 0);
        }
    }
}
