//! What the parts of one node share: settings, routing view, state and the stop signal.

use std::fmt;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use arc_swap::ArcSwap;
use slog::Logger;
use swiftcart_core::{Backend, Digest, Member, NodeId, Offset, Readiness, Table, Version, View};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::clearing::RolloutGate;
use crate::clock::Clock;
use crate::config::Config;
use crate::counters::Counters;
use crate::egress::Egress;
use crate::faults::Faults;
use crate::logging::CallLog;
use crate::quotas::Quotas;
use crate::registration::{Identity, Registration};
use crate::settings::{Headers, Settings};
use crate::suspects::SharedQuarantine;
use crate::unreached::UnreachedNodes;
use crate::warmup::SharedWarmup;

/// Tells whether a node takes callers' requests, and if not, why.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Phase {
    /// No configuration was read yet.
    #[default]
    NoConfig,
    /// The configuration is older than one that this node may have applied before.
    BelowFloor,
    /// No other node has told yet which members there are.
    NoMembers,
    /// The node takes requests.
    Ready,
    /// The node was asked to stop and still takes the requests of callers that do not know.
    Leaving,
    /// The backend server beside the node gets nothing new. Requests still go to others: the
    /// backend server makes calls for what it is finishing.
    Finishing,
    /// The node finishes what it has.
    Stopping,
}

impl Phase {
    /// Tells how far the node's stop is; 0 before it was asked to.
    const fn stop(self) -> u8 {
        match self {
            Self::NoConfig | Self::BelowFloor | Self::NoMembers | Self::Ready => 0,
            Self::Leaving => 1,
            Self::Finishing => 2,
            Self::Stopping => 3,
        }
    }

    /// Tells whether the node was asked to stop.
    #[must_use]
    pub const fn is_stop(self) -> bool {
        self.stop() > 0
    }
}

/// What the control edge knows of the configuration stream, for operators.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Progress {
    /// The version in force.
    pub version: Version,
    /// The next offset to read.
    pub position: Offset,
    /// The hash of the folded state.
    pub digest: Digest,
    /// The greater rule number at which the reader stalled.
    pub stalled_rule: Option<u16>,
}

/// Everything that the parts of one node share.
///
/// The control edge writes `view`, `progress`, `members` and moves `phase` up to
/// [`Phase::Ready`]; the admin edge writes `backend`; the call path only reads.
pub struct Shared {
    /// The checked settings.
    pub settings: Settings,
    /// The headers of callers and backend servers.
    pub headers: Arc<Headers>,
    /// The node's name, the address of its datagrams.
    pub id: NodeId,
    /// Where events are logged.
    pub logger: Logger,
    /// Where lines about single calls are logged.
    pub call_log: CallLog,
    /// The node's metrics.
    pub counters: Counters,
    /// The immutable routing view; a request loads it once.
    pub view: ArcSwap<View>,
    /// Changes whenever another view is in force.
    pub views: watch::Sender<()>,
    /// The process's clock.
    pub clock: Clock,
    /// The configuration in force, from which `view` was built.
    pub config: ArcSwap<Config>,
    /// The state of the configuration stream.
    pub progress: ArcSwap<Progress>,
    /// Every member that is known, for `/v1/members`.
    pub members: ArcSwap<Vec<Member>>,
    /// Whether the node takes requests.
    pub phase: watch::Sender<Phase>,
    /// The backend server beside this node, while its announcement is valid.
    pub backend: watch::Sender<Option<Backend>>,
    /// The id by which the backend server calls itself, and those of its predecessors.
    pub registration: Mutex<Registration>,
    /// The backend server's pace in thousandths, 0 while it is not known.
    pub pace: AtomicU32,
    /// Requests that the backend server runs.
    pub running: Arc<AtomicU32>,
    /// When the announcement ends unless it is renewed.
    pub expiry: watch::Sender<Option<tokio::time::Instant>>,
    /// The instance's link.
    pub link: Arc<Egress>,
    /// The nodes to which no connection opened lately.
    pub unreached: UnreachedNodes,
    /// The requests that end backend servers.
    pub suspects: SharedQuarantine,
    /// What client accounts have sent through this node.
    pub quotas: Quotas,
    /// What the backend server may be given while its service is rolled out.
    pub clearing: RolloutGate,
    /// Whether the backend server is cold, and what it may be handed then.
    pub warmup: SharedWarmup,
    /// Whether the failure domain is drained, so that the backend server gets nothing.
    pub drained: watch::Sender<bool>,
    /// What this node is cut off from, in builds for failure tests.
    pub faults: Faults,
    /// Cancelled when the node is asked to stop.
    pub stopping: CancellationToken,
    /// When the process started.
    pub started: Instant,
}

