//! The call path: from a caller through ingress and guard to a backend server and back.

mod admissions;
mod answer;
mod body;
mod conn;
mod exchange;
mod guard;
mod headers;
mod in_flight;
mod ingress;
mod keyed;
mod notices;
mod origin;
mod pacing;
mod peers;
mod pipelining;
mod pool;
mod request;
mod rng;
mod runs;
mod serve;
mod service;
mod socket;
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

/// Time between two sweeps for unused connections.
const SWEEP: Duration = Duration::from_secs(1);

/// The running call path of a node.
#[derive(Debug)]
pub struct Calls {
    callers: Server,
    peers: Server,
    guard: Arc<Guard>,
    background: Vec<JoinHandle<()>>,
}

impl Calls {
    /// Starts to serve callers and peers.
    #[must_use]
    pub fn start(shared: &Arc<Shared>, callers: TcpListener, peers: TcpListener) -> Self {
        let limits = &shared.settings.limits;
        let guard = Arc::new(Guard::new(shared));
        let ingress = Arc::new(Ingress::new(shared, &guard));
        let for_peers = Server::new(shared, limits.header_timeout().max(limits.peer_idle() * 2));
        let guarding = GuardService::new(shared, &guard);
        let accepting = IngressService::new(shared, &ingress);
        let for_callers =
            Server::new(shared, limits.header_timeout()).with_starter(accepting.starter());
        let kept = Arc::clone(&guard);
        let background = vec![
            tokio::spawn(for_callers.clone().run(callers, accepting)),
            tokio::spawn(for_peers.clone().run(peers, guarding)),
            tokio::spawn(sweep(Arc::clone(&ingress), Arc::clone(&guard))),
            tokio::spawn(async move { ingress.follow().await }),
            tokio::spawn(async move { guard.follow().await }),
        ];
        Self {
            callers: for_callers,
            peers: for_peers,
            guard: kept,
            background,
        }
    }

    /// Finishes every request in flight, however long it takes.
    ///
    /// The node's phase says by then that it is stopping, so that new requests are refused;
    /// for `notice` they are, and then nothing listens any more.
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
    let mut ticks = interval(SWEEP);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        ingress.sweep();
        guard.sweep();
    }
}
