//! Notices that the local backend server sends in the headers of its responses.

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

/// Header value by which a backend server announces that it is leaving.
const LEAVING_VALUE: &[u8] = b"1";

/// Source of a notice.
#[derive(Debug, Clone, Copy)]
enum NoticeSource<'a> {
    /// Response to the call, which was handed over at the given time.
    Answer(&'a Call, Instant),
    /// Another node that received the notice.
    Node,
}

/// Notices of one process of the backend server.
#[derive(Debug)]
pub struct Notices {
    shared: Arc<Shared>,
    /// Name that the process announced for itself.
    instance: Option<Arc<str>>,
    process: ProcessTag,
    belief: Mutex<NoticeTracker>,
}

impl Notices {
    /// Creates the state of a process that has sent no notice.
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

    /// Returns the current notice.
    #[must_use]
    pub fn current(&self) -> Notice {
        self.lock().now()
    }

    /// Applies the headers of a response to `call`, which was handed over at `sent`. Returns the
    /// current notice if it has changed.
    ///
    /// A response with the id of another request is ignored, because it may be older than `sent`.
    pub fn observe(&self, call: &Call, sent: Instant, headers: &HeaderMap) -> Option<Notice> {
        let names = &*self.shared.headers;
        if names.own_ids && headers.get(&names.request_id.0) != Some(&call.id.0) {
            return None;
        }
        let now = self.shared.clock.now();
        let rate = announced_rate(headers, names).unwrap_or_else(|err| {
            self.record_unreadable(now, call, err);
            // The header cannot be parsed, so the previous rate stays in force.
            self.current().rate
        });
        let announced = Notice::default()
            .with_rate(rate)
            .with_leaving(is_leaving(headers, names));
        let mut belief = self.lock();
        let old = belief.now();
        let changed = belief.observe(now, sent, announced);
        let new = belief.now();
        drop(belief);
        changed.then(|| self.record_change(old, new, NoticeSource::Answer(call, sent)))
    }

    /// Applies a notice that another node received, and returns the current notice if it has
    /// changed.
    pub fn relay(&self, received: ProcessNotice) -> Option<Notice> {
        if received.process != self.process {
            return None;
        }
        let mut belief = self.lock();
        let old = belief.now();
        let changed = belief.relay(received.notice);
        let new = belief.now();
        drop(belief);
        changed.then(|| self.record_change(old, new, NoticeSource::Node))
    }

    /// Marks the process `identity`, which announced that it is leaving, as draining.
    pub fn mark_draining(&self, identity: Option<&Identity>) {
        self.shared.leaves(identity);
    }

    /// Returns the current notice with the tag of its process, for other nodes, or `None` if nothing
    /// is known of the process yet.
    #[must_use]
    pub fn process_notice(&self) -> Option<ProcessNotice> {
        let notice = self.lock().known()?;
        Some(ProcessNotice {
            process: self.process,
            notice,
        })
    }

    fn record_unreadable(&self, now: Instant, call: &Call, err: RateError) {
        self.count("unreadable");
        if let Some(log) = self.shared.call_log.irregular(now) {
            warn!(log, ""; "event" => Event::Notice, "id" => %call.id,
                "instance" => self.instance(), "error" => %err);
        }
    }

    /// Counts and logs a change of the notice, and returns the new notice.
    fn record_change(&self, old: Notice, new: Notice, source: NoticeSource<'_>) -> Notice {
        self.count(change_kind(old, new));
        let now = self.shared.clock.now();
        let log = match new.leaving && !old.leaving {
            true => Some(&self.shared.logger),
            // A rate may change with each response, so these logs are rate-limited.
            false => self.shared.call_log.irregular(now),
        };
        if let Some(log) = log {
            let (id, age) = source.log_fields(now);
            info!(log, ""; "event" => Event::Notice, "id" => id, "instance" => self.instance(),
                "rate" => logged_rate(new), "before" => logged_rate(old), "leaving" => new.leaving,
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

impl NoticeSource<'_> {
    /// Returns the id and the age in milliseconds of the request for logs.
    fn log_fields(&self, now: Instant) -> (String, Option<u64>) {
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
fn logged_rate(notice: Notice) -> Option<f64> {
    notice.rate.map(ServerRate::per_second)
}

/// Returns the kind of a change for counters.
fn change_kind(old: Notice, new: Notice) -> &'static str {
    match (old.rate, new.rate) {
        _ if new.leaving && !old.leaving => "leaving",
        (_, None) => "rate-lifted",
        (None, Some(_)) => "rate-named",
        (Some(_), Some(_)) => "rate-changed",
    }
}

/// Returns the rate that a response announces, or the lowest if there are several.
fn announced_rate(headers: &HeaderMap, names: &Headers) -> Result<Option<ServerRate>, RateError> {
    let mut values = names.rate.iter().flat_map(|name| headers.get_all(&name.0));
    values.try_fold(None, |lowest: Option<ServerRate>, value| {
        let text = value.to_str().map_err(|_| RateError::Syntax)?;
        let rate: ServerRate = text.parse()?;
        Ok(Some(lowest.map_or(rate, |lowest| lowest.lower(rate))))
    })
}

/// Returns `true` if a response announces that its backend server is leaving.
fn is_leaving(headers: &HeaderMap, names: &Headers) -> bool {
    let mut values = names
        .leaving
        .iter()
        .flat_map(|name| headers.get_all(&name.0));
    values.any(|value| value.as_bytes() == LEAVING_VALUE)
}
