//! The swiftcart node: networking, timers and metrics around `swiftcart-core`.
//!
//! One node runs beside each backend server. It accepts callers' requests (*ingress*), hands
//! requests to its own backend server (*guard*), and follows the configuration and the other
//! nodes (*control*).

mod admin;
mod args;
mod calls;
mod clearing;
mod clock;
mod config;
mod control;
mod counters;
mod departures;
mod edge;
mod egress;
mod faults;
mod logging;
mod nested;
mod node;
mod program;
mod quotas;
mod registration;
mod settings;
mod shared;
mod suspects;
mod unreached;
mod warmup;

pub use args::{Args, ArgsError};
pub use clock::Clock;
pub use config::Config;
pub use control::ControlError;
pub use counters::{Counters, Stage};
pub use edge::{
    Directory, DirectoryListing, NextVersion, PlatformAdapters, PlatformFuture, RolloutBoard,
    RolloutRecord, RolloutRecords, RolloutState, SnapshotSource,
};
pub use faults::Faults;
pub use logging::{Event, open as open_log, silent as silent_log};
pub use node::{Node, NodeError};
pub use program::run_program;
pub use settings::{
    Announcements, Answers, Cold, Gossip, Headers, Limits, LinkSettings, Listen, Log, LogLevel,
    MeshKey, Name, Overload, OverloadTrigger, Platform, Quotas, Retries, Rollouts, Settings,
    SettingsError, Stop,
};
pub use shared::{Phase, Progress, Shared};
