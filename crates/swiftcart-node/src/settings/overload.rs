//! Conditions under which overload of a service is decided at the ingress.

use serde::Deserialize;

/// Decisions about overload that nodes make for a service as a whole.
///
/// Without a trigger, each guard decides alone.
#[derive(Debug, Default, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Overload {
    /// Conditions, any of which enables the decisions for a service; default none.
    pub when: Vec<OverloadTrigger>,
}

impl Overload {
    /// Returns `true` if the decisions are enabled for some services or for all.
    #[must_use]
    pub fn is_enabled(&self) -> bool {
        !self.when.is_empty()
    }

    /// Returns `true` if `trigger` enables the decisions.
    #[must_use]
    pub fn has(&self, trigger: OverloadTrigger) -> bool {
        self.when.contains(&trigger)
    }
}

/// Condition that enables the decisions about overload for a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OverloadTrigger {
    /// Always.
    Always,
    /// The configuration has client accounts, which compete for the service.
    Accounts,
    /// The service's backend servers state how fast their shared hosts are at the moment.
    StatedPace,
}
