//! Connections to the other nodes, one pool for each.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

use tokio::time::Instant;

use super::pool::Pool;
use crate::settings::Limits;

/// Holds a pool of connections to each node that a request went to lately.
#[derive(Debug)]
pub struct Peers {
    limits: Limits,
    pools: RwLock<HashMap<SocketAddr, Arc<Pool>>>,
}

impl Peers {
    /// Creates an empty collection.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            pools: RwLock::default(),
        }
    }

    /// Returns the connections to the node at `addr`.
    #[must_use]
    pub fn pool(&self, addr: SocketAddr) -> Arc<Pool> {
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(pool) = pools.get(&addr) {
            return Arc::clone(pool);
        }
        drop(pools);
        let mut pools = self.pools.write().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(pools.entry(addr).or_insert_with(|| self.open(addr)))
    }

    /// Closes unused connections and forgets the nodes that none is left to.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut pools = self.pools.write().unwrap_or_else(PoisonError::into_inner);
        pools.retain(|_, pool| !pool.sweep(now) || Arc::strong_count(pool) > 1);
    }

    fn open(&self, addr: SocketAddr) -> Arc<Pool> {
        let limits = &self.limits;
        let bound = limits.connections as usize;
        let pool = Pool::new(addr, bound, limits.peer_idle(), limits.connect_timeout());
        Arc::new(pool.with_kept(limits.idle_connections as usize))
    }
}
