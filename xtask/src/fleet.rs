//! Local mesh of processes: the stand-in platform, nodes and stand-in backend servers.

mod instance;
mod wait;

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;

use serde::Deserialize;
use serde_json::{Value, json};
use swiftcart_core::Version;

use crate::child::{Child, fresh_dir, terminate_all};
use crate::command::root;
use crate::http::Client;
use crate::ports::Ports;
use crate::prom::Scrape;
use crate::{Error, Usage};

pub use instance::{Addresses, Instance, Role};

/// State that a node reports on its admin address.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct State {
    /// Version of the configuration in force.
    pub version: Version,
    /// `true` if the node accepts callers' requests.
    pub ready: bool,
}

/// Processes of one run; dropping the fleet terminates all of them.
#[derive(Debug)]
pub struct Fleet {
    /// HTTP client for all processes of the run.
    pub client: Client,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// All instances, in the order of their numbers.
    pub instances: Vec<Instance>,
    platform_process: Child,
    dir: PathBuf,
    settings: Value,
}

impl Fleet {
    /// Starts a platform with the settings `platform`, and one instance for each role.
    ///
    /// The settings and logs are written to `target/xtask/NAME`. `settings` is merged into the
    /// settings of each node.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when a process cannot be started.
    pub async fn start(
        name: &str,
        platform: &Value,
        roles: Vec<Role>,
        settings: Value,
    ) -> Result<Self, Error> {
        let dir = root().join("target/xtask").join(name);
        fresh_dir(&dir)?;
        let mut ports = Ports::new();
        let addr = ports.pick(Ports::instance(0))?;
        let mut command = Command::new(release_binary("swiftcart-standin-platform"));
        command.args(["--addr", &addr.to_string()]);
        command.args(["--settings", &platform.to_string()]);
        let platform_process = Child::spawn("platform", &dir, command)?;
        let mut fleet = Self {
            client: Client::new(),
            platform: addr,
            instances: Vec::new(),
            platform_process,
            dir,
            settings,
        };
        fleet.wait_platform().await?;
        fleet.instances = roles
            .into_iter()
            .enumerate()
            .map(|(i, role)| Instance::new(&mut ports, i + 1, role))
            .collect::<Result<_, _>>()?;
        for i in 0..fleet.instances.len() {
            fleet.write_settings(i)?;
            fleet.start_node(i)?;
            fleet.start_backend(i)?;
        }
        Ok(fleet)
    }

    /// Returns the directory of the run's settings and logs.
    #[must_use]
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    /// Returns the process of the platform.
    #[must_use]
    pub const fn platform_process(&self) -> &Child {
        &self.platform_process
    }

    /// Starts the node of an instance.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the process cannot be started.
    pub fn start_node(&mut self, i: usize) -> Result<(), Error> {
        let instance = &mut self.instances[i];
        let mut command = Command::new(release_binary("swiftcartd"));
        let file = self.dir.join(format!("{}.json", instance.name));
        command.arg("--settings").arg(file);
        let name = format!("{}-node", instance.name);
        instance.node = Some(Child::spawn(&name, &self.dir, command)?);
        Ok(())
    }

    /// Starts the backend server of an instance, if its role has one.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the process cannot be started.
    pub fn start_backend(&mut self, i: usize) -> Result<(), Error> {
        let instance = &mut self.instances[i];
        let Some(mut settings) = instance.role.backend.clone() else {
            return Ok(());
        };
        settings["admin"] = json!(instance.addrs.admin);
        let mut command = Command::new(release_binary("swiftcart-standin-backend"));
        command.args(["--addr", &instance.addrs.backend.to_string()]);
        command.args(["--settings", &settings.to_string()]);
        let name = format!("{}-backend", instance.name);
        instance.backend = Some(Child::spawn(&name, &self.dir, command)?);
        Ok(())
    }

    /// Kills the node and the backend server of an instance with SIGKILL.
    pub fn kill(&mut self, i: usize) {
        let instance = &mut self.instances[i];
        let children = [instance.node.take(), instance.backend.take()];
        children
            .into_iter()
            .flatten()
            .for_each(|mut child| child.kill());
    }

    /// Returns the state that the node of an instance reports.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the node does not respond.
    pub async fn state(&self, i: usize) -> Result<State, Error> {
        let admin = self.instances[i].addrs.admin;
        self.client.json(admin, "/v1/state").await
    }

    /// Returns the metrics of the node of an instance.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the node does not respond.
    pub async fn scrape(&self, i: usize) -> Result<Scrape, Error> {
        let admin = self.instances[i].addrs.admin;
        let text = self.client.text(admin, "/metrics").await?;
        Ok(Scrape::parse(&text))
    }

    /// Returns the resource usage of the node of an instance, or `None` if the node is stopped.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the usage cannot be read from `/proc`.
    pub fn usage(&self, i: usize) -> Result<Option<Usage>, Error> {
        let node = self.instances[i].node.as_ref();
        node.map(|node| Usage::of(node.id())).transpose()
    }

    /// Returns the indices of the instances whose node was started and not stopped.
    #[must_use]
    pub fn running(&self) -> Vec<usize> {
        let indices = 0..self.instances.len();
        indices
            .filter(|&i| self.instances[i].node.is_some())
            .collect()
    }

    fn write_settings(&self, i: usize) -> Result<(), Error> {
        let instance = &self.instances[i];
        let settings = instance.settings(&self.seeds(), self.platform, &self.settings);
        let file = self.dir.join(format!("{}.json", instance.name));
        let text = format!("{settings:#}\n");
        fs::write(&file, text).map_err(|e| Error::File(file, e))
    }

    /// Returns the gossip addresses of the first two nodes of each failure domain.
    fn seeds(&self) -> Vec<SocketAddr> {
        let preceding_in_domain = |i: usize| {
            let domain = &self.instances[i].role.domain;
            let earlier = self.instances[..i].iter();
            earlier.filter(|other| other.role.domain == *domain).count()
        };
        let indices = 0..self.instances.len();
        let seeds = indices.filter(|&i| preceding_in_domain(i) < 2);
        seeds.map(|i| self.instances[i].addrs.gossip).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let children = |i: &'_ mut Instance| [i.node.take(), i.backend.take()];
        let mut owned: Vec<_> = self
            .instances
            .iter_mut()
            .flat_map(children)
            .flatten()
            .collect();
        let mut all: Vec<_> = owned
            .iter_mut()
            .chain([&mut self.platform_process])
            .collect();
        terminate_all(&mut all);
    }
}

/// Returns the path of the release build of the binary `name`.
#[must_use]
pub fn release_binary(name: &str) -> PathBuf {
    root().join("target/release").join(name)
}
