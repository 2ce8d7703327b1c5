//! Connection pools to other nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

use tokio::time::Instant;

use super::pool::Pool;
use crate::settings::Limits;

/// Connection pools of the nodes that recently received requests.
#[derive(Debug)]
pub struct Peers {
    limits: Limits,
    pools: RwLock<HashMap<SocketAddr, Arc<Pool>>>,
}

impl Peers {
    /// Creates a collection without pools.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            pools: RwLock::default(),
        }
    }

    /// Returns the connection pool of the node at `addr`, and creates it if necessary.
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

    /// Closes idle connections and drops the unused pools that have none left.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut pools = self.pools.write().unwrap_or_else(PoisonError::into_inner);
        pools.retain(|_, pool| !pool.sweep(now) || Arc::strong_count(pool) > 1);
    }

    fn open(&self, addr: SocketAddr) -> Arc<Pool> {
        let limits = &self.limits;
        let bound = limits.connections as usize;
        let pool = Pool::new(addr, bound, limits.peer_idle(), limits.connect_timeout());
        Arc::new(pool.with_max_idle(limits.idle_connections as usize))
    }
}
