//! Memory of a node and size of a publish by number of table rows.

use std::time::Duration;

use serde_json::json;
use swiftcart_standin::LogStats;

use super::START_TIMEOUT;
use crate::Error;
use crate::bench::publisher::Publisher;
use crate::bench::results::{Results, Series};
use crate::fleet::{Fleet, Role};

const BENCH: &str = "capacity-rows";

/// Numbers of services in the table. Each service has one route.
const SERVICE_COUNTS: [usize; 4] = [13, 52, 208, 416];

/// Number of nodes in each fleet.
const NODE_COUNT: usize = 3;

/// Timeout for all nodes to apply the table.
const APPLY_TIMEOUT: Duration = Duration::from_secs(30);

/// Publishes tables of several sizes, each to a new fleet.
pub(super) async fn measure(results: &mut Results) -> Result<(), Error> {
    results
        .axes
        .insert(BENCH.to_owned(), "rows of the table".to_owned());
    for services in SERVICE_COUNTS {
        let mut fleet = Fleet::start("bench-rows", &json!({}), roles(), json!({})).await?;
        fleet.wait_ready(START_TIMEOUT).await?;
        let names: Vec<_> = (0..services).map(|i| format!("service-{i}")).collect();
        let names: Vec<_> = names.iter().map(String::as_str).collect();
        let table = Publisher::new(fleet.platform).publish_table(&names).await?;
        let time = fleet.wait_version(table.version, APPLY_TIMEOUT).await?;
        let stats: LogStats = fleet.client.json(fleet.platform, "/standin/stats").await?;
        let bytes: u64 = stats.streams.values().map(|stream| stream.bytes_in).sum();
        let mut memory = 0;
        for i in 0..NODE_COUNT {
            memory = memory.max(fleet.usage(i)?.unwrap_or_default().rss_kib);
        }
        let rows = 2.0 * services as f64;
        let mut record = |subject: &str, metric: &str, unit: &str, value| {
            results.record(Series::new(BENCH, subject, metric, unit), rows, value);
        };
        record("node", "greatest memory", "MiB", memory as f64 / 1024.0);
        record("platform", "bytes of the publish", "B", bytes as f64);
        record(
            "node",
            "time to every node, looked at every 10 ms",
            "ms",
            time.as_secs_f64() * 1000.0,
        );
    }
    Ok(())
}

fn roles() -> Vec<Role> {
    let role = |_| Role {
        domain: "norte".to_owned(),
        backend: None,
    };
    (0..NODE_COUNT).map(role).collect()
}
