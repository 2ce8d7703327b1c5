//! Short waits of requests that come a moment too early.
//!
//! When many processes start at once, the first requests meet nodes that know the mesh a
//! tenth of a second later, and nodes that know no backend server until the next heartbeat.
//! To send them away at once costs callers one of their few tries.

use std::sync::Arc;

use swiftcart_core::{Reason, ServiceName, View};
use tokio::time::{timeout, timeout_at};

use super::Ingress;
use crate::calls::request::Call;
use crate::shared::Phase;

impl Ingress {
    /// Waits until the node takes requests, as long as it has only just started.
    ///
    /// # Errors
    ///
    /// [`Reason::NotReady`] or [`Reason::Stopping`] when it does not take this one.
    pub(super) async fn ready(&self, call: &Call) -> Result<(), Reason> {
        if self.shared.phase.borrow().is_start() {
            self.wait_for_start(call).await;
        }
        let phase = *self.shared.phase.borrow();
        match phase {
            Phase::Ready | Phase::Leaving | Phase::Finishing => Ok(()),
            Phase::Stopping => Err(Reason::Stopping),
            Phase::NoConfig | Phase::BelowFloor | Phase::NoMembers => Err(Reason::NotReady),
        }
    }

    async fn wait_for_start(&self, call: &Call) {
        self.count_early("start");
        let passed = self.shared.started.elapsed();
        let rest = self
            .shared
            .settings
            .limits
            .start_wait()
            .saturating_sub(passed);
        let wait = call.due.left(self.shared.clock.now()).min(rest);
        let mut phases = self.shared.phase.subscribe();
        let settled = phases.wait_for(|phase| !phase.is_start());
        // The caller looks at the phase, whether it has settled or not.
        drop(timeout(wait, settled).await);
    }

    /// Returns the view in force once some backend server takes the work of `service`.
    ///
    /// It waits for that as long as the request may wait for a place, and returns the last view
    /// when there is none.
    pub(super) async fn staffed(&self, call: &Call, service: &ServiceName) -> Arc<View> {
        self.count_early("backend");
        let mut views = self.shared.views.subscribe();
        let now = self.shared.clock.now();
        let usual = self.shared.settings.limits.queue_timeout();
        let until = self.shared.clock.tokio(call.bid().until(now, usual));
        loop {
            views.borrow_and_update();
            let view = self.shared.view.load_full();
            let entry = view.service(service.as_str());
            let staffed = entry.is_some_and(|entry| entry.shortage().is_none());
            if staffed || timeout_at(until, views.changed()).await.is_err() {
                return view;
            }
        }
    }

    /// Counts a request that waits for what is missing.
    fn count_early(&self, missing: &'static str) {
        let counters = &self.shared.counters;
        counters.count("swiftcart_early_total", "reason", missing);
    }
}
