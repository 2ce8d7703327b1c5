//! What guards tell ingresses of their backend servers, and are told again after they have started anew.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;

use super::{Notice, RateError, ServerRate};
use crate::{NodeId, StartTime};

/// Guards whose word is remembered at most; more than a mesh has backend servers in need.
const MOST: usize = 4096;

/// What stands for no rate between nodes.
const NO_RATE: &str = "-";

/// What says that a backend server leaves, between nodes.
const LEAVING: &str = "leaving";

quick_error! {
    /// Tells why a text between nodes is no notice.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum NoticeError {
        /// The process is not named by 16 hexadecimal digits.
        Process {
            display("a notice begins with the 16 hexadecimal digits of a process")
        }
        /// The rate cannot be read.
        Rate(err: RateError) {
            from()
            source(err)
            display("{err}")
        }
    }
}

/// Stands for one process of a backend server.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ProcessTag(u64);

/// Holds what one process of a backend server has said of itself.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{Notice, ProcessNotice, ProcessTag, ServerRate, StartTime};
///
/// let notice = Notice::default().with_rate(ServerRate::new(49.2));
/// let process = ProcessTag::new(b"i-1", Some(StartTime(1_700_000_000_000)));
/// let told = ProcessNotice { process, notice };
/// assert_eq!(told.to_string().parse(), Ok(told));
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProcessNotice {
    /// The process.
    pub process: ProcessTag,
    /// What it said.
    pub notice: Notice,
}

/// Remembers at an ingress what it was told with the answers of each guard.
///
/// A guard forgets with its process what its backend server has said, and would hand it many requests
/// before the first answer says so again. Ingresses send along what they were told, so that a
/// guard knows before it hands over the first request of an ingress that does.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{NodeId, Notice, ProcessNotice, ProcessTag, NoticeCache};
///
/// let guard = NodeId(([10, 0, 0, 1], 7000).into());
/// let process = ProcessTag::new(b"i-1", None);
/// let told = ProcessNotice { process, notice: Notice::default().with_leaving(true) };
/// let mut notices = NoticeCache::default();
/// notices.note(guard, told);
/// assert_eq!(notices.of(guard), Some(told));
/// notices.note(guard, ProcessNotice { process, notice: Notice::default() });
/// assert_eq!(notices.of(guard), None);
/// ```
#[derive(Debug, Default, Clone, PartialEq)]
pub struct NoticeCache {
    by_guard: HashMap<NodeId, ProcessNotice>,
}

impl ProcessTag {
    /// Returns what stands for the process of the backend server `id` that started at `start`.
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
    /// Takes what a guard told; nothing is kept of a backend server that has nothing to say any more.
    pub fn note(&mut self, guard: NodeId, told: ProcessNotice) {
        if told.notice == Notice::default() {
            self.by_guard.remove(&guard);
        } else if self.by_guard.len() < MOST || self.by_guard.contains_key(&guard) {
            self.by_guard.insert(guard, told);
        }
    }

    /// Returns what a guard told last.
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
