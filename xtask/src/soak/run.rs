//! One run: a mesh, callers, faults, and what held.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::{Value, json};
use swiftcart_core::Version;
use swiftcart_standin::{BackendFaults, Load, LogFaults, Restart, Shape};
use tokio::time::{Instant, sleep, sleep_until};

use super::{Fault, Proxy, Step, Wire, draw};
use crate::demo::failures::{Run, join, start};
use crate::demo::figures::Figures;
use crate::demo::{audit, calls, publishing};
use crate::fleet::Fleet;
use crate::{Error, Kind, Mesh};

/// How long callers call, in milliseconds: past the end of the last fault.
const SPAN_MS: u64 = 10_000;
/// Calls a second of every kind, far below what the mesh carries.
const RATE: f64 = 120.0;
/// Bookings a second without a key, which may run at most once.
const SINGLE_RATE: f64 = 20.0;
/// How long callers wait, in milliseconds.
const DEADLINE_MS: u64 = 2000;
/// Calls a second and their time once all faults are over.
const AFTER_RATE: f64 = 100.0;
const AFTER_MS: u64 = 1500;
/// Longest time for the mesh to start, and to be whole again after the faults.
const START: Duration = Duration::from_secs(30);
/// The time in which ejected backend servers are taken back.
const CALM: Duration = Duration::from_secs(4);
/// Time between two looks at the versions in force.
const LOOK: Duration = Duration::from_millis(100);

/// What one seed brought.
pub(super) struct Ended {
    pub(super) faults: usize,
    pub(super) calls: u64,
    pub(super) broken: Vec<String>,
    pub(super) logs: PathBuf,
}

/// The mesh of one run with the proxies around it.
struct Soak {
    fleet: Fleet,
    platform: Proxy,
    /// In front of each node's address for callers.
    callers: Vec<Proxy>,
    /// The greatest version that each node has shown since its start.
    seen: BTreeMap<usize, Version>,
    figures: Figures,
}

/// When a step begins or ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Edge {
    End,
    Begin,
}

/// Plays one seed.
pub(super) async fn seed(seed: u64) -> Result<Ended, Error> {
    let mesh = Mesh::LIMA;
    let steps = draw(seed, mesh.instances());
    let mut soak = Soak::start(&mesh, seed).await?;
    let (mixed, single) = soak.call(&mesh, seed);
    soak.play(&steps).await?;
    let (mixed, single) = (join(mixed).await?, join(single).await?);
    soak.recover(&mesh, seed).await?;
    let ledger = audit::ledger(&soak.fleet).await?;
    audit::check(&mut soak.figures, &[&mixed, &single], &ledger);
    audit::check_keys(&mut soak.figures, &ledger);
    audit::check_once(&mut soak.figures, &single, &ledger);
    audit::check_notices(&mut soak.figures, &soak.fleet).await?;
    Ok(Ended {
        faults: steps.len(),
        calls: mixed.offered + single.offered,
        broken: soak.figures.broken().map(str::to_owned).collect(),
        logs: soak.fleet.dir().to_owned(),
    })
}

impl Soak {
    async fn start(mesh: &Mesh, seed: u64) -> Result<Self, Error> {
        let platform = Proxy::open().await?;
        let settings = json!({ "platform": { "addr": platform.addr() } });
        let name = format!("soak-{seed}");
        let roles = calls::roles(mesh);
        let mut fleet = Fleet::start(&name, &json!({}), roles, settings).await?;
        platform.aim(fleet.platform);
        let mut figures = Figures::default();
        publishing::first(mesh, &mut fleet, &mut figures).await?;
        for kind in [Kind::Read, Kind::Keyed, Kind::Upload] {
            fleet.wait_served(mesh.service(kind).prefix, START).await?;
        }
        let mut callers = Vec::new();
        for instance in &fleet.instances {
            let proxy = Proxy::open().await?;
            proxy.aim(instance.addrs.calls);
            callers.push(proxy);
        }
        Ok(Self {
            fleet,
            platform,
            callers,
            seen: BTreeMap::new(),
            figures,
        })
    }

    /// Starts the callers: calls of every kind, and bookings that may run at most once.
    fn call(&self, mesh: &Mesh, seed: u64) -> (Run, Run) {
        let targets = || self.callers.iter().map(Proxy::addr).collect();
        let mixed = calls::mixed(mesh, targets(), RATE, SPAN_MS, seed);
        let single = calls::load(targets(), SINGLE_RATE, SPAN_MS, !seed);
        let post = Shape::post(mesh.service(Kind::Keyed).prefix);
        let bounded = |load: Load| {
            load.with_deadline_ms(DEADLINE_MS)
                .with_timeout_ms(DEADLINE_MS)
        };
        (
            start(bounded(mixed)),
            start(bounded(single.with_shape(post, 1))),
        )
    }

