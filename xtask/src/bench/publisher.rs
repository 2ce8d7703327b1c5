//! Publisher of configuration changes for benches.

use std::net::SocketAddr;

use swiftcart_core::{
    Body, Edit, Envelope, Limits, Publish, PublishId, Row, RowKey, Table, Version, diff,
};
use swiftcart_platform::Platform;

use crate::Error;

const STREAM: &str = "config";

/// Client that publishes configuration changes to the platform's log, as the operators' tool does.
#[derive(Debug)]
pub struct Publisher {
    platform: Platform,
    base: Version,
    publishes: u32,
}

/// Publish that was appended to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Published {
    /// Version that the nodes apply if they accept the publish.
    pub version: Version,
    /// Append time in the log, in Unix milliseconds.
    pub appended_ms: u64,
}

impl Publisher {
    /// Creates a publisher for an empty log.
    #[must_use]
    pub fn new(platform: SocketAddr) -> Self {
        Self {
            platform: Platform::new(platform),
            base: Version::NONE,
            publishes: 0,
        }
    }

    /// Returns the version of the last publish, or [`Version::NONE`] before the first publish.
    #[must_use]
    pub const fn last_version(&self) -> Version {
        self.base
    }

    /// Publishes a table of `services` with one route for each service.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the append to the log fails.
    pub async fn publish_table(&mut self, services: &[&str]) -> Result<Published, Error> {
        let table = services.iter().fold(Table::new(), |table, service| {
            let table = table.with_service(*service, Limits::default());
            table.with_route(format!("/{service}"), *service, 1)
        });
        self.publish(diff(&Table::new(), &table)).await
    }

    /// Publishes a new weight for the route of `service`.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the append to the log fails.
    pub async fn publish_weight(&mut self, service: &str) -> Result<Published, Error> {
        let key = RowKey::Route(
            format!("/{service}"),
            swiftcart_core::ServiceName::new(service),
        );
        let row = Some(Row::Route(self.publishes + 1));
        self.publish(vec![Edit { key, row }]).await
    }

    async fn publish(&mut self, edits: Vec<Edit>) -> Result<Published, Error> {
        self.publishes += 1;
        let publish = Publish {
            id: PublishId(u128::from(self.publishes)),
            author: "bench".to_owned(),
            base: self.base,
            edits,
        };
        let body = Envelope::new(Body::Publish(publish)).encode();
        let failed = |cause: String| Error::Http(self.platform.addr(), STREAM.to_owned(), cause);
        let appended = self.platform.append(STREAM, &body).await;
        let appended = appended.map_err(|e| failed(e.to_string()))?;
        self.base = Version::at(appended.offset);
        Ok(Published {
            version: self.base,
            appended_ms: appended.at_ms,
        })
    }
}
