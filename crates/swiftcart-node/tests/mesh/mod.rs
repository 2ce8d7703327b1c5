//! Test harness that runs nodes as separate processes and kills, pauses and partitions them.
#![allow(dead_code, reason = "each test file uses a part")]
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use rustix::process::{Pid, Signal, kill_process};
use serde::Deserialize;
use serde_json::json;
use swiftcart_core::{
    Body, Edit, Envelope, Limits, Liveness, Member, Publish, PublishId, Table, Version, diff,
};
use swiftcart_standin::Log;
use tempfile::TempDir;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Maximum time for a condition to become true.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout of one request to a node, needed because a paused node does not respond.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
const PORTS: [(&str, u16); 5] = [
    ("calls", 7001),
    ("peer", 7002),
    ("admin", 7003),
    ("gossip", 7004),
    ("sync", 7005),
];

static NEXT_MESH: AtomicU8 = AtomicU8::new(100);

/// State that a node reports.
#[derive(Debug, Default, Clone, PartialEq, Eq, Deserialize)]
pub struct State {
    pub version: Version,
    pub ready: bool,
    pub digest: String,
}

/// Process of one node, which may be stopped.
#[derive(Debug)]
pub struct Process {
    pub ip: Ipv4Addr,
    pub domain: &'static str,
    child: Option<Child>,
    cut: Vec<SocketAddr>,
}

/// Nodes of several failure domains that share one log.
#[derive(Debug)]
pub struct Mesh {
    pub log: Log,
    pub nodes: Vec<Process>,
    dir: TempDir,
    table: Table,
    publishes: u128,
    seen: Arc<Mutex<ObservedVersions>>,
}

/// Versions that were observed at each address.
#[derive(Debug, Default)]
struct ObservedVersions {
    greatest: BTreeMap<Ipv4Addr, Version>,
    reverts: BTreeSet<(Ipv4Addr, Version, Version)>,
}

impl Process {
    fn addr(&self, name: &str) -> SocketAddr {
        let port = PORTS.iter().find(|(n, _)| *n == name).unwrap().1;
        (self.ip, port).into()
    }

    pub fn admin(&self) -> SocketAddr {
        self.addr("admin")
    }

    fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().unwrap().id();
        let pid = Pid::from_raw(i32::try_from(pid).unwrap()).unwrap();
        kill_process(pid, signal).unwrap();
    }

    /// Pauses the process until [`resume`](Self::resume), which may be longer than every timeout.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        let mut child = self.child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.child.is_some() {
            self.kill();
        }
    }
}

