//! Which nodes have which version.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Serialize, Serializer};
use swiftcart_core::{Liveness, Member, NodeId, Version};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use crate::{AdminClient, AdminError, Error, NodeState};

/// Nodes that are reply at the same time.
const MAX_CONCURRENT_QUERIES: usize = 32;

/// The most members that are reply.
const MAX_MEMBERS: usize = 20_000;

const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Holds the members that one node knows and what each says of itself.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Fleet {
    /// The nodes, by failure domain and address.
    pub nodes: Vec<Node>,
}

/// Holds what is known of one node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Node {
    /// What the other node told.
    pub member: Member,
    /// What the node itself tells.
    pub answer: Answer,
}

/// What a node says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// It was not reply, since it is dead or has left.
    NotQueried,
    /// It gave no answer.
    Failed(AdminError),
    /// Its state.
    State(NodeState),
}

/// Names a live node that lacks a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Straggler {
    /// The node.
    pub node: NodeId,
    /// Its failure domain.
    pub domain: String,
    /// The version that it has, unless it gave no answer.
    pub version: Option<Version>,
    /// Why there is no version.
    #[serde(serialize_with = "as_text", skip_serializing_if = "Option::is_none")]
    pub error: Option<AdminError>,
}

impl Fleet {
    /// Asks the first of `nodes` that answers for the members, and each member for its state.
    ///
    /// # Errors
    ///
    /// [`Error::NodesUnreachable`] when none of the nodes answers.
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

    /// Iterates over the nodes that are neither dead nor gone.
    pub fn live(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| is_live(&node.member))
    }

    /// Returns the greatest version that a node has.
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
    /// Returns the version that the node has, if it told.
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

/// Asks again and again until every live node has `version` or the time is over.
///
/// Calls `progress` with the live nodes and the stragglers after each round, and
/// returns the last round's stragglers: `None` when no node answered.
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
        // A node that knows no live one, not even itself, tells nothing about the others.
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

/// Keeps an answer only when it is the member's own.
fn verified_answer(member: &Member, reply: Option<Result<NodeState, AdminError>>) -> Answer {
    match reply {
        None if is_live(member) => Answer::Failed(AdminError::Unreachable),
        None => Answer::NotQueried,
        Some(Ok(state)) if state.id == member.id => Answer::State(state),
        Some(Ok(_)) => Answer::Failed(AdminError::Malformed),
        Some(Err(e)) => Answer::Failed(e),
    }
}
