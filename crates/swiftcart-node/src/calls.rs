//! The request path from a caller through ingress and guard to a backend server and back.

mod admissions;
mod answer;
mod body;
mod conn;
mod exchange;
mod guard;
mod headers;
mod in_flight;
mod ingress;
mod joined;
mod keyed;
mod lifetime;
mod notices;
mod origin;
mod pacing;
mod peers;
mod pipelining;
mod pool;
mod refusal;
mod request;
mod rng;
mod runs;
mod serve;
mod service;
mod socket;
mod stated_load;
mod terms;
mod upstream;
mod verdict;

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval, sleep};

pub(crate) use rng::with_rng;

use crate::shared::Shared;
use guard::Guard;
use ingress::Ingress;
use serve::Server;
use service::{GuardService, IngressService};

/// Interval between sweeps that close idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Running request path of a node: its listeners, guard and background tasks.
#[derive(Debug)]
pub struct Calls {
    callers: Server,
    peers: Server,
    guard: Arc<Guard>,
    background: Vec<JoinHandle<()>>,
}

impl Calls {
    /// Starts serving callers and peer nodes.
    #[must_use]
    pub fn start(shared: &Arc<Shared>, callers: TcpListener, peers: TcpListener) -> Self {
        let limits = &shared.settings.limits;
        let guard = Arc::new(Guard::new(shared));
        let ingress = Arc::new(Ingress::new(shared, &guard));
        let peer_server = Server::new(shared, limits.header_timeout().max(limits.peer_idle() * 2))
            .with_node_headers();
        let guard_service = GuardService::new(shared, &guard);
        let ingress_service = IngressService::new(shared, &ingress);
        let caller_server =
            Server::new(shared, limits.header_timeout()).with_starter(ingress_service.starter());
        let kept = Arc::clone(&guard);
        let background = vec![
            tokio::spawn(caller_server.clone().run(callers, ingress_service)),
            tokio::spawn(peer_server.clone().run(peers, guard_service)),
            tokio::spawn(sweep(Arc::clone(&ingress), Arc::clone(&guard))),
            tokio::spawn(async move { ingress.follow().await }),
            tokio::spawn(async move { guard.follow().await }),
        ];
        Self {
            callers: caller_server,
            peers: peer_server,
            guard: kept,
            background,
        }
    }

    /// Waits until every request in flight has finished, without a time limit.
    ///
    /// The node's phase must be stopping already, so that new requests are refused. The listeners
    /// stay open for `notice` to send these refusals, and close afterwards.
    pub async fn finish(self, notice: Duration) {
        sleep(notice).await;
        tokio::join!(self.callers.finish(), self.peers.finish());
        self.guard.finish().await;
        for task in self.background {
            task.abort();
        }
    }
}

async fn sweep(ingress: Arc<Ingress>, guard: Arc<Guard>) {
    let mut ticks = interval(SWEEP_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        ingress.sweep();
        guard.sweep();
    }
}
