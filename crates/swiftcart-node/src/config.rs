//! The configuration of one version, as the parts of a node share it.

use std::sync::Arc;

use swiftcart_core::{Routes, Snapshot, Table, Version};

/// Holds one version and its routes, which are built once.
#[derive(Debug, Clone)]
pub struct Config {
    origin: Origin,
    routes: Arc<Routes>,
}

/// Where a version came from.
#[derive(Debug, Clone)]
enum Origin {
    /// The table that the fold of the log arrived at.
    Table(Arc<Table>),
    /// A version that the platform has judged.
    Snapshot(Arc<Snapshot>),
}

impl Config {
    /// Creates the configuration of a table that the log's fold arrived at.
    #[must_use]
    pub fn from_table(version: Version, table: Arc<Table>) -> Self {
        Self {
            routes: Arc::new(Routes::new(version, &table)),
            origin: Origin::Table(table),
        }
    }

    /// Creates the configuration of a version that came as a whole.
    #[must_use]
    pub fn from_snapshot(snapshot: Arc<Snapshot>) -> Self {
        Self {
            routes: Arc::new(Routes::from_snapshot(&snapshot)),
            origin: Origin::Snapshot(snapshot),
        }
    }

    /// Returns the version.
    #[must_use]
    pub fn version(&self) -> Version {
        self.routes.version()
    }

    /// Returns the routes.
    #[must_use]
    pub const fn routes(&self) -> &Arc<Routes> {
        &self.routes
    }

    /// Returns the table of services and routes.
    #[must_use]
    pub fn table(&self) -> &Table {
        match &self.origin {
            Origin::Table(table) => table,
            Origin::Snapshot(snapshot) => &snapshot.table,
        }
    }
}

impl Default for Config {
    fn default() -> Self {
        Self::from_table(Version::NONE, Arc::default())
    }
}
