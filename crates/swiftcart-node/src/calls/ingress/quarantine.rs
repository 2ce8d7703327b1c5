//! Quarantine of requests that crash backend servers.

use slog::info;
use swiftcart_core::{Reason, Refusal};

use super::Ingress;
use super::original::OriginalRequest;
use crate::calls::request::Call;
use crate::logging::Event;

impl Ingress {
    /// Refuses a quarantined request.
    ///
    /// The body is read first only if the head matches that of a suspected request.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::Quarantined`] with the remaining quarantine time, or the reason why the body
    /// cannot be read.
    pub(super) async fn check_quarantine(
        &self,
        call: &Call,
        original: &OriginalRequest,
    ) -> Result<(), Refusal> {
        let suspects = &self.shared.suspects;
        if !suspects.may_be_quarantined(call.print.head) {
            return Ok(());
        }
        let bytes = self.shared.settings.limits.replay_bytes as usize;
        let filled = original.fill(bytes).await;
        filled.map_err(|err| err.reason())?;
        let now = self.shared.clock.now();
        let Some(print) = original.print(call.print) else {
            return Ok(());
        };
        let Some(left) = suspects.held(now, print) else {
            return Ok(());
        };
        if let Some(log) = self.shared.call_log.failed(now) {
            info!(log, ""; "event" => Event::Try, "id" => %call.id, "print" => %print,
                "reason" => Reason::Quarantined.as_str(), "ends" => suspects.crash_count(print.request),
                "hold_ms" => u64::try_from(left.as_millis()).unwrap_or(u64::MAX));
        }
        Err(Refusal::new(Reason::Quarantined).with_retry(left))
    }

    /// Returns `true` if a retry of a request that failed for `reason` may crash further backend
    /// servers.
    pub(super) fn is_crash_risk(
        &self,
        call: &Call,
        original: &OriginalRequest,
        reason: Reason,
    ) -> bool {
        let suspects = &self.shared.suspects;
        if !suspects.may_be_quarantined(call.print.head) {
            return false;
        }
        let Some(print) = original.print(call.print) else {
            return false;
        };
        let now = self.shared.clock.now();
        let crashes_another =
            reason == Reason::Crashed && suspects.would_crash_again(print.request);
        crashes_another || suspects.held(now, print).is_some()
    }
}
