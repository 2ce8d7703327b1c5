//! Single run of a seed: mesh, load, fault injection and invariant checks.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::{Value, json};
use swiftcart_core::Version;
use swiftcart_standin::{BackendFaults, Load, LogFaults, Restart, Shape};
use tokio::time::{Instant, sleep, sleep_until};

use super::{Fault, Proxy, ScheduledFault, TrafficMode, draw_faults};
use crate::demo::failures::{Run, join, start};
use crate::demo::figures::Figures;
use crate::demo::{audit, calls, publishing};
use crate::fleet::Fleet;
use crate::{Error, Kind, Mesh};

/// Duration of the load, in milliseconds; it outlasts the last fault.
const LOAD_MS: u64 = 10_000;
/// Requests per second of all kinds together, far below the capacity of the mesh.
const MIXED_RATE: f64 = 120.0;
/// Bookings per second without an idempotency key, each of which may run at most once.
const UNKEYED_RATE: f64 = 20.0;
/// Deadline and time-out of callers, in milliseconds.
const DEADLINE_MS: u64 = 2000;
/// Requests per second and duration of the load after all faults have ended.
const RECOVERY_RATE: f64 = 100.0;
const RECOVERY_LOAD_MS: u64 = 1500;
/// Maximum time for the mesh to start, and for all nodes to be ready after the faults.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time within which ejected backend servers are readmitted.
const READMISSION_WAIT: Duration = Duration::from_secs(4);
/// Interval between two polls of the nodes' state.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Outcome of the run of one seed.
pub(super) struct SeedOutcome {
    pub(super) faults: usize,
    pub(super) calls: u64,
    pub(super) violations: Vec<String>,
    pub(super) logs: PathBuf,
}

/// Mesh of one run with its proxies.
struct Soak {
    fleet: Fleet,
    platform_proxy: Proxy,
    /// Proxies in front of the nodes' addresses for callers, by instance.
    caller_proxies: Vec<Proxy>,
    /// Highest version that each node has reported since its start, by instance.
    highest_versions: BTreeMap<usize, Version>,
    figures: Figures,
}

/// Start or end of a fault; an end sorts before a start at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Transition {
    End,
    Begin,
}

/// Runs one seed.
pub(super) async fn run_seed(seed: u64) -> Result<SeedOutcome, Error> {
    let mesh = Mesh::LIMA;
    let schedule = draw_faults(seed, mesh.instances());
    let mut soak = Soak::start(&mesh, seed).await?;
    let (mixed, unkeyed) = soak.start_load(&mesh, seed);
    soak.inject_faults(&schedule).await?;
    let (mixed, unkeyed) = (join(mixed).await?, join(unkeyed).await?);
    soak.check_recovery(&mesh, seed).await?;
    let ledger = audit::ledger(&soak.fleet).await?;
    audit::check(&mut soak.figures, &[&mixed, &unkeyed], &ledger);
    audit::check_keys(&mut soak.figures, &ledger);
    audit::check_once(&mut soak.figures, &unkeyed, &ledger);
    audit::check_notices(&mut soak.figures, &soak.fleet).await?;
    Ok(SeedOutcome {
        faults: schedule.len(),
        calls: mixed.offered + unkeyed.offered,
        violations: soak.figures.broken().map(str::to_owned).collect(),
        logs: soak.fleet.dir().to_owned(),
    })
}

impl Soak {
    async fn start(mesh: &Mesh, seed: u64) -> Result<Self, Error> {
        let platform_proxy = Proxy::bind().await?;
        let settings = json!({ "platform": { "addr": platform_proxy.addr() } });
        let name = format!("soak-{seed}");
        let roles = calls::roles(mesh);
        let mut fleet = Fleet::start(&name, &json!({}), roles, settings).await?;
        platform_proxy.set_target(fleet.platform);
        let mut figures = Figures::default();
        publishing::first(mesh, &mut fleet, &mut figures).await?;
        for kind in [Kind::Read, Kind::Keyed, Kind::Upload] {
            fleet
                .wait_served(mesh.service(kind).prefix, READY_TIMEOUT)
                .await?;
        }
        let mut caller_proxies = Vec::new();
        for instance in &fleet.instances {
            let proxy = Proxy::bind().await?;
            proxy.set_target(instance.addrs.calls);
            caller_proxies.push(proxy);
        }
        Ok(Self {
            fleet,
            platform_proxy,
            caller_proxies,
            highest_versions: BTreeMap::new(),
            figures,
        })
    }

    /// Starts the mixed load and the load of bookings without an idempotency key.
    fn start_load(&self, mesh: &Mesh, seed: u64) -> (Run, Run) {
        let targets = || self.caller_proxies.iter().map(Proxy::addr).collect();
        let mixed = calls::mixed(mesh, targets(), MIXED_RATE, LOAD_MS, seed);
        let unkeyed = calls::load(targets(), UNKEYED_RATE, LOAD_MS, !seed);
        let post = Shape::post(mesh.service(Kind::Keyed).prefix);
        let bounded = |load: Load| {
            load.with_deadline_ms(DEADLINE_MS)
                .with_timeout_ms(DEADLINE_MS)
        };
        (
            start(bounded(mixed)),
            start(bounded(unkeyed.with_shape(post, 1))),
        )
    }

