//! The processes that follow the log: nodes, or the pollers of a baseline.

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

/// Longest time for a fleet to start and for one publish to be in force everywhere.
const START: Duration = Duration::from_secs(60);
const SPREAD: Duration = Duration::from_secs(30);

/// The node's counter of bytes between nodes and from the platform.
const CONTROL_BYTES: &str = "swiftcart_control_bytes_total";

/// Its kinds that are each counted once over all nodes.
const SENT: [&str; 3] = ["datagrams-sent", "pulls-sent", "platform-read"];

/// One kind of baseline.
pub(super) struct Baseline {
    pub(super) subject: &'static str,
    pub(super) gap_ms: u64,
    pub(super) wait_ms: u64,
}

/// What the subject has used up to a point in time.
#[derive(Debug, Clone, Copy)]
pub(super) struct Mark {
    pub(super) at: Instant,
    pub(super) control: f64,
    pub(super) payload: f64,
    pub(super) reads: f64,
    pub(super) cpu: Duration,
    pub(super) rss_kib: u64,
    pub(super) most_kib: u64,
}

/// A set of processes that follow the platform's log.
pub(super) enum Followers {
    Nodes(Box<Fleet>),
    Pollers {
        fleet: Box<Fleet>,
        pollers: Vec<Child>,
    },
}

impl Followers {
    pub(super) async fn nodes(size: usize) -> Result<Self, Error> {
        let mut fleet = fleet("bench-convergence", size).await?;
        fleet.wait_ready(START).await?;
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

    pub(super) async fn pollers(size: usize, baseline: &Baseline) -> Result<Self, Error> {
        let fleet = Box::new(fleet("bench-pollers", 0).await?);
        let pollers = (1..=size)
            .map(|i| poller(&fleet, i, baseline))
            .collect::<Result<_, _>>()?;
        Ok(Self::Pollers { fleet, pollers })
    }

    pub(super) fn fleet(&self) -> &Fleet {
        match self {
            Self::Nodes(fleet) | Self::Pollers { fleet, .. } => fleet,
        }
    }

    pub(super) async fn wait(&mut self, version: Version) -> Result<(), Error> {
        match self {
            Self::Nodes(fleet) => fleet.wait_applied(version, SPREAD).await.map(drop),
            Self::Pollers { pollers, .. } => {
                let start = Instant::now();
                for poller in pollers {
                    while applied_at(&poller.log()?, version.0).is_none() {
                        poller.check()?;
                        if start.elapsed() > SPREAD {
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

    pub(super) async fn mark(&self) -> Result<Mark, Error> {
        let fleet = self.fleet();
        let stats: LogStats = fleet.client.json(fleet.platform, "/standin/stats").await?;
        let config = stats.streams.get("config").copied().unwrap_or_default();
        let payload = config.bytes_out as f64;
        let mut mark = Mark {
            at: Instant::now(),
            control: payload,
            payload,
            reads: config.reads as f64,
            cpu: Duration::ZERO,
            rss_kib: 0,
            most_kib: 0,
        };
        if let Self::Nodes(fleet) = self {
            mark.control = control_bytes(fleet).await?;
        }
        for child in self.children() {
            let usage = Usage::of(child.id())?;
            mark.cpu += usage.cpu;
            mark.rss_kib += usage.rss_kib;
            mark.most_kib = mark.most_kib.max(usage.rss_kib);
        }
        Ok(mark)
    }
}

/// Returns the bytes that all nodes have sent each other and read from the platform.
async fn control_bytes(fleet: &Fleet) -> Result<f64, Error> {
    let mut sum = 0.0;
    for i in fleet.running() {
        let scrape = fleet.scrape(i).await?;
        let kinds = SENT.map(|kind| scrape.sum(CONTROL_BYTES, &[("kind", kind)]));
        let bytes: f64 = kinds.iter().sum();
        if bytes == 0.0 {
            let admin = fleet.instances[i].addrs.admin;
            let cause = format!("no {CONTROL_BYTES}");
            return Err(Error::Http(admin, "/metrics".to_owned(), cause));
        }
        sum += bytes;
    }
    Ok(sum)
}

/// Starts a platform and `size` nodes, spread over the failure domains.
async fn fleet(name: &str, size: usize) -> Result<Fleet, Error> {
    let role = |i: usize| Role {
        domain: DOMAINS[i % DOMAINS.len()].to_owned(),
        backend: None,
    };
    let roles = (0..size).map(role).collect();
    Fleet::start(name, &json!({}), roles, json!({})).await
}

fn poller(fleet: &Fleet, i: usize, baseline: &Baseline) -> Result<Child, Error> {
    let mut command = Command::new(own_program());
    command.arg("poller").args(words(fleet.platform, baseline));
    Child::spawn(&format!("{i:03}-poller"), fleet.dir(), command)
}

fn words(platform: SocketAddr, baseline: &Baseline) -> [String; 3] {
    let gap = baseline.gap_ms.to_string();
    let wait = baseline.wait_ms.to_string();
    [platform.to_string(), gap, wait]
}

fn own_program() -> PathBuf {
    std::env::current_exe().unwrap_or_else(|_| release_binary("xtask"))
}