impl Mesh {
    /// Starts the given number of nodes in each failure domain and waits until all are ready and
    /// know each other.
    pub async fn start(domains: &[(&'static str, usize)]) -> Self {
        let log = Log::start(([127, 0, 0, 1], 0).into()).await.unwrap();
        let [.., high, low] = std::process::id().to_be_bytes();
        let mesh = NEXT_MESH.fetch_add(1, Ordering::Relaxed);
        let names = domains.iter().flat_map(|(d, n)| vec![*d; *n]);
        let nodes = names.zip(1..).map(|(domain, n)| Process {
            ip: Ipv4Addr::new(127, high | 1, low ^ mesh, n),
            domain,
            child: None,
            cut: Vec::new(),
        });
        let mut mesh = Self {
            log,
            nodes: nodes.collect(),
            dir: TempDir::new().unwrap(),
            table: Table::new(),
            publishes: 0,
            seen: Arc::default(),
        };
        for i in 0..mesh.nodes.len() {
            mesh.spawn(i);
        }
        mesh.watch_versions();
        let all: Vec<_> = (0..mesh.nodes.len()).collect();
        mesh.until_known(&all).await;
        mesh
    }

    /// Starts the process of node `i`, which must not be running, at the node's addresses.
    pub fn spawn(&mut self, i: usize) {
        let node = &self.nodes[i];
        let listen: BTreeMap<_, _> = PORTS
            .iter()
            .map(|(name, _)| (name, node.addr(name)))
            .collect();
        let indexed = self.nodes.iter().enumerate();
        let seeds: Vec<_> = indexed
            .filter(|(j, n)| *j == 0 || self.nodes[j - 1].domain != n.domain)
            .map(|(_, n)| n.addr("gossip"))
            .collect();
        let settings = json!({
            "domain": node.domain, "listen": listen, "seeds": seeds,
            "platform": {"addr": self.log.addr(), "timeout_ms": 500},
            "mesh_key": "0123456789abcdef0123456789abcdef",
        });
        let file = self.dir.path().join(format!("{}.json", node.ip));
        std::fs::write(&file, settings.to_string()).unwrap();
        let cut: Vec<_> = node.cut.iter().map(ToString::to_string).collect();
        let child = Command::new(env!("CARGO_BIN_EXE_swiftcartd"))
            .arg("--settings")
            .arg(file)
            .env("SWIFTCART_CUT_FROM", cut.join(","))
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        self.nodes[i].child = Some(child);
    }

    /// Publishes the table with another service added, and returns the new version.
    pub fn publish(&mut self) -> Version {
        self.publishes += 1;
        let name = format!("s{}", self.publishes);
        let table = self.table.clone().with_service(&name, Limits::default());
        let table = table.with_route(format!("/{name}"), &name, 1);
        let edits = diff(&self.table, &table);
        self.table = table;
        self.append(edits)
    }

    fn append(&self, edits: Vec<Edit>) -> Version {
        let page = self.log.read("config", 0).unwrap();
        let publish = Publish {
            id: PublishId(self.publishes),
            author: "test".into(),
            base: Version(page.next),
            edits,
        };
        let body = Envelope::new(Body::Publish(publish)).encode();
        Version(self.log.append("config", &body).unwrap() + 1)
    }

    /// Announces a backend server of `service` at node `i`, with a TTL of ten minutes.
    pub async fn announce(&self, i: usize, service: &str, readiness: &str) {
        let body = json!({"service": service, "addr": "127.0.0.1:1", "slots": 4,
            "connections": 4, "readiness": readiness, "ttl_ms": 600_000});
        let admin = self.nodes[i].admin();
        send(admin, "PUT", "/v1/backend", body.to_string())
            .await
            .unwrap();
    }

    /// Partitions the nodes of `group` from all others, and from the platform if `platform` is set.
    pub async fn cut(&mut self, group: &[usize], platform: bool) {
        for i in 0..self.nodes.len() {
            let is_inside = group.contains(&i);
            let others = (0..self.nodes.len()).filter(|j| group.contains(j) != is_inside);
            let mut addrs: Vec<SocketAddr> = others
                .flat_map(|j| PORTS.map(|(name, _)| self.nodes[j].addr(name)))
                .collect();
            if is_inside && platform {
                addrs.push(self.log.addr());
            }
            self.set_cut(i, &addrs).await;
        }
    }

    /// Removes all partitions.
    pub async fn heal(&mut self) {
        for i in 0..self.nodes.len() {
            self.set_cut(i, &[]).await;
        }
    }

    async fn set_cut(&mut self, i: usize, addrs: &[SocketAddr]) {
        self.nodes[i].cut = addrs.to_vec();
        let body = json!(addrs).to_string();
        let admin = self.nodes[i].admin();
        send(admin, "PUT", "/v1/faults", body).await.unwrap();
    }

    pub async fn state(&self, i: usize) -> Option<State> {
        get_json(self.nodes[i].admin(), "/v1/state").await
    }

    /// Returns the number of long polls of the platform that node `i` has started.
    pub async fn long_polls(&self, i: usize) -> u64 {
        let metrics = send(self.nodes[i].admin(), "GET", "/metrics", String::new()).await;
        let text = String::from_utf8(metrics.unwrap()).unwrap();
        let name = "swiftcart_platform_reads_total{kind=\"long-poll\"} ";
        let count = text.lines().find_map(|line| line.strip_prefix(name));
        count.map_or(0, |count| count.parse().unwrap())
    }

    /// Returns the liveness of each node that node `i` knows.
    pub async fn liveness(&self, i: usize) -> BTreeMap<usize, Liveness> {
        let members: Vec<Member> = get_json(self.nodes[i].admin(), "/v1/members")
            .await
            .unwrap_or_default();
        let place = |m: &Member| self.nodes.iter().position(|n| n.addr("gossip") == m.id.0);
        members
            .iter()
            .filter_map(|m| Some((place(m)?, m.liveness)))
            .collect()
    }

    /// Waits until the nodes of `group` are ready and each considers all of them alive.
    pub async fn until_known(&self, group: &[usize]) {
        until(async || {
            for i in group {
                let seen = self.liveness(*i).await;
                let is_known = |j| seen.get(j) == Some(&Liveness::Alive);
                let ready = self.state(*i).await.is_some_and(|s| s.ready);
                if !ready || !group.iter().all(is_known) {
                    return false;
                }
            }
            true
        })
        .await;
    }

    /// Waits until the nodes of `group` are ready at `version` with the same digest.
    pub async fn until_at(&self, group: &[usize], version: Version) {
        until(async || {
            let mut digests = Vec::new();
            for i in group {
                match self.state(*i).await {
                    Some(state) if state.ready && state.version == version => {
                        digests.push(state.digest);
                    }
                    _ => return false,
                }
            }
            digests.dedup();
            digests.len() == 1
        })
        .await;
    }

    /// Returns every observed change of a node to a lower version.
    pub fn reverts(&self) -> Vec<(Ipv4Addr, Version, Version)> {
        let seen = self.seen.lock().unwrap();
        seen.reverts.iter().copied().collect()
    }

    /// Polls the version of every node continuously, including across restarts.
    fn watch_versions(&self) {
        for node in &self.nodes {
            let (ip, admin) = (node.ip, node.admin());
            let seen = Arc::downgrade(&self.seen);
            tokio::spawn(async move {
                while let Some(seen) = seen.upgrade() {
                    if let Some(state) = get_json::<State>(admin, "/v1/state").await {
                        seen.lock().unwrap().record(ip, &state);
                    }
                    drop(seen);
                    sleep(Duration::from_millis(10)).await;
                }
            });
        }
    }
}

impl ObservedVersions {
    fn record(&mut self, ip: Ipv4Addr, state: &State) {
        let greatest = self.greatest.entry(ip).or_default();
        match state.version {
            // A process that is not ready and reports no version has not loaded a table yet.
            version if version < *greatest && (state.ready || version > Version::NONE) => {
                self.reverts.insert((ip, *greatest, version));
            }
            version => *greatest = version.max(*greatest),
        }
    }
}

/// Waits until `condition` is true; the condition may use the network.
pub async fn until(mut condition: impl AsyncFnMut() -> bool) {
    let wait = async {
        while !condition().await {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(CONDITION_TIMEOUT, wait)
        .await
        .expect("condition not met before the timeout");
}

async fn get_json<T: serde::de::DeserializeOwned>(addr: SocketAddr, path: &str) -> Option<T> {
    let body = send(addr, "GET", path, String::new()).await?;
    serde_json::from_slice(&body).ok()
}

/// Sends one request and returns the body of a 2xx response.
async fn send(addr: SocketAddr, method: &str, path: &str, body: String) -> Option<Vec<u8>> {
    let exchange = async {
        let socket = TcpStream::connect(addr).await.ok()?;
        let (mut sender, conn) = http1::handshake(TokioIo::new(socket)).await.ok()?;
        let conn = tokio::spawn(conn);
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "node");
        let request = request.header("content-type", "application/json");
        let answer = sender
            .send_request(request.body(Full::<bytes::Bytes>::from(body)).ok()?)
            .await
            .ok()?;
        let ok = answer.status().is_success();
        let bytes = answer.into_body().collect().await.ok()?.to_bytes();
        conn.abort();
        ok.then(|| bytes.to_vec())
    };
    timeout(REQUEST_TIMEOUT, exchange).await.ok().flatten()
}