impl Phase {
    /// Returns the name used in answers and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoConfig => "no-config",
            Self::BelowFloor => "below-floor",
            Self::NoMembers => "no-members",
            Self::Ready => "ready",
            Self::Leaving => "leaving",
            Self::Finishing => "finishing",
            Self::Stopping => "stopping",
        }
    }
}

impl Shared {
    /// Creates the shared state of a node that has read nothing yet.
    #[must_use]
    pub fn new(settings: Settings, logger: Logger) -> Arc<Self> {
        let id = NodeId(settings.listen.gossip);
        let table = Table::new();
        let view = View::new(Version::NONE, &table, [].into_iter(), id, &settings.domain);
        let clock = Clock::new();
        let link = Egress::new(clock, settings.link.rate());
        let warmup = SharedWarmup::new(clock.now(), settings.cold.bounds());
        Arc::new(Self {
            headers: Arc::new(settings.headers.clone()),
            settings,
            id,
            call_log: CallLog::new(logger.clone()),
            logger,
            counters: Counters::new(),
            view: ArcSwap::from_pointee(view),
            views: watch::Sender::new(()),
            clock,
            link: Arc::new(link),
            config: ArcSwap::default(),
            progress: ArcSwap::default(),
            members: ArcSwap::default(),
            phase: watch::Sender::new(Phase::default()),
            backend: watch::Sender::new(None),
            registration: Mutex::default(),
            pace: AtomicU32::new(0),
            running: Arc::default(),
            expiry: watch::Sender::new(None),
            unreached: UnreachedNodes::default(),
            suspects: SharedQuarantine::default(),
            quotas: Quotas::default(),
            clearing: RolloutGate::default(),
            warmup,
            drained: watch::Sender::new(false),
            faults: Faults::from_env(),
            stopping: CancellationToken::new(),
            started: Instant::now(),
        })
    }

    /// Puts `config` and the `view` built from it in force.
    pub fn adopt(&self, config: Config, view: View) {
        self.config.store(Arc::new(config));
        self.view.store(Arc::new(view));
        self.views.send_replace(());
    }

    /// Locks what is known of the backend server's own id.
    pub fn registration(&self) -> MutexGuard<'_, Registration> {
        self.registration
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that the process `identity` of the backend server said in an answer that it leaves: it is
    /// shown as draining from now on.
    pub fn leaves(&self, identity: Option<&Identity>) {
        if !self.registration().leaves(identity) {
            return;
        }
        self.backend.send_if_modified(|backend| match backend {
            Some(backend) if backend.readiness != Readiness::Draining => {
                backend.readiness = Readiness::Draining;
                true
            }
            _ => false,
        });
    }

    /// Returns how many requests the backend server runs.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// Moves to `phase`; a node that was asked to stop only moves on to its end.
    ///
    /// Returns whether the phase changed.
    pub fn enter(&self, phase: Phase) -> bool {
        self.phase.send_if_modified(|now| match *now {
            old if old == phase || old.stop() > phase.stop() => false,
            _ => {
                *now = phase;
                true
            }
        })
    }
}

impl fmt::Debug for Shared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Shared")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}
