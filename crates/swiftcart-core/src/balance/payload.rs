//! Size class of a request and its response.

/// Size class of a request and its response, which determines the cost of leaving the failure
/// domain.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Payload {
    /// A few kilobytes.
    #[default]
    Light,
    /// A long body.
    Heavy,
}

impl Payload {
    /// Returns the time, in multiples of the target latency, that another failure domain has to
    /// save.
    ///
    /// Traffic between failure domains costs about 0.015 of the value of a short response per
    /// kilobyte, or 0.035 for a request with its response. For calls whose latencies have a spread
    /// of 0.8 around a quarter to a half of the target, adding one target to the mean increases the
    /// share of late responses by 0.2 to 0.35. A late response has lost 0.7 to 0.9 of its value, so
    /// the other domain has to save a sixth to a quarter of the target. An upload of 60 kB costs
    /// half of its value, which no gain in latency outweighs.
    pub(super) const fn penalty(self) -> f64 {
        match self {
            Self::Light => 0.2,
            Self::Heavy => 1.25,
        }
    }

    /// Returns the time, in multiples of the target latency, that another region has to save.
    ///
    /// The penalty is higher than between failure domains for three reasons. All traffic to a
    /// region shares one link, a request that is refused there also loses the return trip, and
    /// requests leaving a region that is short of slots compete with those leaving the other
    /// region.
    pub(super) const fn remote_penalty(self) -> f64 {
        match self {
            Self::Light => 2.5,
            Self::Heavy => 4.0,
        }
    }
}
