//! One instance: its addresses, its settings and its processes.

use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::{Child, Error, Ports};

/// The key of the datagrams' tags in every run; nothing outside this machine sees it.
const MESH_KEY: &str = "a key for runs on one machine only";

/// Where a node listens, and the backend server beside it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// Callers' requests.
    pub calls: SocketAddr,
    /// Requests from other nodes.
    pub peer: SocketAddr,
    /// Operators.
    pub admin: SocketAddr,
    /// Membership datagrams.
    pub gossip: SocketAddr,
    /// State pulls.
    pub sync: SocketAddr,
    /// The backend server.
    pub backend: SocketAddr,
}

/// What an instance is to be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Role {
    /// Its failure domain.
    pub domain: String,
    /// The settings of its backend server, or `None` for a node alone.
    pub backend: Option<Value>,
}

/// One instance: a node and the backend server beside it.
#[derive(Debug)]
pub struct Instance {
    /// Its name in logs and reports.
    pub name: String,
    /// What it was started as.
    pub role: Role,
    /// Where it listens.
    pub addrs: Addresses,
    /// The node's process while it is meant to run.
    pub node: Option<Child>,
    /// The backend server's process while it is meant to run.
    pub backend: Option<Child>,
}

impl Instance {
    /// Creates an instance with free addresses; it runs no process yet.
    pub(super) fn new(ports: &mut Ports, number: usize, role: Role) -> Result<Self, Error> {
        let ip = Ports::instance(number);
        let addrs = Addresses {
            calls: ports.pick(ip)?,
            peer: ports.pick(ip)?,
            admin: ports.pick(ip)?,
            gossip: ports.pick(ip)?,
            sync: ports.pick(ip)?,
            backend: ports.pick(ip)?,
        };
        let service = role.backend.as_ref().and_then(|b| b["service"].as_str());
        let service = service.unwrap_or("node");
        Ok(Instance {
            name: format!("{:03}-{}-{service}", number, role.domain),
            role,
            addrs,
            node: None,
            backend: None,
        })
    }

    /// Returns the settings of its node, with `more` laid over them.
    pub(super) fn settings(
        &self,
        seeds: &[SocketAddr],
        platform: SocketAddr,
        more: &Value,
    ) -> Value {
        let addrs = &self.addrs;
        let mut settings = json!({
            "domain": self.role.domain,
            "listen": {
                "calls": addrs.calls,
                "peer": addrs.peer,
                "admin": addrs.admin,
                "gossip": addrs.gossip,
                "sync": addrs.sync,
            },
            "seeds": seeds,
            "platform": { "addr": platform },
            "mesh_key": MESH_KEY,
        });
        merge(&mut settings, more);
        settings
    }
}

fn merge(into: &mut Value, from: &Value) {
    match (into, from) {
        (Value::Object(into), Value::Object(from)) => {
            for (key, value) in from {
                merge(into.entry(key).or_insert(Value::Null), value);
            }
        }
        (into, from) if !from.is_null() => *into = from.clone(),
        _ => (),
    }
}
