//! Decoding and validation of announcement bodies.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use serde::de::{DeserializeOwned, Deserializer};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use swiftcart_core::{Backend, Readiness, ServiceName, StartTime};

use super::error::AnnounceError;
use crate::logging::unix_ms;
use crate::settings::Announcements;

/// Minimum and maximum time until an announcement expires, in milliseconds.
const TTL_MS: (u64, u64) = (100, 600_000);

/// Maximum connections for each slot of a backend server that does not announce a connection limit.
///
/// Two for each slot: while every slot is in use, as many connections may be opening or closing.
const CONNECTIONS_PER_SLOT: u32 = 2;

/// Maximum number of slots or connections that a backend server may announce.
const MAX_COUNT: u32 = 65_536;

/// Greatest integer that every JSON parser reads exactly.
///
/// Above it, programs that use floating-point numbers cannot represent every integer.
const MAX_SAFE_INTEGER: u64 = (1 << 53) - 1;

/// Maximum clock skew by which a start time may lie in the future, in milliseconds.
///
/// Clocks are adjusted by seconds while processes run. A start time far in the future would make
/// all later processes look older.
const MAX_START_SKEW_MS: u64 = 300_000;

/// Body of `PUT /v1/backend`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Announcement {
    service: ServiceName,
    addr: SocketAddr,
    slots: u32,
    connections: u32,
    #[serde(default)]
    readiness: Readiness,
    pub(super) ttl_ms: u64,
}

/// Body of `PUT /v1/backend/{id}`, with which a backend server announces itself under its own id.
///
/// Every field except the start time is required: a body without one of them comes from another
/// program. Unknown fields are ignored, since a later release may add fields.
#[derive(Debug, Deserialize)]
pub(super) struct NamedAnnouncement {
    pub(super) service: ServiceName,
    addr: SocketAddr,
    slots: u32,
    pub(super) readiness: Readiness,
    /// Sequence number of the announcement, used to detect announcements that arrive out of order.
    pub(super) seq: u64,
    /// Remaining warm-up time of the backend server, in milliseconds.
    pub(super) warmup_ms: u32,
    /// Failure domain according to the backend server; routing uses the one of the node instead.
    pub(super) domain: String,
    /// Release of the backend server's program.
    pub(super) release: String,
    #[serde(flatten)]
    told: StartField,
}

/// Body of `DELETE /v1/backend/{id}`, which may be empty.
#[derive(Debug, Default, Deserialize)]
pub(super) struct Departure {
    #[serde(flatten)]
    told: StartField,
}

/// Start time of the sender, under `start_ms` or the field name from the settings.
#[derive(Debug, Default, Deserialize)]
struct StartField {
    #[serde(default, deserialize_with = "given")]
    start_ms: Option<u64>,
    #[serde(flatten)]
    others: BTreeMap<String, Value>,
}

/// Response body that acknowledges an announcement.
#[derive(Debug, Serialize)]
pub(in crate::admin) struct Acknowledgement {}

impl Announcement {
    pub(super) fn parse(body: &[u8]) -> Result<Self, AnnounceError> {
        let found: Self = decode(body)?;
        found.check()?;
        Ok(found)
    }

    fn check(&self) -> Result<(), AnnounceError> {
        let name = self.service.as_str();
        let announcement = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
        let addr = self.addr;
        check_range("slots", self.slots.into(), 1, MAX_COUNT.into())?;
        check_range("connections", self.connections.into(), 1, MAX_COUNT.into())?;
        check_range("ttl_ms", self.ttl_ms, TTL_MS.0, TTL_MS.1)?;
        match addr.ip() {
            _ if !(1..=63).contains(&name.len()) || !name.bytes().all(announcement) => {
                Err(AnnounceError::Service(name.into()))
            }
            IpAddr::V4(ip) if ip.is_unspecified() || ip.is_multicast() => {
                Err(AnnounceError::Addr(addr))
            }
            IpAddr::V6(ip) if ip.is_unspecified() || ip.is_multicast() => {
                Err(AnnounceError::Addr(addr))
            }
            _ if addr.port() == 0 => Err(AnnounceError::Addr(addr)),
            _ if self.readiness == Readiness::OnTrial => Err(AnnounceError::Readiness),
            _ => Ok(()),
        }
    }
}

impl NamedAnnouncement {
    /// Decodes a body whose announcement expires after `ttl_ms` unless it is renewed.
    ///
    /// Returns it together with the equivalent announcement without an id.
    pub(super) fn parse(body: &[u8], ttl_ms: u32) -> Result<(Self, Announcement), AnnounceError> {
        let found: Self = decode(body)?;
        let announcement = Announcement {
            service: found.service.clone(),
            addr: found.addr,
            slots: found.slots,
            connections: found.slots.saturating_mul(CONNECTIONS_PER_SLOT),
            readiness: found.readiness,
            ttl_ms: ttl_ms.into(),
        };
        announcement.check()?;
        check_range("seq", found.seq, 0, MAX_SAFE_INTEGER)?;
        Ok((found, announcement))
    }

    /// Returns the start time of the backend server, if the body has it.
    pub(super) fn start(&self, names: &Announcements) -> Result<Option<StartTime>, AnnounceError> {
        self.told.start(names)
    }
}

impl Departure {
    pub(super) fn parse(body: &[u8]) -> Result<Self, AnnounceError> {
        match body {
            [] => Ok(Self::default()),
            _ => decode(body),
        }
    }

    /// Returns the start time of the departing backend server, if the body has it.
    pub(super) fn start(&self, names: &Announcements) -> Result<Option<StartTime>, AnnounceError> {
        self.told.start(names)
    }
}

impl StartField {
    fn start(&self, names: &Announcements) -> Result<Option<StartTime>, AnnounceError> {
        let name = names.start.as_deref().unwrap_or_default();
        let start = match (self.start_ms, self.others.get(name)) {
            (Some(_), Some(_)) => return Err(AnnounceError::TwoStarts(name.into())),
            (None, Some(value)) => {
                let start = u64::deserialize(value);
                start.map_err(|err| AnnounceError::Start(name.into(), err))?
            }
            (Some(start), None) => start,
            (None, None) => return Ok(None),
        };
        check_range("start_ms", start, 0, MAX_SAFE_INTEGER)?;
        let now = unix_ms();
        match start > now.saturating_add(MAX_START_SKEW_MS) {
            true => Err(AnnounceError::FutureStart(start, now)),
            false => Ok(Some(StartTime(start))),
        }
    }
}

impl From<Announcement> for Backend {
    fn from(found: Announcement) -> Self {
        Self {
            service: found.service,
            addr: found.addr,
            slots: found.slots,
            connections: found.connections,
            readiness: found.readiness,
        }
    }
}

/// Decodes a body that consists of exactly one JSON value.
fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, AnnounceError> {
    let mut de = serde_json::Deserializer::from_slice(body);
    let found = serde_path_to_error::deserialize(&mut de)?;
    de.end().map_err(AnnounceError::Trailing)?;
    Ok(found)
}

/// Deserializes an optional field that must not be `null` if it is present.
fn given<'de, D: Deserializer<'de>>(de: D) -> Result<Option<u64>, D::Error> {
    u64::deserialize(de).map(Some)
}

fn check_range(key: &'static str, value: u64, min: u64, max: u64) -> Result<(), AnnounceError> {
    match value {
        _ if (min..=max).contains(&value) => Ok(()),
        _ => Err(AnnounceError::Range(key, value, min, max)),
    }
}
