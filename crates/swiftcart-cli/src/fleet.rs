//! Versions of all nodes of the mesh.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Serialize, Serializer};
use swiftcart_core::{Liveness, Member, NodeId, Version};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use crate::{AdminClient, AdminError, Error, NodeState};

/// Maximum number of nodes that are queried at the same time.
const MAX_CONCURRENT_QUERIES: usize = 32;

/// Maximum number of members that are queried.
const MAX_MEMBERS: usize = 20_000;

const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Members that one node knows, with the state that each reports.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Fleet {
    /// Nodes sorted by failure domain and id.
    pub nodes: Vec<Node>,
}

/// Member of the mesh and its state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Node {
    /// Entry of the node in the membership list of the queried node.
    pub member: Member,
    /// Answer of the node itself.
    pub answer: Answer,
}

/// Result of querying a node for its state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The node was not queried, since it is dead or has left.
    NotQueried,
    /// The query failed.
    Failed(AdminError),
    /// State that the node reports.
    State(NodeState),
}

/// Live node that is not known to have a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Straggler {
    /// Id of the node.
    pub node: NodeId,
    /// Failure domain of the node.
    pub domain: String,
    /// Version that the node has, or `None` if it gave no answer.
    pub version: Option<Version>,
    /// Reason why there is no version.
    #[serde(serialize_with = "as_text", skip_serializing_if = "Option::is_none")]
    pub error: Option<AdminError>,
}

impl Fleet {
    /// Fetches the membership list from the first of `nodes` that answers, then the state of each
    /// live member.
    ///
    /// # Errors
    ///
    /// [`Error::NodesUnreachable`] if none of the nodes answers.
    pub async fn query(admin: &AdminClient, nodes: &[SocketAddr]) -> Result<Self, Error> {
        for addr in nodes {
            if let Ok(mut members) = admin.members(*addr).await {
                members.truncate(MAX_MEMBERS);
                members.sort_by(|a, b| (&a.domain, a.id).cmp(&(&b.domain, b.id)));
                let nodes = query_states(admin, members).await;
                return Ok(Self { nodes });
            }
        }
        Err(Error::NodesUnreachable(nodes.into()))
    }

    /// Returns an iterator over the nodes that are alive or suspect.
    pub fn live(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| is_live(&node.member))
    }

    /// Returns the highest version that a node reports.
    #[must_use]
    pub fn head(&self) -> Version {
        let versions = self.nodes.iter().filter_map(Node::version);
        versions.max().unwrap_or_default()
    }

    /// Returns the live nodes that are not known to have `version`.
    #[must_use]
    pub fn stragglers(&self, version: Version) -> Vec<Straggler> {
        let behind = self
            .live()
            .filter(|node| node.version().is_none_or(|v| v < version));
        behind.map(Node::straggler).collect()
    }
}

impl Node {
    /// Returns the version that the node reports, if it answered.
    #[must_use]
    pub const fn version(&self) -> Option<Version> {
        match &self.answer {
            Answer::State(state) => Some(state.version),
            Answer::NotQueried | Answer::Failed(_) => None,
        }
    }

    fn straggler(&self) -> Straggler {
        Straggler {
            node: self.member.id,
            domain: self.member.domain.to_string(),
            version: self.version(),
            error: match self.answer {
                Answer::Failed(e) => Some(e),
                Answer::NotQueried | Answer::State(_) => None,
            },
        }
    }
}

/// Polls the nodes until every live node has `version` or the time limit is reached.
///
/// Calls `progress` with the number of live nodes and the stragglers after each round. Returns the
/// stragglers of the last round, or `None` if no node answered in it.
pub async fn wait_for_version(
    admin: &AdminClient,
    nodes: &[SocketAddr],
    version: Version,
    limit: Duration,
    mut progress: impl FnMut(usize, &[Straggler]),
) -> Option<Vec<Straggler>> {
    let end = Instant::now() + limit;
    loop {
        let next = Instant::now() + POLL_INTERVAL;
        let fleet = Fleet::query(admin, nodes).await.ok();
        // A membership list without any live node says nothing about the other nodes.
        let fleet = fleet.filter(|fleet| fleet.live().next().is_some());
        let round = fleet.map(|fleet| {
            let behind = fleet.stragglers(version);
            progress(fleet.live().count(), &behind);
            behind
        });
        match round {
            Some(behind) if behind.is_empty() => return Some(behind),
            round if next >= end => return round,
            _ => sleep_until(next).await,
        }
    }
}

const fn is_live(member: &Member) -> bool {
    matches!(member.liveness, Liveness::Alive | Liveness::Suspect)
}

fn as_text<S: Serializer>(error: &Option<AdminError>, ser: S) -> Result<S::Ok, S::Error> {
    match error {
        Some(error) => ser.collect_str(error),
        None => ser.serialize_none(),
    }
}

async fn query_states(admin: &AdminClient, members: Vec<Member>) -> Vec<Node> {
    let mut answers = BTreeMap::new();
    let mut tasks = JoinSet::new();
    for (i, member) in members.iter().enumerate().filter(|(_, m)| is_live(m)) {
        if tasks.len() >= MAX_CONCURRENT_QUERIES {
            answers.extend(tasks.join_next().await.and_then(Result::ok));
        }
        let (admin, addr) = (admin.clone(), member.admin);
        tasks.spawn(async move { (i, admin.state(addr).await) });
    }
    answers.extend(tasks.join_all().await);
    let nodes = members.into_iter().enumerate();
    let nodes = nodes.map(|(i, member)| Node {
        answer: verified_answer(&member, answers.remove(&i)),
        member,
    });
    nodes.collect()
}

/// Returns the answer, rejecting the state of any node other than `member`.
fn verified_answer(member: &Member, reply: Option<Result<NodeState, AdminError>>) -> Answer {
    match reply {
        None if is_live(member) => Answer::Failed(AdminError::Unreachable),
        None => Answer::NotQueried,
        Some(Ok(state)) if state.id == member.id => Answer::State(state),
        Some(Ok(_)) => Answer::Failed(AdminError::Malformed),
        Some(Err(e)) => Answer::Failed(e),
    }
}
