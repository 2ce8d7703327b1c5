//! A node: the project's program with the command and the settings template of its deploy file.

use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::call;

pub const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Settings of one node, with the figures of a small deployment.
#[derive(Clone)]
pub struct Settings {
    pub ip: String,
    pub zone: String,
    pub service: String,
    pub store: SocketAddr,
    pub first_start: bool,
}

/// Running node; it is killed when it is dropped.
pub struct Node {
    pub settings: Settings,
    child: Child,
}

impl Settings {
    /// Renders the project's template as the platform does for a deployment without roll-outs,
    /// quotas and cold starts.
    fn render(&self) -> io::Result<String> {
        let template = fs::read_to_string("deploy/settings.json")?;
        let ip = &self.ip;
        let mut text = template;
        for section in ["exposeShare", "quotaWindowS", "coldOverage"] {
            let (open, close) = (
                format!("{{{{#bounds.{section}}}}}"),
                format!("{{{{/bounds.{section}}}}}"),
            );
            if let (Some(from), Some(to)) = (text.find(&open), text.find(&close)) {
                text.replace_range(from..to + close.len(), "");
            }
        }
        let values = [
            ("domain", self.zone.clone()),
            ("service|json", format!("\"{}\"", self.service)),
            (
                "zones|json",
                r#"{"norte":"lima","sur":"lima","callao":"lima"}"#.into(),
            ),
            ("bootstrap", self.first_start.to_string()),
            ("ip", ip.clone()),
            ("listen.outbound", format!("{ip}:8629")),
            ("listen.inbound", format!("{ip}:8624")),
            ("listen.ready", format!("{ip}:8625")),
            ("listen.control", format!("{ip}:8620")),
            ("internalPortRange.0", "7600".into()),
            ("internalPortRange.1", "7615".into()),
            ("platform.addr", self.store.to_string()),
            ("bounds.retryBudgetRatio", "0.2".into()),
            ("bounds.retryBudgetBase", "62".into()),
            ("bounds.budgetWindowS", "10".into()),
            ("bounds.graceS", "6".into()),
            ("heartbeatIntervalMs", "1500".into()),
            ("limits.linkMbps", "1000.0".into()),
        ];
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        match text.contains("{{") {
            true => Err(io::Error::other(
                "the settings template has a field that is not known here",
            )),
            false => Ok(text),
        }
    }
}

impl Node {
    /// Starts the program of the deploy file and waits until it says that it is ready.
    pub fn start(settings: &Settings, folder: &Path) -> io::Result<Self> {
        let folder = folder.join(&settings.ip);
        fs::create_dir_all(&folder)?;
        let file = folder.join("settings.json");
        fs::write(&file, settings.render()?)?;
        let deploy = fs::read_to_string("deploy/system.toml")?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = "));
        let run = run.ok_or_else(|| io::Error::other("no command in deploy/system.toml"))?;
        let mut words = run.trim_matches('"').split(' ');
        let program = words.next().unwrap_or_default();
        let args = words.map(|word| match word {
            "/etc/swiftcart/settings.toml" => file.display().to_string(),
            _ => word.to_owned(),
        });
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder.join("log"))?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self {
            settings: settings.clone(),
            child,
        })
    }

    /// Waits until the node answers its readiness question with 200.
    pub fn wait_ready(&self, limit: Duration) -> io::Result<()> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return Ok(());
            }
            sleep(Duration::from_millis(50));
        }
        Err(io::Error::other(format!(
            "node {} is not ready",
            self.settings.ip
        )))
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /readyz HTTP/1.1\r\nhost: node\r\n\r\n";
        let answer = call(self.addr(8625), request, Duration::from_millis(500));
        answer.is_ok_and(|(head, _)| head.status() == 200)
    }

    /// Address of a port of the node's machine.
    pub fn addr(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.settings.ip)
            .parse()
            .expect("an address")
    }

    pub fn outbound(&self) -> SocketAddr {
        self.addr(8629)
    }

    pub fn control(&self) -> SocketAddr {
        self.addr(8620)
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process was started here and has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if !self.has_ended() {
            self.signal(SIGCONT);
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}