    async fn play(&mut self, steps: &[Step]) -> Result<(), Error> {
        let start = Instant::now();
        let begins = steps.iter().map(|step| (step.from_ms, Edge::Begin, step));
        let ends = steps.iter().map(|step| (step.until_ms, Edge::End, step));
        let mut edges: Vec<_> = begins.chain(ends).collect();
        edges.sort_by_key(|(at_ms, edge, _)| (*at_ms, *edge));
        for (at_ms, edge, step) in edges {
            let at = start + Duration::from_millis(at_ms);
            while Instant::now() + LOOK < at {
                sleep(LOOK).await;
                self.look().await;
            }
            sleep_until(at).await;
            println!("    {at_ms:>5} ms {edge:?} {:?}", step.fault);
            match edge {
                Edge::Begin => self.begin(&step.fault).await?,
                Edge::End => self.end(&step.fault).await?,
            }
        }
        Ok(())
    }

    async fn begin(&mut self, fault: &Fault) -> Result<(), Error> {
        match fault {
            Fault::Kill(i) => {
                if let Some(mut node) = self.fleet.instances[*i].node.take() {
                    node.kill();
                }
            }
            Fault::Stop(i) => {
                if let Some(node) = &mut self.fleet.instances[*i].node {
                    node.terminate()?;
                }
            }
            Fault::Pause(i) => {
                if let Some(node) = &mut self.fleet.instances[*i].node {
                    node.pause()?;
                }
            }
            Fault::Log(faults) => self.put_log(faults).await?,
            Fault::Backend(i, faults) => self.put_backend(*i, faults).await?,
            Fault::Platform(wire) => self.platform.set(*wire),
            Fault::Callers(i, wire) => self.callers[*i].set(*wire),
        }
        Ok(())
    }

    async fn end(&mut self, fault: &Fault) -> Result<(), Error> {
        match fault {
            Fault::Kill(i) | Fault::Stop(i) => self.restart(*i)?,
            Fault::Pause(i) => {
                if let Some(node) = &mut self.fleet.instances[*i].node {
                    node.resume()?;
                }
            }
            Fault::Log(_) => self.put_log(&LogFaults::new()).await?,
            Fault::Backend(i, faults) => {
                let calm = BackendFaults::new();
                // Who has said that it leaves comes back as another process.
                let calm = match faults.leaving {
                    true => calm.with_restart(Restart::Later),
                    false => calm,
                };
                self.put_backend(*i, &calm).await?;
            }
            Fault::Platform(_) => self.platform.set(Wire::Open),
            Fault::Callers(i, _) => self.callers[*i].set(Wire::Open),
        }
        Ok(())
    }

    /// Starts a node again when it is gone; one that still finishes its work stays.
    fn restart(&mut self, i: usize) -> Result<(), Error> {
        let node = &mut self.fleet.instances[i].node;
        let gone = match node {
            Some(child) => child.ended()?.is_some(),
            None => true,
        };
        if gone {
            self.seen.remove(&i);
            self.fleet.start_node(i)?;
        }
        Ok(())
    }

    /// Looks at the versions in force; a node that does not answer is looked at later.
    async fn look(&mut self) {
        for i in self.fleet.running() {
            let Ok(state) = self.fleet.state(i).await else {
                continue;
            };
            let seen = self.seen.entry(i).or_insert(state.version);
            if state.version < *seen {
                let told = format!("{} after {seen} on instance {i}", state.version);
                let guarantee = "no node moves back to an older version";
                self.figures.guarantee(guarantee, told, false);
            }
            *seen = state.version.max(*seen);
        }
    }

    /// Waits until every node runs and is ready, and checks that everything is served again.
    async fn recover(&mut self, mesh: &Mesh, seed: u64) -> Result<(), Error> {
        let end = Instant::now() + START;
        for i in 0..self.fleet.instances.len() {
            while self.is_leaving(i).await && Instant::now() < end {
                sleep(LOOK).await;
            }
            self.restart(i)?;
        }
        self.fleet.wait_ready(START).await?;
        sleep(CALM).await;
        let targets = self.callers.iter().map(Proxy::addr).collect();
        // Ids follow from the seed; those of the calls before are not used again.
        let seed = seed.rotate_left(u64::BITS / 2);
        let load = calls::mixed(mesh, targets, AFTER_RATE, AFTER_MS, seed);
        let report = load.run().await?;
        for told in report.told.iter().filter(|told| told.verdict != "good") {
            println!("    not served afterwards: {told:?}");
        }
        let what = "everything is served once the faults are over";
        audit::check_all_good(&mut self.figures, what, &report);
        Ok(())
    }

    /// Tells whether a node was asked to stop and has not ended yet.
    async fn is_leaving(&mut self, i: usize) -> bool {
        let ended = match &mut self.fleet.instances[i].node {
            Some(child) => matches!(child.ended(), Ok(Some(_))),
            None => true,
        };
        let ready = self.fleet.state(i).await.is_ok_and(|state| state.ready);
        !ended && !ready
    }

    async fn put_log(&self, faults: &LogFaults) -> Result<(), Error> {
        self.put(self.fleet.platform, &json!(faults)).await
    }

    async fn put_backend(&self, i: usize, faults: &BackendFaults) -> Result<(), Error> {
        let addr = self.fleet.instances[i].addrs.backend;
        self.put(addr, &json!(faults)).await
    }

    async fn put(&self, addr: std::net::SocketAddr, faults: &Value) -> Result<(), Error> {
        self.fleet.client.put(addr, "/standin/faults", faults).await
    }
}
