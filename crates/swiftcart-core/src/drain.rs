//! Failure domains that operators have drained: their backend servers get nothing.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::FailureDomain;

/// The place of an order among all that operators write, counted from one; a later one counts.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct DrainPosition(pub u64);

/// Tells whether a failure domain is drained.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DrainOrder {
    /// The failure domain.
    pub domain: FailureDomain,
    /// Its place.
    pub place: DrainPosition,
    /// Whether its backend servers get nothing from now on, or requests again.
    pub drained: bool,
}

/// Every order that stands at one place; what it lacks was taken back before.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct DrainList {
    /// The last place that the list covers.
    pub place: DrainPosition,
    /// The orders.
    pub orders: Vec<DrainOrder>,
}

/// What the platform tells of drained failure domains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DrainUpdate {
    /// One order.
    Order(DrainOrder),
    /// Everything that stands at one place.
    List(DrainList),
}

/// What nodes tell each other of drained failure domains.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DrainMessage {
    /// Stands for everything that the sender knows.
    pub digest: u64,
    /// Whether the sender asks for everything that the receiver knows.
    pub asks: bool,
    /// The last place up to which the sender knows every order that stands.
    pub place: DrainPosition,
    /// Orders.
    pub orders: Vec<DrainOrder>,
}

/// Holds the newest order for each failure domain.
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
/// assert!(!drains.take(&order(3, false)), "an order from before");
/// assert!(drains.take(&order(9, false)) && !drains.is_drained(&sur));
/// ```
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Drains {
    orders: BTreeMap<FailureDomain, Standing>,
    /// The last place that a list covered: an order up to there that is not known was taken back.
    covered: DrainPosition,
}

/// The newest order for one failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Standing {
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

    /// Tells whether no order was ever heard of.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// Tells whether the backend servers of a failure domain get nothing.
    #[must_use]
    pub fn is_drained(&self, domain: &FailureDomain) -> bool {
        self.orders
            .get(domain)
            .is_some_and(|standing| standing.drained)
    }

    /// Tells whether any failure domain is drained.
    #[must_use]
    pub fn any_drained(&self) -> bool {
        self.orders.values().any(|standing| standing.drained)
    }

    /// Takes an order; returns whether it is newer than what was known of its failure domain.
    pub fn take(&mut self, order: &DrainOrder) -> bool {
        let known = self.orders.get(&order.domain);
        let known = known.map_or(self.covered, |standing| standing.place.max(self.covered));
        if order.place <= known {
            return false;
        }
        let standing = Standing {
            place: order.place,
            drained: order.drained,
        };
        self.orders.insert(order.domain.clone(), standing);
        true
    }

    /// Takes everything that stands at one place; returns whether anything is new.
    pub fn take_list(&mut self, list: &DrainList) -> bool {
        let mut changed = false;
        for order in &list.orders {
            changed |= self.take(order);
        }
        self.covered = self.covered.max(list.place);
        let listed = |domain: &FailureDomain| list.orders.iter().any(|o| o.domain == *domain);
        for (domain, standing) in &mut self.orders {
            if standing.drained && standing.place < list.place && !listed(domain) {
                *standing = Standing {
                    place: list.place,
                    drained: false,
                };
                changed = true;
            }
        }
        changed
    }

    /// Takes what another node knows; returns whether anything is new.
    pub fn merge(&mut self, message: &DrainMessage) -> bool {
        let list = DrainList {
            place: message.place,
            orders: message.orders.clone(),
        };
        self.take_list(&list)
    }

    /// Returns everything that is known, for another node.
    #[must_use]
    pub fn message(&self) -> DrainMessage {
        let orders = self.orders.iter().map(|(domain, standing)| DrainOrder {
            domain: domain.clone(),
            place: standing.place,
            drained: standing.drained,
        });
        DrainMessage {
            digest: self.digest(),
            asks: false,
            place: self.covered,
            orders: orders.collect(),
        }
    }

    /// Returns what stands for everything that is known.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        for (domain, standing) in &self.orders {
            hasher.update(domain.0.as_bytes());
            hasher.update(&[0, u8::from(standing.drained)]);
            hasher.update(&standing.place.0.to_le_bytes());
        }
        let [a, b, c, d, e, f, g, h, ..] = *hasher.finalize().as_bytes();
        u64::from_le_bytes([a, b, c, d, e, f, g, h])
    }
}
