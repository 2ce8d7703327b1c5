//! Advice of a spill plan for one request.

use rand::Rng;

use crate::DomainTag;

/// Random number of a request, which decides whether it leaves the failure domain.
///
/// All attempts of a request use the same number, so that retries do not raise its chance to leave.
///
/// # Examples
///
/// ```
/// use swiftcart_core::SpillDraw;
///
/// assert!((SpillDraw::new(0.25).fraction() - 0.25).abs() < 1e-6);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SpillDraw(u32);

impl SpillDraw {
    /// Creates a draw from a fraction between 0 and 1.
    #[must_use]
    pub fn new(fraction: f64) -> Self {
        Self((fraction * f64::from(u32::MAX)) as u32)
    }

    /// Creates a uniformly distributed draw.
    pub fn random<R: Rng + ?Sized>(rng: &mut R) -> Self {
        Self(rng.random())
    }

    /// Returns the draw as a fraction of at least 0 and less than 1.
    #[must_use]
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / (f64::from(u32::MAX) + 1.0)
    }
}

/// Cause for which a request leaves its failure domain, used for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SpillCause {
    /// The request belongs to the share that leaves because the own failure domain has no room.
    NoRoom,
    /// A guard of the own failure domain has refused the request, or all considered are believed
    /// full.
    GuardsFull,
    /// The other failure domain is expected to answer much earlier.
    Faster,
    /// The usage of the other failure domain is unknown and the own one has no room.
    Probe,
    /// The own failure domain has no usable backend server.
    NoneNear,
}

impl SpillCause {
    /// Returns the label of the cause in metrics and logs.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(swiftcart_core::SpillCause::NoRoom.as_str(), "no-room");
    /// ```
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoRoom => "no-room",
            Self::GuardsFull => "guards-full",
            Self::Faster => "faster",
            Self::Probe => "probe",
            Self::NoneNear => "none-near",
        }
    }
}

/// Failure domain for a request that finds no free slot in its own one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SpillTarget {
    /// A failure domain that has room.
    Domain(DomainTag),
    /// Any failure domain, because the usage of the others is unknown.
    Any,
    /// None, because the others are used about as much as the own one.
    Nowhere,
}

impl SpillTarget {
    /// Selects a domain in proportion to the rooms, given a `position` of at least 0 and less than 1
    /// in their sum.
    pub(super) fn in_proportion(
        rooms: impl Iterator<Item = (DomainTag, f64)> + Clone,
        position: f64,
    ) -> Self {
        let total: f64 = rooms.clone().map(|(_, room)| room).sum();
        let mut left = position * total;
        let mut with_room = rooms.filter(|(_, room)| *room > 0.0);
        let target = with_room.find(|(_, room)| {
            left -= room;
            left < 0.0
        });
        target.map_or(Self::Nowhere, |(tag, _)| Self::Domain(tag))
    }
}

/// Advice for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SpillAdvice {
    /// Cause for which the request leaves its failure domain, or `None` if it stays while it finds a
    /// free slot.
    pub leaves: Option<SpillCause>,
    /// Number of refusals in its failure domain after which the request leaves it, or `None` if it
    /// stays while another guard may have a free slot.
    pub max_refusals: Option<usize>,
    /// Failure domain to which the request may be sent.
    pub target: SpillTarget,
}
