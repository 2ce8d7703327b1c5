//! Failure domains that operators have drained: their backend servers receive no requests.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::FailureDomain;

/// Position of an order among all orders that operators write, starting at one. The order with the
/// highest position takes effect.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct DrainPosition(pub u64);

/// Order to drain a failure domain or to put it back into service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DrainOrder {
    /// Failure domain that the order applies to.
    pub domain: FailureDomain,
    /// Position of the order.
    pub place: DrainPosition,
    /// `true` drains the failure domain, `false` puts it back into service.
    pub drained: bool,
}

/// Snapshot of all orders in force at one position. Earlier orders that are not listed were
/// revoked.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct DrainList {
    /// Highest position that the list covers.
    pub place: DrainPosition,
    /// Orders in force.
    pub orders: Vec<DrainOrder>,
}

/// Update from the platform about drained failure domains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DrainUpdate {
    /// Single order.
    Order(DrainOrder),
    /// Snapshot of all orders in force at one position.
    List(DrainList),
}

/// Anti-entropy message between nodes about drained failure domains.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DrainMessage {
    /// Digest of all orders that the sender knows.
    pub digest: u64,
    /// `true` requests all orders that the receiver knows.
    pub asks: bool,
    /// Highest position up to which the sender knows every order in force.
    pub place: DrainPosition,
    /// Orders that the sender knows.
    pub orders: Vec<DrainOrder>,
}

/// Newest drain order for each failure domain.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{DrainOrder, DrainPosition, Drains, FailureDomain};
///
/// let sur = FailureDomain::new("sur");
/// let order = |place, drained| DrainOrder { domain: sur.clone(), place: DrainPosition(place), drained };
/// let mut drains = Drains::new();
/// assert!(drains.take(&order(7, true)));
/// assert!(drains.is_drained(&sur));
/// assert!(!drains.take(&order(3, false)), "the order is older");
/// assert!(drains.take(&order(9, false)) && !drains.is_drained(&sur));
/// ```
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Drains {
    orders: BTreeMap<FailureDomain, LatestOrder>,
    /// Highest position that a list covered. Unknown orders up to this position were revoked.
    covered: DrainPosition,
}

/// Newest order for one failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LatestOrder {
    place: DrainPosition,
    drained: bool,
}

impl Drains {
    /// Creates a state without orders.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            orders: BTreeMap::new(),
            covered: DrainPosition(0),
        }
    }

    /// Returns `true` if no order was ever received.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// Returns `true` if the failure domain is drained.
    #[must_use]
    pub fn is_drained(&self, domain: &FailureDomain) -> bool {
        self.orders.get(domain).is_some_and(|latest| latest.drained)
    }

    /// Returns `true` if any failure domain is drained.
    #[must_use]
    pub fn any_drained(&self) -> bool {
        self.orders.values().any(|latest| latest.drained)
    }

    /// Applies an order. Returns `true` if the order is newer than the known state of its failure
    /// domain.
    pub fn take(&mut self, order: &DrainOrder) -> bool {
        let known = self.orders.get(&order.domain);
        let known = known.map_or(self.covered, |latest| latest.place.max(self.covered));
        if order.place <= known {
            return false;
        }
        let latest = LatestOrder {
            place: order.place,
            drained: order.drained,
        };
        self.orders.insert(order.domain.clone(), latest);
        true
    }

    /// Applies a snapshot of all orders in force at one position. Returns `true` if the state
    /// changed.
    pub fn take_list(&mut self, list: &DrainList) -> bool {
        let mut changed = false;
        for order in &list.orders {
            changed |= self.take(order);
        }
        self.covered = self.covered.max(list.place);
        let listed = |domain: &FailureDomain| list.orders.iter().any(|o| o.domain == *domain);
        for (domain, latest) in &mut self.orders {
            if latest.drained && latest.place < list.place && !listed(domain) {
                *latest = LatestOrder {
                    place: list.place,
                    drained: false,
                };
                changed = true;
            }
        }
        changed
    }

    /// Merges the orders that another node knows. Returns `true` if the state changed.
    pub fn merge(&mut self, message: &DrainMessage) -> bool {
        let list = DrainList {
            place: message.place,
            orders: message.orders.clone(),
        };
        self.take_list(&list)
    }

    /// Returns a message with all known orders for another node.
    #[must_use]
    pub fn message(&self) -> DrainMessage {
        let orders = self.orders.iter().map(|(domain, latest)| DrainOrder {
            domain: domain.clone(),
            place: latest.place,
            drained: latest.drained,
        });
        DrainMessage {
            digest: self.digest(),
            asks: false,
            place: self.covered,
            orders: orders.collect(),
        }
    }

    /// Returns the digest of all known orders.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        for (domain, latest) in &self.orders {
            hasher.update(domain.0.as_bytes());
            hasher.update(&[0, u8::from(latest.drained)]);
            hasher.update(&latest.place.0.to_le_bytes());
        }
        let [a, b, c, d, e, f, g, h, ..] = *hasher.finalize().as_bytes();
        u64::from_le_bytes([a, b, c, d, e, f, g, h])
    }
}