    async fn inject_faults(&mut self, schedule: &[ScheduledFault]) -> Result<(), Error> {
        let start = Instant::now();
        let begins = schedule
            .iter()
            .map(|scheduled| (scheduled.start_ms, Transition::Begin, scheduled));
        let ends = schedule
            .iter()
            .map(|scheduled| (scheduled.end_ms, Transition::End, scheduled));
        let mut transitions: Vec<_> = begins.chain(ends).collect();
        transitions.sort_by_key(|(at_ms, transition, _)| (*at_ms, *transition));
        for (at_ms, transition, scheduled) in transitions {
            let at = start + Duration::from_millis(at_ms);
            while Instant::now() + POLL_INTERVAL < at {
                sleep(POLL_INTERVAL).await;
                self.check_versions().await;
            }
            sleep_until(at).await;
            println!("    {at_ms:>5} ms {transition:?} {:?}", scheduled.fault);
            match transition {
                Transition::Begin => self.begin_fault(&scheduled.fault).await?,
                Transition::End => self.end_fault(&scheduled.fault).await?,
            }
        }
        Ok(())
    }

    async fn begin_fault(&mut self, fault: &Fault) -> Result<(), Error> {
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
            Fault::Platform(mode) => self.platform_proxy.set_mode(*mode),
            Fault::Callers(i, mode) => self.caller_proxies[*i].set_mode(*mode),
        }
        Ok(())
    }

    async fn end_fault(&mut self, fault: &Fault) -> Result<(), Error> {
        match fault {
            Fault::Kill(i) | Fault::Stop(i) => self.restart_node(*i)?,
            Fault::Pause(i) => {
                if let Some(node) = &mut self.fleet.instances[*i].node {
                    node.resume()?;
                }
            }
            Fault::Log(_) => self.put_log(&LogFaults::new()).await?,
            Fault::Backend(i, faults) => {
                let healthy = BackendFaults::new();
                // A backend server that has announced its departure returns as a new process.
                let healthy = match faults.leaving {
                    true => healthy.with_restart(Restart::Later),
                    false => healthy,
                };
                self.put_backend(*i, &healthy).await?;
            }
            Fault::Platform(_) => self.platform_proxy.set_mode(TrafficMode::Open),
            Fault::Callers(i, _) => self.caller_proxies[*i].set_mode(TrafficMode::Open),
        }
        Ok(())
    }

    /// Restarts a node that has exited; a node that is still draining is left running.
    fn restart_node(&mut self, i: usize) -> Result<(), Error> {
        let node = &mut self.fleet.instances[i].node;
        let exited = match node {
            Some(child) => child.ended()?.is_some(),
            None => true,
        };
        if exited {
            self.highest_versions.remove(&i);
            self.fleet.start_node(i)?;
        }
        Ok(())
    }

    /// Checks that no node reports an older version than before.
    ///
    /// A node that does not answer is skipped until the next poll.
    async fn check_versions(&mut self) {
        for i in self.fleet.running() {
            let Ok(state) = self.fleet.state(i).await else {
                continue;
            };
            let highest = self.highest_versions.entry(i).or_insert(state.version);
            if state.version < *highest {
                let detail = format!("{} after {highest} on instance {i}", state.version);
                let guarantee = "no node moves back to an older version";
                self.figures.guarantee(guarantee, detail, false);
            }
            *highest = state.version.max(*highest);
        }
    }

    /// Waits until every node is running and ready, and checks that all requests are served.
    async fn check_recovery(&mut self, mesh: &Mesh, seed: u64) -> Result<(), Error> {
        let end = Instant::now() + READY_TIMEOUT;
        for i in 0..self.fleet.instances.len() {
            while self.is_stopping(i).await && Instant::now() < end {
                sleep(POLL_INTERVAL).await;
            }
            self.restart_node(i)?;
        }
        self.fleet.wait_ready(READY_TIMEOUT).await?;
        sleep(READMISSION_WAIT).await;
        let targets = self.caller_proxies.iter().map(Proxy::addr).collect();
        // Request ids are derived from the seed; another seed avoids reusing the earlier ids.
        let seed = seed.rotate_left(u64::BITS / 2);
        let load = calls::mixed(mesh, targets, RECOVERY_RATE, RECOVERY_LOAD_MS, seed);
        let report = load.run().await?;
        for answer in report.told.iter().filter(|answer| answer.verdict != "good") {
            println!("    not served after the faults: {answer:?}");
        }
        let guarantee = "everything is served once the faults are over";
        audit::check_all_good(&mut self.figures, guarantee, &report);
        Ok(())
    }

    /// Returns `true` if a node has not exited and is not ready, as after SIGTERM.
    async fn is_stopping(&mut self, i: usize) -> bool {
        let ended = match &mut self.fleet.instances[i].node {
            Some(child) => matches!(child.ended(), Ok(Some(_))),
            None => true,
        };
        let ready = self.fleet.state(i).await.is_ok_and(|state| state.ready);
        !ended && !ready
    }

    async fn put_log(&self, faults: &LogFaults) -> Result<(), Error> {
        self.put_faults(self.fleet.platform, &json!(faults)).await
    }

    async fn put_backend(&self, i: usize, faults: &BackendFaults) -> Result<(), Error> {
        let addr = self.fleet.instances[i].addrs.backend;
        self.put_faults(addr, &json!(faults)).await
    }

    async fn put_faults(&self, addr: std::net::SocketAddr, faults: &Value) -> Result<(), Error> {
        self.fleet.client.put(addr, "/standin/faults", faults).await
    }
}
