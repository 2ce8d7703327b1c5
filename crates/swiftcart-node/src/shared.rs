//! State that the parts of one node share: settings, routing view, metrics and the stop signal.

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
use crate::departures::Departures;
use crate::egress::Egress;
use crate::faults::Faults;
use crate::logging::{CallLog, unix_ms};
use crate::nested::SharedRunningRequests;
use crate::quotas::Quotas;
use crate::registration::{Identity, Registration};
use crate::settings::{Headers, Settings};
use crate::suspects::SharedQuarantine;
use crate::unreached::UnreachedNodes;
use crate::warmup::SharedWarmup;

/// Lifecycle phase of a node, which decides whether it accepts requests of callers.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Phase {
    /// No configuration has been read yet.
    #[default]
    NoConfig,
    /// The configuration is older than one that this node may have applied before a restart.
    BelowFloor,
    /// No other node has sent the list of members yet.
    NoMembers,
    /// The node accepts requests.
    Ready,
    /// The node is shutting down and still accepts requests of callers that have not noticed it.
    Leaving,
    /// The local backend server gets no new requests. Requests still go to other backend servers,
    /// since the local one makes calls for the requests that it is finishing.
    Finishing,
    /// The node only completes the requests in flight.
    Stopping,
}

impl Phase {
    /// Returns the step of the shutdown, 0 before it begins.
    const fn stop(self) -> u8 {
        match self {
            Self::NoConfig | Self::BelowFloor | Self::NoMembers | Self::Ready => 0,
            Self::Leaving => 1,
            Self::Finishing => 2,
            Self::Stopping => 3,
        }
    }

    /// Returns `true` if the node is shutting down.
    #[must_use]
    pub const fn is_stop(self) -> bool {
        self.stop() > 0
    }
}

/// Progress in the configuration stream, for operators.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Progress {
    /// Active version of the configuration.
    pub version: Version,
    /// Next offset to read.
    pub position: Offset,
    /// Hash of the state built from the records up to this offset.
    pub digest: Digest,
    /// Unsupported rule number at which the reader stopped.
    pub stalled_rule: Option<u16>,
}

/// Shared state of the parts of one node.
///
/// The control loop writes `view`, `progress`, `members` and moves `phase` up to
/// [`Phase::Ready`]. The admin listener writes `backend`. The call path only reads these fields.
pub struct Shared {
    /// Validated settings.
    pub settings: Settings,
    /// Header names of callers and backend servers.
    pub headers: Arc<Headers>,
    /// Id of the node, which is its gossip address.
    pub id: NodeId,
    /// Logger for events.
    pub logger: Logger,
    /// Rate-limited log for lines about single calls.
    pub call_log: CallLog,
    /// Metrics of the node.
    pub counters: Counters,
    /// Immutable routing view, which each request loads once.
    pub view: ArcSwap<View>,
    /// Channel that signals each change of the view.
    pub views: watch::Sender<()>,
    /// Clock of the process.
    pub clock: Clock,
    /// Active configuration, from which `view` was built.
    pub config: ArcSwap<Config>,
    /// Progress in the configuration stream.
    pub progress: ArcSwap<Progress>,
    /// All known members, for `/v1/members`.
    pub members: ArcSwap<Vec<Member>>,
    /// Current phase of the node.
    pub phase: watch::Sender<Phase>,
    /// Local backend server, while its announcement is valid.
    pub backend: watch::Sender<Option<Backend>>,
    /// Identity of the local backend server and of its predecessors.
    pub registration: Mutex<Registration>,
    /// Departures of the backend server that outlive this process.
    pub departures: Departures,
    /// Pace of the backend server in thousandths, or 0 while it is not known.
    pub pace: AtomicU32,
    /// Number of requests that the backend server is processing.
    pub running: Arc<AtomicU32>,
    /// Expiry time of the announcement, unless it is renewed.
    pub expiry: watch::Sender<Option<tokio::time::Instant>>,
    /// Egress link of the instance.
    pub link: Arc<Egress>,
    /// Nodes to which a recent connection attempt failed.
    pub unreached: UnreachedNodes,
    /// Quarantine of requests that crash backend servers.
    pub suspects: SharedQuarantine,
    /// Quota meter of the client accounts that send requests through this node.
    pub quotas: Quotas,
    /// Running requests of the backend server, from which its nested calls get their rank.
    pub running_requests: Arc<SharedRunningRequests>,
    /// Admission state of the backend server during a roll-out of its service.
    pub clearing: RolloutGate,
    /// Warm-up state of the backend server and its limits while it is cold.
    pub warmup: SharedWarmup,
    /// Set while the failure domain is drained. The backend server then gets no requests.
    pub drained: watch::Sender<bool>,
    /// Simulated network partitions, in builds for failure tests.
    pub faults: Faults,
    /// Token that is cancelled shortly before the linger time of the shutdown ends.
    pub stopping: CancellationToken,
    /// Start time of the process.
    pub started: Instant,
}

impl Phase {
    /// Returns the name used in responses and logs.
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
    /// Creates the initial state of a node.
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
            departures: Departures::default(),
            pace: AtomicU32::new(0),
            running: Arc::default(),
            expiry: watch::Sender::new(None),
            unreached: UnreachedNodes::default(),
            suspects: SharedQuarantine::default(),
            quotas: Quotas::default(),
            running_requests: Arc::default(),
            clearing: RolloutGate::default(),
            warmup,
            drained: watch::Sender::new(false),
            faults: Faults::from_env(),
            stopping: CancellationToken::new(),
            started: Instant::now(),
        })
    }

    /// Activates `config` and the `view` built from it.
    pub fn adopt(&self, config: Config, view: View) {
        self.config.store(Arc::new(config));
        self.view.store(Arc::new(view));
        self.views.send_replace(());
    }

    /// Locks the registration of the local backend server.
    pub fn registration(&self) -> MutexGuard<'_, Registration> {
        self.registration
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes the departures of the backend server known to the parts that remember them. Returns
    /// `true` if there are new ones.
    pub fn publish_departures(&self) -> bool {
        let now = self.clock.now();
        let departures = self.registration().departures(now, unix_ms());
        self.departures.set(departures)
    }

    /// Records that the process `identity` has signalled in a response that it is leaving.
    ///
    /// If it is the current process, the backend server is published as draining from now on.
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

    /// Returns the number of requests that the backend server is processing.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// Changes to `phase`, unless this would undo a step of the shutdown.
    ///
    /// Returns `true` if the phase changed.
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
