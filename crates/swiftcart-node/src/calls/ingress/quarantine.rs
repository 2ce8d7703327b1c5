//! Requests that are known to end backend servers, before they are passed on.

use slog::info;
use swiftcart_core::{Reason, Refusal};

use super::Ingress;
use super::original::Original;
use crate::calls::request::Call;
use crate::logging::Event;

impl Ingress {
    /// Refuses a request that is held. Only where its head is one of a suspect, its body is read
    /// first.
    ///
    /// # Errors
    ///
    /// [`Reason::Quarantined`] with the time for which it is held.
    pub(super) async fn pass(&self, call: &Call, original: &Original) -> Result<(), Refusal> {
        let suspects = &self.shared.suspects;
        if !suspects.may_be_quarantined(call.print.head) {
            return Ok(());
        }
        let bytes = self.shared.settings.limits.replay_bytes as usize;
        let filled = original.fill(bytes).await;
        filled.map_err(|_| Reason::CallerGone)?;
        let now = self.shared.clock.now();
        let Some(print) = original.print(call.print) else {
            return Ok(());
        };
        let Some(left) = suspects.held(now, print) else {
            return Ok(());
        };
        if let Some(log) = self.shared.call_log.failed(now) {
            info!(log, ""; "event" => Event::Try, "id" => %call.id, "print" => %print,
                "reason" => Reason::Quarantined.as_str(), "ends" => suspects.ends(print.request),
                "hold_ms" => u64::try_from(left.as_millis()).unwrap_or(u64::MAX));
        }
        Err(Refusal::new(Reason::Quarantined).with_retry(left))
    }

    /// Tells whether a request that failed for `reason` may end further backend servers if it is
    /// tried again.
    pub(super) fn is_dangerous(&self, call: &Call, original: &Original, reason: Reason) -> bool {
        let suspects = &self.shared.suspects;
        if !suspects.may_be_quarantined(call.print.head) {
            return false;
        }
        let Some(print) = original.print(call.print) else {
            return false;
        };
        let now = self.shared.clock.now();
        let again = reason == Reason::Crashed && suspects.ends_another(print.request);
        again || suspects.held(now, print).is_some()
    }
}
