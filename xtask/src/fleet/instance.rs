//! Instance of a fleet: its addresses, settings and processes.

use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::{Child, Error, Ports};

/// Key that authenticates gossip datagrams in every run; it never leaves the local system.
const MESH_KEY: &str = "a key for runs on one machine only";

/// Listen addresses of a node and of the backend server beside the node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// Address for callers' requests.
    pub calls: SocketAddr,
    /// Address for requests from other nodes.
    pub peer: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// UDP address for membership gossip.
    pub gossip: SocketAddr,
    /// Address for anti-entropy state pulls.
    pub sync: SocketAddr,
    /// Address of the backend server.
    pub backend: SocketAddr,
}

/// Configuration of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Role {
    /// Failure domain of the instance.
    pub domain: String,
    /// Settings of the backend server, or `None` for a node without a backend server.
    pub backend: Option<Value>,
}

/// Node and the backend server beside the node.
#[derive(Debug)]
pub struct Instance {
    /// Name in logs and reports.
    pub name: String,
    /// Configuration that the instance was created from.
    pub role: Role,
    /// Listen addresses.
    pub addrs: Addresses,
    /// Process of the node, or `None` if the node is stopped.
    pub node: Option<Child>,
    /// Process of the backend server, or `None` if the backend server is stopped.
    pub backend: Option<Child>,
}

impl Instance {
    /// Creates an instance with free addresses, without starting its processes.
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

    /// Returns the settings of the node, with `overrides` merged into them.
    pub(super) fn settings(
        &self,
        seeds: &[SocketAddr],
        platform: SocketAddr,
        overrides: &Value,
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
        merge(&mut settings, overrides);
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
