//! Waiting for conditions that all running nodes of a fleet must meet.

use std::time::{Duration, Instant};

use swiftcart_core::Version;
use tokio::time::sleep;

use super::{Fleet, State};
use crate::{Child, Error, applied_at};

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Longest time until the platform accepts requests.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(10);

impl Fleet {
    /// Waits until every running node accepts callers' requests.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Late`] when the condition is not met within `limit`.
    pub async fn wait_ready(&mut self, limit: Duration) -> Result<Duration, Error> {
        self.wait("every node to be ready", limit, |state| state.ready)
            .await
    }

    /// Waits until `version` is in force on every running node.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Late`] when the condition is not met within `limit`.
    pub async fn wait_version(
        &mut self,
        version: Version,
        limit: Duration,
    ) -> Result<Duration, Error> {
        let what = format!("version {version} to be in force on every node");
        self.wait(&what, limit, |state| state.version >= version)
            .await
    }

    /// Waits until every running node has logged that `version` is applied.
    ///
    /// Returns the time of the last such log line, in Unix milliseconds.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Late`] when the condition is not met within `limit`.
    pub async fn wait_applied(&self, version: Version, limit: Duration) -> Result<u64, Error> {
        let start = Instant::now();
        let mut last = 0;
        for i in self.running() {
            last = last.max(self.wait_applied_by(i, version, start + limit).await?);
        }
        Ok(last)
    }

    async fn wait_applied_by(
        &self,
        i: usize,
        version: Version,
        end: Instant,
    ) -> Result<u64, Error> {
        let instance = &self.instances[i];
        let late = || Error::Late(format!("version {version}"), instance.name.clone());
        let node = instance.node.as_ref().ok_or_else(late)?;
        loop {
            match applied_at(&node.log()?, version.0) {
                Some(at) => return Ok(at),
                None if Instant::now() > end => return Err(late()),
                None => sleep(POLL_INTERVAL).await,
            }
        }
    }

    /// Waits until a `GET` of `path` succeeds through every running node.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Late`] when the condition is not met within `limit`.
    pub async fn wait_served(&self, path: &str, limit: Duration) -> Result<Duration, Error> {
        let start = Instant::now();
        for i in self.running() {
            let instance = &self.instances[i];
            while let Err(e) = self.client.text(instance.addrs.calls, path).await {
                if start.elapsed() > limit {
                    return Err(Error::Late(
                        format!("{path} to be served: {e}"),
                        instance.name.clone(),
                    ));
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        Ok(start.elapsed())
    }

    /// Waits until the state of every running node satisfies `condition`.
    async fn wait(
        &mut self,
        what: &str,
        limit: Duration,
        condition: impl Fn(&State) -> bool,
    ) -> Result<Duration, Error> {
        let start = Instant::now();
        let mut left = self.running();
        while let Some(&i) = left.last() {
            match self.state(i).await {
                Ok(state) if condition(&state) => {
                    left.pop();
                    continue;
                }
                _ if start.elapsed() > limit => {
                    let names = left.iter().map(|&i| self.instances[i].name.as_str());
                    let names: Vec<_> = names.collect();
                    return Err(Error::Late(what.to_owned(), names.join(" ")));
                }
                _ => self.check(i)?,
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(start.elapsed())
    }

    pub(super) async fn wait_platform(&mut self) -> Result<(), Error> {
        let start = Instant::now();
        while self
            .client
            .text(self.platform, "/standin/stats")
            .await
            .is_err()
        {
            self.platform_process.check()?;
            if start.elapsed() > LISTEN_TIMEOUT {
                return Err(Error::Late(
                    "the platform to listen".to_owned(),
                    "platform".to_owned(),
                ));
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Fails when a process of an instance has exited without being stopped.
    fn check(&mut self, i: usize) -> Result<(), Error> {
        let instance = &mut self.instances[i];
        let children = [&mut instance.node, &mut instance.backend];
        children.into_iter().flatten().try_for_each(Child::check)
    }
}
