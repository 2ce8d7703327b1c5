//! Open-loop load generator that verifies every response and measures latency from the scheduled
//! send time.

mod audit;
mod call;
mod check;
mod report;
mod retry;
mod schedule;
mod settings;
mod shape;

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::Semaphore;
use tokio::task::JoinSet;

pub use audit::Audit;
pub use report::{CallRecord, Comparison, Quantiles, Report};
pub use settings::Load;
pub use shape::Shape;

use crate::Error;
use crate::client;
use call::{Caller, Sample};
use report::Tally;
use schedule::{Schedule, Tick};

impl Load {
    /// Runs the load against its targets in round-robin order.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Load`] when a target, a shape, a rate or a connection is missing.
    pub async fn run(self) -> Result<Report, Error> {
        let targets = self.targets.clone();
        let mut tallies = self.send_all(&[targets]).await?;
        let tally = tallies.pop().unwrap_or_default();
        Ok(tally.report(self.duration()))
    }

    /// Runs the load against its targets and `others`, alternating between the two groups.
    ///
    /// Both groups run at the same time and under the same conditions, so that small differences
    /// are measurable. Each group receives half of the rate.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Load`] when a group has no target, or a shape, a rate or a connection is
    /// missing.
    pub async fn compare(self, others: Vec<SocketAddr>) -> Result<Comparison, Error> {
        let targets = self.targets.clone();
        let mut tallies = self.send_all(&[targets, others]).await?;
        let b = tallies.pop().unwrap_or_default();
        let a = tallies.pop().unwrap_or_default();
        Ok(Comparison {
            a: a.report(self.duration()),
            b: b.report(self.duration()),
        })
    }

    /// Sends all scheduled requests, alternating between the groups, and returns one tally per
    /// group.
    async fn send_all(&self, groups: &[Vec<SocketAddr>]) -> Result<Vec<Tally>, Error> {
        self.validate(groups)?;
        let per_target = self.connections / groups.iter().map(Vec::len).sum::<usize>();
        let caller = Arc::new(Caller {
            load: self.clone(),
            client: client::new(per_target.max(1)),
            permits: Semaphore::new(self.connections),
        });
        let mut tallies: Vec<_> = groups.iter().map(|_| Tally::new(self.keep)).collect();
        let mut ticks = Schedule::new(self).start();
        let mut calls = JoinSet::new();
        loop {
            tokio::select! {
                tick = ticks.recv() => match tick {
                    Some(tick) => {
                        let group = tick.index as usize % groups.len();
                        tallies[group].offered += 1;
                        if calls.len() >= self.pending {
                            tallies[group].unsent += 1;
                            continue;
                        }
                        let target = target(&groups[group], &tick, groups.len());
                        calls.spawn(send(caller.clone(), target, tick, group));
                    }
                    None => break,
                },
                Some(done) = calls.join_next() => record_sample(&mut tallies, done.ok()),
            }
        }
        while let Some(done) = calls.join_next().await {
            record_sample(&mut tallies, done.ok());
        }
        Ok(tallies)
    }
}

fn target(group: &[SocketAddr], tick: &Tick, groups: usize) -> SocketAddr {
    group[(tick.index as usize / groups) % group.len()]
}

async fn send(
    caller: Arc<Caller>,
    target: SocketAddr,
    tick: Tick,
    group: usize,
) -> (usize, Sample) {
    (group, caller.call(target, &tick).await)
}

fn record_sample(tallies: &mut [Tally], done: Option<(usize, Sample)>) {
    if let Some((group, sample)) = done {
        tallies[group].add(sample);
    }
}
