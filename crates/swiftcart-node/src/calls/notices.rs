//! What the backend server beside this node says of itself in its answers.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http::HeaderMap;
use slog::{info, warn};
use swiftcart_core::{
    Instant, Notice, NoticeTracker, ProcessNotice, ProcessTag, RateError, ServerRate,
};

use super::request::Call;
use crate::logging::Event;
use crate::registration::Identity;
use crate::settings::Headers;
use crate::shared::Shared;

/// The value by which a backend server says that it leaves.
const LEAVES: &[u8] = b"1";

/// Where a notice comes from.
#[derive(Debug, Clone, Copy)]
enum Source<'a> {
    /// The answer to this call, which was handed over then.
    Answer(&'a Call, Instant),
    /// A node that was told before.
    Node,
}

/// Follows the notices of one process of the backend server.
#[derive(Debug)]
pub struct Notices {
    shared: Arc<Shared>,
    /// The process, as it calls itself.
    instance: Option<Arc<str>>,
    process: ProcessTag,
    belief: Mutex<NoticeTracker>,
}

impl Notices {
    /// Creates what is believed of a process that nothing was heard of.
    #[must_use]
    pub fn new(shared: &Arc<Shared>, identity: Option<&Identity>) -> Arc<Self> {
        let tag = |identity: &Identity| ProcessTag::new(identity.id.as_bytes(), identity.start);
        let name = identity.and_then(|identity| identity.id.to_str().ok());
        Arc::new(Self {
            shared: Arc::clone(shared),
            instance: name.map(Arc::from),
            process: identity.map_or_else(ProcessTag::default, tag),
            belief: Mutex::default(),
        })
    }

    /// Returns what is believed now.
    #[must_use]
    pub fn now(&self) -> Notice {
        self.lock().now()
    }

    /// Takes the head of an answer to `call`, which was handed over at `sent`; returns what is believed
    /// now when that has changed.
    ///
    /// An answer that bears another request's id may be older than it looks, and says nothing.
    pub fn observe(&self, call: &Call, sent: Instant, headers: &HeaderMap) -> Option<Notice> {
        let names = &*self.shared.headers;
        if names.own_ids && headers.get(&names.request_id.0) != Some(&call.id.0) {
            return None;
        }
        let now = self.shared.clock.now();
        let rate = rate(headers, names).unwrap_or_else(|err| {
            self.unreadable(now, call, err);
            // What it says is not known, so what it said before holds on.
            self.now().rate
        });
        let said = Notice::default()
            .with_rate(rate)
            .with_leaving(leaves(headers, names));
        let mut belief = self.lock();
        let old = belief.now();
        let changed = belief.observe(now, sent, said);
        let new = belief.now();
        drop(belief);
        changed.then(|| self.note(old, new, Source::Answer(call, sent)))
    }

    /// Takes what another node was told of the backend server; returns what is believed now when that has
    /// changed.
    pub fn relay(&self, told: ProcessNotice) -> Option<Notice> {
        if told.process != self.process {
            return None;
        }
        let mut belief = self.lock();
        let old = belief.now();
        let changed = belief.relay(told.notice);
        let new = belief.now();
        drop(belief);
        changed.then(|| self.note(old, new, Source::Node))
    }

    /// Has the process `identity`, which said that it leaves, shown as draining.
    pub fn leaves(&self, identity: Option<&Identity>) {
        self.shared.leaves(identity);
    }

    /// Returns what other nodes are told.
    #[must_use]
    pub fn told(&self) -> ProcessNotice {
        ProcessNotice {
            process: self.process,
            notice: self.now(),
        }
    }

    fn unreadable(&self, now: Instant, call: &Call, err: RateError) {
        self.count("unreadable");
        if let Some(log) = self.shared.call_log.irregular(now) {
            warn!(log, ""; "event" => Event::Notice, "id" => %call.id,
                "instance" => self.instance(), "error" => %err);
        }
    }

    /// Counts and logs a change of what is believed, and returns it.
    fn note(&self, old: Notice, new: Notice, source: Source<'_>) -> Notice {
        self.count(kind(old, new));
        let now = self.shared.clock.now();
        let log = match new.leaving && !old.leaving {
            true => Some(&self.shared.logger),
            // A rate may change with each answer.
            false => self.shared.call_log.irregular(now),
        };
        if let Some(log) = log {
            let (id, age) = source.parts(now);
            info!(log, ""; "event" => Event::Notice, "id" => id, "instance" => self.instance(),
                "rate" => rate_of(new), "before" => rate_of(old), "leaving" => new.leaving,
                "age_ms" => age);
        }
        new
    }

    fn count(&self, kind: &'static str) {
        let counters = &self.shared.counters;
        counters.count("swiftcart_notices_total", "kind", kind);
    }

    fn instance(&self) -> &str {
        self.instance.as_deref().unwrap_or("-")
    }

    fn lock(&self) -> MutexGuard<'_, NoticeTracker> {
        self.belief.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Source<'_> {
    /// Returns the request's id and its age in milliseconds, for logs.
    fn parts(&self, now: Instant) -> (String, Option<u64>) {
        match self {
            Self::Answer(call, sent) => {
                let age = u64::try_from(now.since(*sent).as_millis()).ok();
                (call.id.to_string(), age)
            }
            Self::Node => ("-".to_owned(), None),
        }
    }
}

/// Returns the rate for logs.
fn rate_of(notice: Notice) -> Option<f64> {
    notice.rate.map(ServerRate::per_second)
}

/// Names what has changed, for counters.
fn kind(old: Notice, new: Notice) -> &'static str {
    match (old.rate, new.rate) {
        _ if new.leaving && !old.leaving => "leaving",
        (_, None) => "rate-lifted",
        (None, Some(_)) => "rate-named",
        (Some(_), Some(_)) => "rate-changed",
    }
}

/// Reads the rate that an answer names, the lowest one of several.
fn rate(headers: &HeaderMap, names: &Headers) -> Result<Option<ServerRate>, RateError> {
    let mut values = names.rate.iter().flat_map(|name| headers.get_all(&name.0));
    values.try_fold(None, |lowest: Option<ServerRate>, value| {
        let text = value.to_str().map_err(|_| RateError::Syntax)?;
        let rate: ServerRate = text.parse()?;
        Ok(Some(lowest.map_or(rate, |lowest| lowest.lower(rate))))
    })
}

/// Tells whether an answer says that its backend server leaves.
fn leaves(headers: &HeaderMap, names: &Headers) -> bool {
    let mut values = names
        .leaving
        .iter()
        .flat_map(|name| headers.get_all(&name.0));
    values.any(|value| value.as_bytes() == LEAVES)
}
