//! Process of the program under review.

use std::fs::{self, File};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::record::Record;

/// Ports of a machine, the same on all machines.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    pub outbound: u16,
    pub inbound: u16,
    pub ready: u16,
    pub control: u16,
    pub inner: (u16, u16),
    pub backend: u16,
}

/// Machine with one process.
pub struct Node {
    pub name: String,
    pub ip: IpAddr,
    pub ports: Ports,
    folder: PathBuf,
    settings: PathBuf,
    child: Option<Child>,
    starts: u32,
    record: Record,
}

impl Node {
    /// Writes the settings of a machine, filled into the template of the deploy file.
    pub fn new(
        name: &str,
        (ip, ports): (IpAddr, Ports),
        (zone, service): (&str, &str),
        store: SocketAddr,
        folder: &Path,
        record: &Record,
    ) -> io::Result<Self> {
        let listen = |port| format!("{ip}:{port}");
        let fields = [
            ("domain", zone.to_owned()),
            ("service|json", format!("\"{service}\"")),
            ("zones|json", "{\"zone-a\":\"region\",\"zone-b\":\"region\"}".into()),
            ("bootstrap", "true".into()),
            ("listen.outbound", listen(ports.outbound)),
            ("listen.inbound", listen(ports.inbound)),
            ("listen.control", listen(ports.control)),
            ("listen.ready", listen(ports.ready)),
            ("ip", ip.to_string()),
            ("internalPortRange.0", ports.inner.0.to_string()),
            ("internalPortRange.1", ports.inner.1.to_string()),
            ("platform.addr", store.to_string()),
            ("bounds.retryBudgetRatio", "0.2".into()),
            ("bounds.retryBudgetBase", "62".into()),
            ("bounds.budgetWindowS", "10".into()),
            ("heartbeatIntervalMs", "870".into()),
            ("limits.linkMbps", "1000.0".into()),
            ("bounds.graceS", "6".into()),
        ];
        let template = fs::read_to_string("deploy/settings.json")?;
        let settings = folder.join(format!("{name}.json"));
        fs::write(&settings, fill(&template, &fields)?)?;
        Ok(Self {
            name: name.into(),
            ip,
            ports,
            folder: folder.into(),
            settings,
            child: None,
            starts: 0,
            record: record.clone(),
        })
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> io::Result<()> {
        self.starts += 1;
        if self.starts > 1 {
            let settings = fs::read_to_string(&self.settings)?;
            let restarted = settings.replace("\"first_start\": true", "\"first_start\": false");
            fs::write(&self.settings, restarted)?;
        }
        let log = File::create(self.folder.join(format!("{}.{}.log", self.name, self.starts)))?;
        let child = Command::new("target/release/swiftcart-sidecar")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.record.add(format!("{} starts", self.name));
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process.
    pub fn signal(&mut self, signal: &str) -> io::Result<()> {
        let Some(child) = &mut self.child else {
            return Ok(());
        };
        if child.try_wait()?.is_some() {
            return Ok(());
        }
        self.record.add(format!("{} gets SIG{signal}", self.name));
        let command = format!("kill -{signal} {}", child.id());
        let status = Command::new("sh").arg("-c").arg(command).status()?;
        match status.success() {
            true => Ok(()),
            false => Err(io::Error::other("kill failed")),
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) -> io::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
            self.record.add(format!("{} is killed", self.name));
        }
        Ok(())
    }

    pub fn addr(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    pub fn outbound(&self) -> SocketAddr {
        self.addr(self.ports.outbound)
    }

    pub fn ready(&self) -> SocketAddr {
        self.addr(self.ports.ready)
    }

    pub fn control(&self) -> SocketAddr {
        self.addr(self.ports.control)
    }

    /// Returns `true` if the node answers that it is ready.
    pub fn is_ready(&self) -> bool {
        let answer = client::call(self.ready(), "GET", "/readyz", "");
        answer.is_ok_and(|status| status == 200)
    }

    /// Waits until the node is ready.
    pub fn wait_ready(&self, limit: Duration) -> io::Result<()> {
        let until = Instant::now() + limit;
        while !self.is_ready() {
            if Instant::now() >= until {
                return Err(io::Error::other(format!("{} is not ready", self.name)));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        drop(self.kill());
    }
}

/// Fills in the template. Sections are left out, as their fields are absent on a small deployment.
fn fill(template: &str, fields: &[(&str, String)]) -> io::Result<String> {
    let mut text = template.to_owned();
    while let Some(start) = text.find("{{#") {
        let name_end = text[start..].find("}}").map(|at| start + at);
        let name = &text[start + 3..name_end.unwrap_or(start + 3)];
        let close = format!("{{{{/{name}}}}}");
        let end = text.find(&close).ok_or(io::ErrorKind::InvalidData)?;
        text.replace_range(start..end + close.len(), "");
    }
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    match text.contains("{{") {
        true => Err(io::Error::other("a field of the template is unknown")),
        false => Ok(text),
    }
}
