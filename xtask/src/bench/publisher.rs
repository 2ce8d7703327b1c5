//! An operator that publishes one change after the other.

use std::net::SocketAddr;

use swiftcart_core::{
    Body, Edit, Envelope, Limits, Publish, PublishId, Row, RowKey, Table, Version, diff,
};
use swiftcart_platform::Platform;

use crate::Error;

const STREAM: &str = "config";

/// Publishes through the platform's log, as the operators' tool does.
#[derive(Debug)]
pub struct Publisher {
    platform: Platform,
    base: Version,
    count: u32,
}

/// One publish that the log took.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Published {
    /// Its version, when it is accepted.
    pub version: Version,
    /// When the log took it, in Unix milliseconds.
    pub at: u64,
}

impl Publisher {
    /// Creates a publisher for an empty log.
    #[must_use]
    pub fn new(platform: SocketAddr) -> Self {
        Self {
            platform: Platform::new(platform),
            base: Version::NONE,
            count: 0,
        }
    }

    /// Returns the version of the last publish.
    #[must_use]
    pub const fn last(&self) -> Version {
        self.base
    }

    /// Publishes a table of `services`, one route each.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the log does not take it.
    pub async fn table(&mut self, services: &[&str]) -> Result<Published, Error> {
        let table = services.iter().fold(Table::new(), |table, service| {
            let table = table.with_service(*service, Limits::default());
            table.with_route(format!("/{service}"), *service, 1)
        });
        self.publish(diff(&Table::new(), &table)).await
    }

    /// Publishes another weight for the route of `service`.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the log does not take it.
    pub async fn weight(&mut self, service: &str) -> Result<Published, Error> {
        let key = RowKey::Route(
            format!("/{service}"),
            swiftcart_core::ServiceName::new(service),
        );
        let row = Some(Row::Route(self.count + 1));
        self.publish(vec![Edit { key, row }]).await
    }

    async fn publish(&mut self, edits: Vec<Edit>) -> Result<Published, Error> {
        self.count += 1;
        let publish = Publish {
            id: PublishId(u128::from(self.count)),
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
            at: appended.at_ms,
        })
    }
}
