//! Authentication of client accounts and enforcement of their quotas.

use std::sync::Arc;

use http::header::AUTHORIZATION;
use http::request::Parts;
use http::{HeaderMap, HeaderValue};
use slog::info;
use swiftcart_core::{
    Access, Accounts, KeyHash, Outcome, Priority, QuotaMeter, QuotaRequest, Reason, Refusal,
    ResolvedAccount,
};

use super::{FailedAttempt, Ingress};
use crate::calls::request::Call;
use crate::logging::{Event, ms};
use crate::shared::Shared;

/// Maximum length of the header value that carries an API key, in bytes.
const MAX_CREDENTIALS_BYTES: usize = 512;

/// Charge of one request against its account's quota.
///
/// The charge stays if the caller disconnects, since the request may have run.
#[derive(Debug)]
pub(super) struct QuotaCharge<'a> {
    shared: &'a Shared,
    account: Arc<ResolvedAccount>,
}

impl QuotaCharge<'_> {
    /// Refunds the charge if the request ended without having run.
    pub(super) fn settle<T>(self, result: &Result<T, FailedAttempt>) {
        match result {
            Err(failed) if failed.refusal.reason.outcome() == Outcome::NotRun => {
                let now = self.shared.clock.now();
                self.shared.quotas.cancel_admission(now, &self.account);
            }
            _ => {}
        }
    }
}

impl Ingress {
    /// Finds the account of a request and removes the API key from the head.
    ///
    /// Requests from the local backend server carry no key and belong to no account.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::Unauthenticated`] if the route requires an account and the request has no
    /// known key.
    pub(super) fn identify(
        &self,
        head: &mut Parts,
        accounts: &Accounts,
        access: Access,
    ) -> Result<Option<Arc<ResolvedAccount>>, Reason> {
        if accounts.is_empty() {
            return Ok(None);
        }
        let settings = &self.shared.settings;
        let given = api_key(&head.headers, &settings.headers.scheme);
        let account_by_key =
            given.and_then(|key| accounts.account_by_key(KeyHash::of(key)).cloned());
        let is_keyless = !head.headers.contains_key(AUTHORIZATION);
        let is_local = self.is_from_instance(head);
        head.headers.remove(AUTHORIZATION);
        match (account_by_key, access) {
            (Some(account), _) => {
                if let Some(name) = &settings.headers.account {
                    let value = HeaderValue::from_str(account.name.as_str());
                    let value = value.map_err(|_| Reason::Unauthenticated)?;
                    head.headers.insert(name.0.clone(), value);
                }
                Ok(Some(account))
            }
            (None, Access::Public) => Ok(None),
            (None, Access::Accounts) if is_keyless && is_local => Ok(None),
            (None, Access::Accounts) => Err(Reason::Unauthenticated),
        }
    }

    /// Charges a request to its account's quota.
    ///
    /// The account's priority, if any, overrides the priority of the route.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::OverQuota`] with the time after which the account may send again.
    pub(super) fn charge_quota(
        &self,
        call: &mut Call,
        account: Option<Arc<ResolvedAccount>>,
    ) -> Result<Option<QuotaCharge<'_>>, Refusal> {
        let Some(account) = account else {
            return Ok(None);
        };
        let request = self.quota_request(call);
        if let Some(priority) = account.priority {
            call.set_priority(priority);
        }
        let now = self.shared.clock.now();
        let charged = self.shared.quotas.admit(now, &account, request);
        charged.inspect_err(|refusal| self.log_quota(call, &account, *refusal))?;
        Ok(Some(QuotaCharge {
            shared: &self.shared,
            account,
        }))
    }
}

impl Ingress {
    /// Returns the attributes of a request for the quota of its account.
    ///
    /// Requests of one account are ordered by the priority of their routes, even if the account has
    /// a priority of its own, which orders them among the requests of other accounts. A quota covers
    /// all services, so the order applies to all as soon as overload is decided for any.
    fn quota_request(&self, call: &Call) -> QuotaRequest {
        let priority = match call.terms {
            Some(terms) if self.shared.settings.overload.is_enabled() => terms.priority,
            _ => Priority::default(),
        };
        QuotaRequest::new(priority).with_timing(call.timing(self.balancer().mean_pace()))
    }

    /// Logs a request that exceeds a quota, with the values behind the decision.
    fn log_quota(&self, call: &Call, account: &ResolvedAccount, refusal: Refusal) {
        let now = self.shared.clock.now();
        let Some(log) = self.shared.call_log.failed(now) else {
            return;
        };
        let quota = account.quota.unwrap_or_default();
        let limited = |meter: &mut QuotaMeter| meter.limited(now, account.tag);
        let admitted = self.shared.quotas.with(limited);
        let after = refusal.retry_after.unwrap_or_default();
        info!(log, ""; "event" => Event::Quota, "id" => %call.id, "account" => %account.name,
            "rate" => quota.rate, "burst" => quota.burst,
            "admitted" => admitted.map_or(-1.0, |part| (part * 1000.0).round() / 1000.0),
            "left_ms" => ms(call.due.left(now)), "age_ms" => ms(call.age()),
            "retry_after_ms" => ms(after));
    }
}

/// Returns the API key of a request, or `None` if the `Authorization` header is missing, repeated,
/// too long or malformed.
fn api_key<'a>(headers: &'a HeaderMap, scheme: &str) -> Option<&'a [u8]> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let (value, None) = (values.next()?, values.next()) else {
        return None;
    };
    let bytes = value.as_bytes();
    if bytes.len() > MAX_CREDENTIALS_BYTES {
        return None;
    }
    let (given, key) = bytes.split_at_checked(scheme.len())?;
    let key = key.strip_prefix(b" ")?.trim_ascii();
    (given.eq_ignore_ascii_case(scheme.as_bytes()) && !key.is_empty()).then_some(key)
}
