//! Counts the requests of accounts where callers send them, and admits the part that the ledgers allow.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use rand::Rng;

use super::{AccountTag, AdmissionRatio, Quota, Usage};
use crate::rate::RetryScheduler;
use crate::{Instant, RateShare, Reason, Refusal};

/// The longest time for which a count is kept back.
const TELL: Duration = Duration::from_millis(300);

/// The requests since the last word after which a node tells of them at once; of an account that
/// sends few through each node, the first one.
const TELL_AT: u64 = 2;

/// The requests a second through each node up to which an account sends few.
const FEW: f64 = 2.0;

/// The time between two words of a limited account, for each node of the mesh: its ledger then
/// hears some 300 of them a second, whatever the mesh's size.
const TELL_LIMITED: Duration = Duration::from_millis(3);

/// How long an answer of the ledger may take before it counts as out of reach; a few of its words
/// may be lost.
const SILENCE: Duration = Duration::from_millis(1_000);

/// How long a limit holds without a further word.
const LIMIT_FOR: Duration = Duration::from_secs(5);

/// How long the counts of an account are kept that sends nothing.
const KEPT: Duration = Duration::from_secs(60);

/// Tells whether a request can still be answered within its target.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestTiming {
    /// It can.
    #[default]
    InTime,
    /// Its caller has been trying for too long.
    Late,
}

/// Counts and admits the requests that one node takes from callers.
///
/// Requests are admitted before they are counted elsewhere, so that none waits for a message; an
/// account that is over its quota is held back within some hundred milliseconds, and its ledger
/// takes what came too much out of what follows. Where the ledger cannot be reached, a node admits
/// an equal part of the quota, as all others do.
///
/// # Examples
///
/// ```
/// use rand::{SeedableRng, rngs::SmallRng};
/// use swiftcart_core::{AccountTag, AdmissionRatio, Instant, Quota, QuotaMeter, RequestTiming};
///
/// let (now, account) = (Instant::from_millis(0), AccountTag(7));
/// let quota = Quota { rate: 10, burst: 10 };
/// let mut rng = SmallRng::seed_from_u64(1);
/// let mut meter = QuotaMeter::new(1);
/// assert!(meter.admit(now, account, quota, RequestTiming::InTime, &mut rng).is_ok());
/// meter.receive(now, AdmissionRatio { account, permille: 0 });
/// assert!(meter.admit(now, account, quota, RequestTiming::InTime, &mut rng).is_err());
/// ```
#[derive(Debug, Clone)]
pub struct QuotaMeter {
    epoch: u32,
    nodes: usize,
    accounts: HashMap<AccountTag, Counts>,
    /// The accounts whose counts have changed since they were told.
    untold: BTreeSet<AccountTag>,
}

/// What one account has sent through this node.
#[derive(Debug, Clone)]
struct Counts {
    epoch: u32,
    since: Instant,
    arrived: u64,
    admitted: u64,
    told: Told,
    /// Since when an answer of the ledger is missing.
    unanswered: Option<Instant>,
    /// The part that the ledger lets this node admit, and when it said so.
    part: f64,
    heard: Instant,
    /// The equal part of the quota, for the time without a ledger.
    equal: RateShare,
    quota: Quota,
    nodes: usize,
    promises: RetryScheduler,
}

/// The counts that were told last, and when.
#[derive(Debug, Clone, Copy)]
struct Told {
    arrived: u64,
    admitted: u64,
    at: Instant,
}

impl QuotaMeter {
    /// Creates a meter that has counted nothing; `epoch` tells this process from others.
    #[must_use]
    pub fn new(epoch: u32) -> Self {
        Self {
            epoch,
            nodes: 1,
            accounts: HashMap::new(),
            untold: BTreeSet::new(),
        }
    }

    /// Takes over the number of nodes that callers may reach, those that are cut off included.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// Counts a request, and tells whether it is admitted.
    ///
    /// While the account is limited, one that can no longer be answered in time is not: what the
    /// quota lets through then serves those whose answers are worth most.
    ///
    /// # Errors
    ///
    /// [`Reason::OverQuota`] with the time after which the account may send again.
    pub fn admit<R: Rng + ?Sized>(
        &mut self,
        now: Instant,
        account: AccountTag,
        quota: Quota,
        timing: RequestTiming,
        rng: &mut R,
    ) -> Result<(), Refusal> {
        let (nodes, epoch) = (self.nodes, self.epoch);
        let counts = self.accounts.entry(account);
        let counts = counts.or_insert_with(|| Counts::new(now, epoch, quota, nodes));
        counts.share(now, quota, nodes);
        let in_vain = timing == RequestTiming::Late && counts.is_limited(now);
        counts.arrived += u64::from(!in_vain);
        self.untold.insert(account);
        match !in_vain && counts.admits(now, rng) {
            true => {
                counts.admitted += 1;
                Ok(())
            }
            false => {
                let rate = f64::from(quota.rate) / nodes as f64;
                let after = counts.promises.next(now, Duration::ZERO, rate, rng);
                Err(Refusal::new(Reason::OverQuota).with_retry(after))
            }
        }
    }

