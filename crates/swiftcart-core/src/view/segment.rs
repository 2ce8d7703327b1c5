//! The tree of path prefixes, and the weighted choice at each.

use std::collections::BTreeMap;

use rand::Rng;

use super::ServiceEntry;
use crate::{Policy, Reason};

/// One node of the prefix tree; its depth is the number of path segments.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(super) struct Segment {
    children: BTreeMap<Box<str>, Segment>,
    /// Of the prefix itself and all below it.
    choice: Option<Choice>,
    /// Of what is below the prefix only.
    below: Option<Choice>,
}

/// Tells what a prefix with a slash at its end takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Slash {
    /// The path without that slash too.
    Optional,
    /// Only paths that have it.
    Needed,
}

/// The weighted services of one prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Choice {
    targets: Vec<Target>,
    total: u64,
    /// Why there is no service, when the targets are empty.
    without: Reason,
    /// How the requests of the prefix are treated, where the configuration says so.
    policy: Option<Policy>,
}

/// One service of a choice; its share ends at `end` on the line from 0 to the total weight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Target {
    service: usize,
    end: u64,
}

impl Segment {
    /// Returns the choice of `prefix`, which is empty when it was not there yet.
    pub(super) fn insert(&mut self, prefix: &str, slash: Slash) -> &mut Choice {
        let mut at = self;
        let path = prefix.trim_end_matches('/');
        for name in segments(path) {
            at = at.children.entry(name.into()).or_default();
        }
        let place = match slash {
            Slash::Needed if !path.is_empty() && prefix.ends_with('/') => &mut at.below,
            Slash::Needed | Slash::Optional => &mut at.choice,
        };
        place.get_or_insert_with(Choice::new)
    }

    /// Returns the choice of the longest prefix that takes `path`.
    pub(super) fn find(&self, path: &str) -> Option<&Choice> {
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let mut best = self.choice.as_ref();
        let mut at = self;
        for name in segments(path) {
            best = at.below.as_ref().or(best);
            match at.children.get(name) {
                Some(child) => at = child,
                None => break,
            }
            best = at.choice.as_ref().or(best);
        }
        best
    }
}

impl Choice {
    const fn new() -> Self {
        Self {
            targets: Vec::new(),
            total: 0,
            without: Reason::NoRoute,
            policy: None,
        }
    }

    /// Sets how the requests are treated.
    pub(super) const fn set_policy(&mut self, policy: Option<Policy>) {
        self.policy = policy;
    }

    /// Returns how the requests are treated, where the configuration says so.
    pub(super) const fn policy(&self) -> Option<Policy> {
        self.policy
    }

    /// Adds a service with its weight.
    ///
    /// A prefix with a policy splits by weight alone: what a service without a backend
    /// server cannot take is refused, and does not go to the others.
    pub(super) fn add(&mut self, service: usize, entry: &ServiceEntry, weight: u32) {
        match entry.shortage() {
            _ if weight == 0 => {}
            Some(reason) if self.policy.is_none() => {
                if self.without != Reason::NotReady {
                    self.without = reason;
                }
            }
            _ => {
                self.total += u64::from(weight);
                let end = self.total;
                self.targets.push(Target { service, end });
            }
        }
    }

    /// Chooses a service by weight.
    pub(super) fn pick<R: Rng + ?Sized>(&self, rng: &mut R) -> Result<usize, Reason> {
        match self.targets.as_slice() {
            [] => Err(self.without),
            [only] => Ok(only.service),
            targets => {
                let point = rng.random_range(0..self.total);
                let i = targets.partition_point(|t| t.end <= point);
                targets.get(i).map(|t| t.service).ok_or(self.without)
            }
        }
    }
}

/// Splits an absolute path into its segments; `/` and the empty path have none.
fn segments(path: &str) -> impl Iterator<Item = &str> {
    let path = path.strip_prefix('/').unwrap_or(path);
    path.split('/').filter(move |_| !path.is_empty())
}
