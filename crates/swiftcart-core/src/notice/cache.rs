//! Notices that guards send to ingresses, and that ingresses send back to restarted guards.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;

use super::{Notice, RateError, ServerRate};
use crate::{NodeId, StartTime};

/// Maximum number of guards whose notices are cached: more than the backend servers of a mesh that
/// give notices at the same time.
const MAX_GUARDS: usize = 4096;

/// Text that stands for no rate limit between nodes.
const NO_RATE: &str = "-";

/// Text that stands for a shutdown notice between nodes.
const LEAVING: &str = "leaving";

quick_error! {
    /// Error of a text from another node that is not a valid notice.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum NoticeError {
        /// The text does not begin with the 16 hexadecimal digits of a process tag.
        Process {
            display("the notice does not begin with the 16 hexadecimal digits of a process tag")
        }
        /// The rate limit is invalid.
        Rate(err: RateError) {
            from()
            source(err)
            display("{err}")
        }
    }
}

/// Hash that identifies one process of a backend server.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ProcessTag(u64);

/// Notice of one process of a backend server.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{Notice, ProcessNotice, ProcessTag, ServerRate, StartTime};
///
/// let notice = Notice::default().with_rate(ServerRate::new(49.2));
/// let process = ProcessTag::new(b"i-1", Some(StartTime(1_700_000_000_000)));
/// let sent = ProcessNotice { process, notice };
/// assert_eq!(sent.to_string().parse(), Ok(sent));
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProcessNotice {
    /// Process that gave the notice.
    pub process: ProcessTag,
    /// Notice that the process gave.
    pub notice: Notice,
}

/// Cache of the last notice that an ingress has received from each guard.
///
/// A restarted guard no longer knows the notice of its backend server, and would hand over many
/// requests before the first answer repeats it. An ingress therefore sends the cached notice with
/// its requests, so that the guard applies it before it hands over the first of them.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{NodeId, Notice, ProcessNotice, ProcessTag, NoticeCache};
///
/// let guard = NodeId(([10, 0, 0, 1], 7000).into());
/// let process = ProcessTag::new(b"i-1", None);
/// let leaving = ProcessNotice { process, notice: Notice::default().with_leaving(true) };
/// let mut cache = NoticeCache::default();
/// cache.note(guard, leaving);
/// assert_eq!(cache.of(guard), Some(leaving));
/// cache.note(guard, ProcessNotice { process, notice: Notice::default() });
/// assert_eq!(cache.of(guard), None);
/// ```
#[derive(Debug, Default, Clone, PartialEq)]
pub struct NoticeCache {
    by_guard: HashMap<NodeId, ProcessNotice>,
}

impl ProcessTag {
    /// Returns the tag of the process of the backend server `id` that started at `start`.
    #[must_use]
    pub fn new(id: &[u8], start: Option<StartTime>) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(id);
        if let Some(StartTime(start)) = start {
            hasher.update(&start.to_le_bytes());
        }
        let mut bytes = [0; 8];
        hasher.finalize_xof().fill(&mut bytes);
        Self(u64::from_le_bytes(bytes))
    }
}

impl NoticeCache {
    /// Stores the notice that a guard sent. A default notice removes the entry of the guard.
    pub fn note(&mut self, guard: NodeId, received: ProcessNotice) {
        if received.notice == Notice::default() {
            self.by_guard.remove(&guard);
        } else if self.by_guard.len() < MAX_GUARDS || self.by_guard.contains_key(&guard) {
            self.by_guard.insert(guard, received);
        }
    }

    /// Returns the last notice that a guard sent.
    #[must_use]
    pub fn of(&self, guard: NodeId) -> Option<ProcessNotice> {
        self.by_guard.get(&guard).copied()
    }
}

impl fmt::Display for ProcessNotice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x} ", self.process.0)?;
        match self.notice.rate {
            Some(rate) => rate.fmt(f)?,
            None => f.write_str(NO_RATE)?,
        }
        match self.notice.leaving {
            true => write!(f, " {LEAVING}"),
            false => Ok(()),
        }
    }
}

impl FromStr for ProcessNotice {
    type Err = NoticeError;

    fn from_str(text: &str) -> Result<Self, NoticeError> {
        let mut parts = text.split(' ');
        let process = parts.next().unwrap_or_default();
        let process = u64::from_str_radix(process, 16).map_err(|_| NoticeError::Process)?;
        let rate: Option<ServerRate> = match parts.next() {
            None | Some(NO_RATE) => None,
            Some(rate) => Some(rate.parse()?),
        };
        let leaving = parts.next() == Some(LEAVING);
        Ok(Self {
            process: ProcessTag(process),
            notice: Notice { rate, leaving },
        })
    }
}
