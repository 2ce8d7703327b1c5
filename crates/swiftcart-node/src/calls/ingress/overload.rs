//! Decisions of the ingress about services that have less room than their callers ask for.

use http::request::Parts;
use swiftcart_core::ServiceEntry;

use super::Ingress;
use crate::calls::origin::CallerAddr;
use crate::settings::OverloadTrigger;

impl Ingress {
    /// Returns `true` if the settings, the configuration in force and the backend servers of
    /// `entry` enable the decisions about overload.
    pub(super) fn decides_overload(&self, entry: &ServiceEntry) -> bool {
        let overload = &self.shared.settings.overload;
        let states_pace = || {
            let now = self.shared.clock.now();
            self.balancer().states_pace(now, entry)
        };
        let has_accounts = || !self.shared.view.load().accounts().is_empty();
        overload.has(OverloadTrigger::Always)
            || overload.has(OverloadTrigger::Accounts) && has_accounts()
            || overload.has(OverloadTrigger::StatedPace) && states_pace()
    }

    /// Returns `true` if the request is a nested call of the local backend server.
    ///
    /// The address of the connection decides, since a caller could forge any header.
    pub(super) fn is_nested(&self, head: &Parts) -> bool {
        let origin = CallerAddr::from_extensions(&head.extensions);
        origin.is_some_and(|origin| origin.is_instance(self.shared.settings.listen.calls.ip()))
    }
}
