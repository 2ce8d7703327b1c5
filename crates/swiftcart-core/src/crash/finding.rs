//! What nodes tell each other of requests and the ends of backend servers.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{CrashId, Fingerprint};

/// The most bytes of findings in one datagram; the rest is room for the seal and the digest.
const DATAGRAM_BYTES: usize = 1000;

/// The most fingerprints in one finding: with bodies, some 20 bytes each, they fit one datagram.
const PRINTS_MOST: usize = 40;

/// One thing that a node has found out.
///
/// The age travels along, since the clocks of two processes have nothing in common.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Finding {
    /// A backend server has ended.
    Crashed {
        /// Which end.
        id: CrashId,
        /// How long ago, in milliseconds.
        age_ms: u32,
        /// What it was running, or a part of it.
        prints: Vec<Fingerprint>,
    },
    /// A backend server has run a request to its end, so that it is harmless.
    Finished {
        /// The request.
        print: Fingerprint,
        /// How long ago, in milliseconds.
        age_ms: u32,
    },
}

/// Findings on their way, and what their sender knows in all.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Findings {
    /// Stands for everything that the sender knows.
    pub digest: u64,
    /// Whether the sender asks for everything that the receiver knows.
    pub asks: bool,
    /// The findings.
    pub list: Vec<Finding>,
}

impl Finding {
    /// Creates the findings for one end; many requests make several of them.
    #[must_use]
    pub fn crashed(id: CrashId, age: Duration, prints: &[Fingerprint]) -> Vec<Self> {
        let age_ms = millis(age);
        let parts = prints.chunks(PRINTS_MOST);
        let parts = parts.map(|part| Self::Crashed {
            id,
            age_ms,
            prints: part.to_vec(),
        });
        parts.collect()
    }

    /// Creates the finding for a request that has run to its end.
    #[must_use]
    pub fn finished(print: Fingerprint, age: Duration) -> Self {
        let age_ms = millis(age);
        Self::Finished { print, age_ms }
    }

    /// Returns it when `by` more has passed.
    #[must_use]
    pub fn older(mut self, by: Duration) -> Self {
        match &mut self {
            Self::Crashed { age_ms, .. } | Self::Finished { age_ms, .. } => {
                *age_ms = age_ms.saturating_add(millis(by));
            }
        }
        self
    }

    /// Returns how long ago it was.
    #[must_use]
    pub const fn age(&self) -> Duration {
        match self {
            Self::Crashed { age_ms, .. } | Self::Finished { age_ms, .. } => {
                Duration::from_millis(*age_ms as u64)
            }
        }
    }
}

impl Findings {
    /// Spreads findings over as many messages as it takes for each to fit one datagram.
    #[must_use]
    pub fn pack(digest: u64, list: Vec<Finding>) -> Vec<Self> {
        let mut packed: Vec<Self> = Vec::new();
        let mut room = 0;
        for finding in list {
            let size = size_of(&finding);
            if size > room {
                packed.push(Self {
                    digest,
                    ..Self::default()
                });
                room = DATAGRAM_BYTES;
            }
            room = room.saturating_sub(size);
            if let Some(last) = packed.last_mut() {
                last.list.push(finding);
            }
        }
        packed
    }
}

fn size_of(finding: &Finding) -> usize {
    // What cannot be encoded gets a message of its own, which is not sent then.
    postcard::experimental::serialized_size(finding).unwrap_or(DATAGRAM_BYTES)
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
