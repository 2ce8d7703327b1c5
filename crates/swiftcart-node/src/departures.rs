//! Departures of the local backend server that outlive this process.

use std::time::Duration;

use swiftcart_core::Departure;
use tokio::sync::watch;
use tokio::time::timeout;

/// Maximum time for which the acknowledgement of a departure waits until others remember it.
///
/// A backend server waits 1 s for the acknowledgement. Without it, it would leave unannounced.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum time for which an announcement waits until earlier departures are known.
const RECALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Departures that this node has acknowledged, with the number of their last change.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct OwnDepartures {
    /// Number of the last change, from 1.
    pub number: u64,
    /// Departures, the latest one first.
    pub departures: Vec<Departure>,
}

/// State of the departures, shared by the announcements and the control loop.
#[derive(Debug, Default)]
pub struct Departures {
    /// Departures that this node has acknowledged.
    pub own: watch::Sender<OwnDepartures>,
    confirmed: watch::Sender<u64>,
    recalled: watch::Sender<bool>,
}

impl Departures {
    /// Sets the departures, and returns `true` if there are new ones.
    ///
    /// A departure that no longer matters is not worth a report: whoever remembers it forgets it as well.
    pub fn set(&self, departures: Vec<Departure>) -> bool {
        self.own.send_if_modified(|own| {
            let is_known = |new: &Departure| own.departures.iter().any(|old| old.is_same(new));
            let has_new = !departures.iter().all(is_known);
            if has_new {
                own.number += 1;
                own.departures = departures;
            }
            has_new
        })
    }

    /// Records that the directory or another node remembers the change `number`.
    pub fn confirm(&self, number: u64) {
        self.confirmed.send_if_modified(|confirmed| {
            let is_later = number > *confirmed;
            *confirmed = number.max(*confirmed);
            is_later
        });
    }

    /// Waits until the last change is remembered outside this process. Returns `false` if that takes
    /// too long; it is then still tried.
    pub async fn confirmed(&self) -> bool {
        let number = self.own.borrow().number;
        let mut confirmed = self.confirmed.subscribe();
        let waiting = confirmed.wait_for(|confirmed| *confirmed >= number);
        timeout(CONFIRM_TIMEOUT, waiting).await.is_ok()
    }

    /// Records that the departures which an earlier process acknowledged are known.
    pub fn set_recalled(&self) {
        self.recalled.send_replace(true);
    }

    /// Waits until the departures which an earlier process acknowledged are known. Returns `false` if
    /// that takes too long.
    pub async fn recalled(&self) -> bool {
        let mut recalled = self.recalled.subscribe();
        let waiting = recalled.wait_for(|recalled| *recalled);
        timeout(RECALL_TIMEOUT, waiting).await.is_ok()
    }
}
