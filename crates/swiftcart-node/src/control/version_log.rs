//! Log events that show how a version reached this node, and which nodes acknowledged it.

use slog::info;
use swiftcart_core::{NodeId, Version};
use swiftcart_platform::PlatformError;

use super::control_loop::Control;
use super::reader::ReadKind;
use super::stream::{EnforcedVersion, EnforcementCause};
use crate::logging::{Event, ms};

/// Sender of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum VersionSource {
    /// Own read of the platform.
    Platform,
    /// Push of node `from` down the tree of the reader `origin`.
    Push { from: NodeId, origin: NodeId },
    /// Pull from this node.
    Pull(NodeId),
}

impl VersionSource {
    /// Returns the name of the source in logs.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Platform => "platform",
            Self::Push { .. } => "push",
            Self::Pull(_) => "pull",
        }
    }

    const fn sender(self) -> Option<NodeId> {
        match self {
            Self::Platform => None,
            Self::Push { from, .. } | Self::Pull(from) => Some(from),
        }
    }

    const fn origin(self) -> Option<NodeId> {
        match self {
            Self::Push { origin, .. } => Some(origin),
            Self::Platform | Self::Pull(_) => None,
        }
    }
}

impl Control {
    /// Logs the newest version and its sender, unless it is still `before`.
    pub(super) fn log_received(&self, before: Version, source: VersionSource) {
        let version = self.stream.source.version();
        if version > before {
            info!(self.shared.logger, ""; "event" => Event::Received, "version" => version.0,
                "before" => before.0, "source" => source.as_str(), "peer" => label(source.sender()),
                "origin" => label(source.origin()));
        }
    }

    /// Logs why a version passed the enforcement gate.
    pub(super) fn log_enforced(&self, enforced: EnforcedVersion) {
        let (cause, peer) = match enforced.cause {
            EnforcementCause::Acknowledged(peer) => ("witness", Some(peer)),
            EnforcementCause::Timeout => ("timeout", None),
            EnforcementCause::NoWitness => ("no-witness", None),
        };
        info!(self.shared.logger, ""; "event" => Event::Acknowledged,
            "version" => enforced.version.0, "cause" => cause, "peer" => label(peer));
    }

    /// Logs that this node acknowledged a version that `node` reported.
    pub(super) fn log_witnessed(&self, node: NodeId, version: Version) {
        info!(self.shared.logger, ""; "event" => Event::Witnessed, "version" => version.0,
            "peer" => %node);
    }

    /// Logs a failed read of the platform and the delay until the next read.
    pub(super) fn log_failed_read(&self, kind: ReadKind, error: &PlatformError) {
        let now = self.now();
        let retry = self.reader.retry_at().since(now);
        info!(self.shared.logger, ""; "event" => Event::Read, "kind" => kind.as_str(),
            "error" => %error, "age_ms" => ms(self.freshness.age(now)),
            "retry_ms" => ms(retry));
    }
}

fn label(node: Option<NodeId>) -> String {
    node.map_or_else(|| "-".into(), |node| node.to_string())
}
