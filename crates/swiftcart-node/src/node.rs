//! Start and graceful shutdown of one node.

use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quick_error::quick_error;
use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::calls::Calls;
use crate::control::ControlError;
use crate::edge::PlatformAdapters;
use crate::logging::Event;
use crate::settings::Settings;
use crate::shared::{Phase, Shared};
use crate::{admin, control};

/// Interval between two maintenance runs of the metrics recorder.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(2);

/// Time before the end of `stop.linger_ms` at which the node announces to the others that it
/// leaves.
///
/// The other nodes have then stopped sending requests when the linger time ends. Gossip reaches all
/// of some hundred nodes in about four rounds of 100 ms.
const LEAVE_LEAD_TIME: Duration = Duration::from_millis(400);

quick_error! {
    /// Error that prevents the start of a node.
    #[derive(Debug)]
    pub enum NodeError {
        /// The control loop cannot start.
        Control(err: ControlError) {
            from()
            source(err)
            display("{err}")
        }
        /// A listener cannot be opened.
        Listen(path: &'static str, addr: SocketAddr, err: io::Error) {
            source(err)
            display("{path}: cannot listen on {addr}: {err}: free the port or choose another")
        }
    }
}

/// Running node with its listeners and background tasks.
#[derive(Debug)]
pub struct Node {
    shared: Arc<Shared>,
    calls: Calls,
    background: Vec<JoinHandle<()>>,
}

impl Node {
    /// Opens the listeners and starts the background tasks of a node that follows the platform's
    /// log.
    ///
    /// # Errors
    ///
    /// Returns the first listener that cannot be opened.
    pub async fn start(settings: Settings, logger: Logger) -> Result<Self, NodeError> {
        Self::start_with(settings, PlatformAdapters::new(), logger).await
    }

    /// Opens the listeners and starts the background tasks, with `adapters` for the platform.
    ///
    /// # Errors
    ///
    /// Returns the first listener that cannot be opened.
    pub async fn start_with(
        settings: Settings,
        adapters: PlatformAdapters,
        logger: Logger,
    ) -> Result<Self, NodeError> {
        let listen = settings.listen.clone();
        let mut admin = vec![bind("listen.admin", listen.admin).await?];
        for addr in &listen.also {
            admin.push(bind("listen.also", *addr).await?);
        }
        let callers = bind("listen.calls", listen.calls).await?;
        let peers = bind("listen.peer", listen.peer).await?;
        let shared = Shared::new(settings, logger);
        let control = control::open(Arc::clone(&shared), adapters).await?;
        let calls = Calls::start(&shared, callers, peers);
        let background = vec![
            tokio::spawn(admin::run(Arc::clone(&shared), admin)),
            tokio::spawn(control.run()),
            tokio::spawn(upkeep(Arc::clone(&shared))),
        ];
        info!(shared.logger, ""; "event" => Event::Started, "id" => %shared.id,
            "calls" => %listen.calls, "release" => env!("CARGO_PKG_VERSION"));
        Ok(Self {
            shared,
            calls,
            background,
        })
    }

    /// Returns the state that the parts of the node share.
    #[must_use]
    pub const fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Shuts the node down gracefully.
    ///
    /// The node leaves the mesh, refuses new requests and completes the requests in flight. The
    /// shutdown takes as long as these requests, unless `stop.grace_ms` or `stop.kill_s` limits it.
    pub async fn stop(self) {
        let stop = self.shared.settings.stop;
        info!(self.shared.logger, ""; "event" => Event::Stopping);
        self.shared.enter(Phase::Leaving);
        let grace = async {
            match stop.grace() {
                Some(grace) => sleep(grace).await,
                None => pending().await,
            }
        };
        let shared = Arc::clone(&self.shared);
        let finish = async {
            let lingers = !stop.linger().is_zero();
            // The backend server still works, so the node leaves the mesh only after this wait.
            let lead_time = LEAVE_LEAD_TIME.min(stop.linger());
            sleep(stop.linger() - lead_time).await;
            shared.stopping.cancel();
            sleep(lead_time).await;
            if lingers {
                shared.enter(Phase::Finishing);
                sleep(stop.notice()).await;
            }
            shared.enter(Phase::Stopping);
            // Callers had the linger time to notice the shutdown.
            let notice = if lingers {
                Duration::ZERO
            } else {
                stop.notice()
            };
            self.calls.finish(notice).await;
        };
        tokio::select! {
            () = finish => {}
            () = grace => warn!(self.shared.logger, ""; "event" => Event::Killed),
        }
        for task in self.background {
            task.abort();
        }
        info!(self.shared.logger, ""; "event" => Event::Stopped);
    }
}

async fn bind(path: &'static str, addr: SocketAddr) -> Result<TcpListener, NodeError> {
    let listener = TcpListener::bind(addr).await;
    listener.map_err(|err| NodeError::Listen(path, addr, err))
}

async fn upkeep(shared: Arc<Shared>) {
    let mut ticks = interval(UPKEEP_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        shared.counters.upkeep();
    }
}
