//! Callers: open-loop load that checks every answer and measures from the intended time.

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
pub use report::{Comparison, Quantiles, Report, Told};
pub use settings::Load;
pub use shape::Shape;

use crate::Error;
use crate::client;
use call::{Caller, Sample};
use report::Tally;
use schedule::{Schedule, Tick};

impl Load {
    /// Runs the load against its targets, in turn.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Load`] without a target, a shape or a rate.
    pub async fn run(self) -> Result<Report, Error> {
        let targets = self.targets.clone();
        let mut tallies = self.drive(&[targets]).await?;
        let tally = tallies.pop().unwrap_or_default();
        Ok(tally.report(self.span()))
    }

    /// Runs the load against its targets and against `others`, request by request in turn.
    ///
    /// Both see the same machine at the same time, which makes small differences visible.
    /// Each gets half of the rate.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Load`] without a target on each side, a shape or a rate.
    pub async fn compare(self, others: Vec<SocketAddr>) -> Result<Comparison, Error> {
        let targets = self.targets.clone();
        let mut tallies = self.drive(&[targets, others]).await?;
        let b = tallies.pop().unwrap_or_default();
        let a = tallies.pop().unwrap_or_default();
        Ok(Comparison {
            a: a.report(self.span()),
            b: b.report(self.span()),
        })
    }

    /// Sends the requests to the groups of targets in turn.
    async fn drive(&self, groups: &[Vec<SocketAddr>]) -> Result<Vec<Tally>, Error> {
        self.check(groups)?;
        let per_target = self.connections / groups.iter().map(Vec::len).sum::<usize>();
        let caller = Arc::new(Caller {
            load: self.clone(),
            client: client::new(per_target.max(1)),
            room: Semaphore::new(self.connections),
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
                Some(done) = calls.join_next() => count(&mut tallies, done.ok()),
            }
        }
        while let Some(done) = calls.join_next().await {
            count(&mut tallies, done.ok());
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

fn count(tallies: &mut [Tally], done: Option<(usize, Sample)>) {
    if let Some((group, sample)) = done {
        tallies[group].add(sample);
    }
}
