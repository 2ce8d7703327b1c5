//! One version of the configuration, shared by the parts of a node.

use std::sync::Arc;

use swiftcart_core::{Routes, Snapshot, Table, Version};

/// One version of the configuration with its routes, which are built once.
#[derive(Debug, Clone)]
pub struct Config {
    origin: Origin,
    routes: Arc<Routes>,
}

/// Source of a version.
#[derive(Debug, Clone)]
enum Origin {
    /// Table built from the records of the log.
    Table(Arc<Table>),
    /// Snapshot that the platform has validated.
    Snapshot(Arc<Snapshot>),
}

impl Config {
    /// Creates a configuration from a table that was built from the records of the log.
    #[must_use]
    pub fn from_table(version: Version, table: Arc<Table>) -> Self {
        Self {
            routes: Arc::new(Routes::new(version, &table)),
            origin: Origin::Table(table),
        }
    }

    /// Creates a configuration from a complete snapshot.
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
