//! Processes that follow the log: the nodes of a fleet, or the pollers of a baseline.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};

use serde_json::json;
use swiftcart_core::Version;
use swiftcart_standin::LogStats;
use tokio::time::sleep;

use super::SERVICES;
use crate::fleet::{Fleet, Role, release_binary};
use crate::{Child, Error, Usage, applied_at};

const DOMAINS: [&str; 3] = ["norte", "sur", "callao"];

/// Timeout for all nodes of a fleet to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Timeout for all followers to apply a version.
const APPLY_TIMEOUT: Duration = Duration::from_secs(30);

/// Node metric that counts the bytes exchanged with other nodes and read from the platform.
const CONTROL_BYTES: &str = "swiftcart_control_bytes_total";

/// Values of the `kind` label to sum.
///
/// For traffic between nodes, only sent bytes are included, so that the sum over all nodes counts
/// each byte once.
const COUNTED_KINDS: [&str; 3] = ["datagrams-sent", "pulls-sent", "platform-read"];

/// Settings of the pollers of a baseline.
pub(super) struct Baseline {
    pub(super) subject: &'static str,
    pub(super) pause_ms: u64,
    pub(super) wait_ms: u64,
}

/// Cumulative traffic and CPU time of a subject at a point in time, with its current memory.
#[derive(Debug, Clone, Copy)]
pub(super) struct UsageSample {
    pub(super) taken_at: Instant,
    pub(super) control_bytes: f64,
    pub(super) payload_bytes: f64,
    pub(super) reads: f64,
    pub(super) cpu: Duration,
    pub(super) rss_kib: u64,
    pub(super) max_kib: u64,
}

/// Set of processes that follow the platform's log.
pub(super) enum Followers {
    Nodes(Box<Fleet>),
    Pollers {
        fleet: Box<Fleet>,
        pollers: Vec<Child>,
    },
}

impl Followers {
    pub(super) async fn start_nodes(size: usize) -> Result<Self, Error> {
        let mut fleet = start_fleet("bench-convergence", size).await?;
        fleet.wait_ready(START_TIMEOUT).await?;
        for i in 0..size {
            let addrs = fleet.instances[i].addrs;
            let announcement = json!({
                "service": SERVICES[i % SERVICES.len()],
                "addr": addrs.backend,
                "slots": 10,
                "connections": 130,
                "readiness": "ready",
                "ttl_ms": 600_000,
            });
            fleet
                .client
                .put(addrs.admin, "/v1/backend", &announcement)
                .await?;
        }
        Ok(Self::Nodes(Box::new(fleet)))
    }

    pub(super) async fn start_pollers(size: usize, baseline: &Baseline) -> Result<Self, Error> {
        let fleet = Box::new(start_fleet("bench-pollers", 0).await?);
        let pollers = (1..=size)
            .map(|i| spawn_poller(&fleet, i, baseline))
            .collect::<Result<_, _>>()?;
        Ok(Self::Pollers { fleet, pollers })
    }

    pub(super) fn fleet(&self) -> &Fleet {
        match self {
            Self::Nodes(fleet) | Self::Pollers { fleet, .. } => fleet,
        }
    }

    pub(super) async fn wait_applied(&mut self, version: Version) -> Result<(), Error> {
        match self {
            Self::Nodes(fleet) => fleet.wait_applied(version, APPLY_TIMEOUT).await.map(drop),
            Self::Pollers { pollers, .. } => {
                let start = Instant::now();
                for poller in pollers {
                    while applied_at(&poller.log()?, version.0).is_none() {
                        poller.check()?;
                        if start.elapsed() > APPLY_TIMEOUT {
                            return Err(Error::Late(
                                format!("version {version}"),
                                "a poller".into(),
                            ));
                        }
                        sleep(Duration::from_millis(50)).await;
                    }
                }
                Ok(())
            }
        }
    }

    pub(super) fn logs(&self) -> Result<Vec<String>, Error> {
        self.children().into_iter().map(Child::log).collect()
    }

    fn children(&self) -> Vec<&Child> {
        match self {
            Self::Nodes(fleet) => {
                let nodes = fleet.instances.iter().filter_map(|i| i.node.as_ref());
                nodes.collect()
            }
            Self::Pollers { pollers, .. } => pollers.iter().collect(),
        }
    }

    pub(super) async fn sample(&self) -> Result<UsageSample, Error> {
        let fleet = self.fleet();
        let stats: LogStats = fleet.client.json(fleet.platform, "/standin/stats").await?;
        let config = stats.streams.get("config").copied().unwrap_or_default();
        let payload_bytes = config.bytes_out as f64;
        let mut sample = UsageSample {
            taken_at: Instant::now(),
            control_bytes: payload_bytes,
            payload_bytes,
            reads: config.reads as f64,
            cpu: Duration::ZERO,
            rss_kib: 0,
            max_kib: 0,
        };
        if let Self::Nodes(fleet) = self {
            sample.control_bytes = control_bytes(fleet).await?;
        }
        for child in self.children() {
            let usage = Usage::of(child.id())?;
            sample.cpu += usage.cpu;
            sample.rss_kib += usage.rss_kib;
            sample.max_kib = sample.max_kib.max(usage.rss_kib);
        }
        Ok(sample)
    }
}

/// Returns the number of bytes that all nodes have sent to other nodes and read from the platform.
async fn control_bytes(fleet: &Fleet) -> Result<f64, Error> {
    let mut sum = 0.0;
    for i in fleet.running() {
        let scrape = fleet.scrape(i).await?;
        let kinds = COUNTED_KINDS.map(|kind| scrape.sum(CONTROL_BYTES, &[("kind", kind)]));
        let bytes: f64 = kinds.iter().sum();
        if bytes == 0.0 {
            let admin = fleet.instances[i].addrs.admin;
            let cause = format!("the metric {CONTROL_BYTES} is missing or zero");
            return Err(Error::Http(admin, "/metrics".to_owned(), cause));
        }
        sum += bytes;
    }
    Ok(sum)
}

/// Starts a platform and `size` nodes, distributed evenly over the failure domains.
async fn start_fleet(name: &str, size: usize) -> Result<Fleet, Error> {
    let role = |i: usize| Role {
        domain: DOMAINS[i % DOMAINS.len()].to_owned(),
        backend: None,
    };
    let roles = (0..size).map(role).collect();
    Fleet::start(name, &json!({}), roles, json!({})).await
}

fn spawn_poller(fleet: &Fleet, i: usize, baseline: &Baseline) -> Result<Child, Error> {
    let mut command = Command::new(current_program());
    command
        .arg("poller")
        .args(poller_args(fleet.platform, baseline));
    Child::spawn(&format!("{i:03}-poller"), fleet.dir(), command)
}

fn poller_args(platform: SocketAddr, baseline: &Baseline) -> [String; 3] {
    let pause = baseline.pause_ms.to_string();
    let wait = baseline.wait_ms.to_string();
    [platform.to_string(), pause, wait]
}

fn current_program() -> PathBuf {
    std::env::current_exe().unwrap_or_else(|_| release_binary("xtask"))
}