    /// Gives back the part of a request that was admitted and did not run.
    pub fn cancel_admission(&mut self, account: AccountTag) {
        if let Some(counts) = self.accounts.get_mut(&account) {
            counts.admitted = counts.admitted.saturating_sub(1);
            self.untold.insert(account);
        }
    }

    /// Takes in what the ledger of an account allows.
    pub fn receive(&mut self, now: Instant, admittance: AdmissionRatio) {
        let (nodes, epoch) = (self.nodes, self.epoch);
        // An account that sends nothing here is limited before its first request comes.
        let limited = admittance.permille < AdmissionRatio::ALL;
        if limited {
            let counts = self.accounts.entry(admittance.account);
            counts.or_insert_with(|| Counts::new(now, epoch, Quota::default(), nodes));
        }
        if let Some(counts) = self.accounts.get_mut(&admittance.account) {
            counts.part = admittance.share();
            counts.heard = now;
            counts.unanswered = None;
        }
    }

    /// Returns the counts that the ledgers are to be told now.
    pub fn due(&mut self, now: Instant) -> Vec<Usage> {
        let limited_pause = TELL_LIMITED * u32::try_from(self.nodes).unwrap_or(u32::MAX);
        let (nodes, accounts) = (self.nodes, &mut self.accounts);
        let mut due = Vec::new();
        self.untold.retain(|account| {
            let Some(counts) = accounts.get_mut(account) else {
                return false;
            };
            let waits = !counts.is_due(now, limited_pause, nodes);
            if !waits {
                due.push(counts.tell(now, *account));
            }
            waits
        });
        due
    }

    /// Forgets accounts that have sent nothing for a while.
    pub fn sweep(&mut self, now: Instant) {
        let recent = |counts: &Counts| now.since(counts.told.at.max(counts.heard)) < KEPT;
        let untold = &self.untold;
        self.accounts
            .retain(|account, counts| untold.contains(account) || recent(counts));
    }

    /// Returns how many requests of an account were admitted and may have run.
    #[must_use]
    pub fn admitted(&self, account: AccountTag) -> u64 {
        self.accounts
            .get(&account)
            .map_or(0, |counts| counts.admitted)
    }

    /// Returns the part of an account's requests that is admitted now, where it is limited.
    #[must_use]
    pub fn limited(&self, now: Instant, account: AccountTag) -> Option<f64> {
        let counts = self.accounts.get(&account)?;
        counts.is_limited(now).then_some(counts.part)
    }
}

impl Counts {
    fn new(now: Instant, epoch: u32, quota: Quota, nodes: usize) -> Self {
        Self {
            epoch,
            since: now,
            arrived: 0,
            admitted: 0,
            told: Told {
                arrived: 0,
                admitted: 0,
                at: now,
            },
            unanswered: None,
            part: 1.0,
            heard: now,
            equal: RateShare::new(now).with_rate(now, quota.rate, nodes),
            quota,
            nodes,
            promises: RetryScheduler::new(now),
        }
    }

    /// Takes over the quota and the nodes that it is split over, where either has changed.
    fn share(&mut self, now: Instant, quota: Quota, nodes: usize) {
        if (self.quota, self.nodes) != (quota, nodes) {
            (self.quota, self.nodes) = (quota, nodes);
            self.equal.split(now, quota.rate, nodes);
        }
    }

    fn admits<R: Rng + ?Sized>(&mut self, now: Instant, rng: &mut R) -> bool {
        match () {
            () if self.is_alone(now) => self.equal.take(now, rng).is_ok(),
            () if self.is_limited(now) => rng.random::<f64>() < self.part,
            () => true,
        }
    }

    /// Tells whether the ledger does not answer.
    fn is_alone(&self, now: Instant) -> bool {
        let unanswered = |since| now.since(since) >= SILENCE;
        self.unanswered.is_some_and(unanswered)
    }

    fn is_limited(&self, now: Instant) -> bool {
        self.part < 1.0 && now.since(self.heard) < LIMIT_FOR
    }

    fn is_due(&self, now: Instant, limited_pause: Duration, nodes: usize) -> bool {
        let waited = now.since(self.told.at);
        let sends_few = f64::from(self.quota.rate) <= FEW * nodes as f64;
        match self.is_limited(now) {
            true => waited >= limited_pause,
            false if sends_few && self.arrived > self.told.arrived => true,
            false => waited >= TELL || self.arrived - self.told.arrived >= TELL_AT,
        }
    }

    fn tell(&mut self, now: Instant, account: AccountTag) -> Usage {
        if self.is_alone(now) {
            self.begin_anew();
        }
        self.told = Told {
            arrived: self.arrived,
            admitted: self.admitted,
            at: now,
        };
        self.unanswered.get_or_insert(now);
        Usage {
            account,
            arrived: self.arrived,
            admitted: self.admitted,
            counted_ms: u32::try_from(now.since(self.since).as_millis()).unwrap_or(u32::MAX),
            epoch: self.epoch,
        }
    }

    /// Leaves out what was told without an answer. The equal parts of all nodes lie within the quota;
    /// told later, they would be taken out of it once more.
    fn begin_anew(&mut self) {
        self.epoch = self.epoch.wrapping_add(1);
        self.since = self.told.at;
        self.arrived = self.arrived.saturating_sub(self.told.arrived);
        self.admitted = self.admitted.saturating_sub(self.told.admitted);
    }
}
