//! A service in virtual time whose backend servers are being replaced by those of a new release.
#![allow(clippy::unwrap_used, reason = "a play fails by panicking")]

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use swiftcart_core::*;

/// The time between two steps.
const STEP: Duration = Duration::from_millis(50);

/// How a release is bad.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    None,
    /// A part of its requests fails.
    Errors(f64),
    /// A part of its requests takes so many times as long.
    Slow(f64, f64),
    /// A part fails from some seconds after its start on.
    Late(f64, f64),
    /// A part fails while half of the slots are taken.
    UnderLoad(f64),
    /// A part of one route's requests fails.
    OneRoute(f64),
}

/// What befalls backend servers of either release.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Trouble {
    None,
    /// A part of all backend servers fails a part of its requests for some seconds.
    Grey(f64, f64),
    /// A part of all is so many times slower.
    Slow(f64, f64),
    /// The first new one fails a part of its requests from its start on.
    OneBad(f64),
}

#[derive(Debug, Clone)]
pub struct Server {
    id: NodeId,
    side: Side,
    turn: RolloutBatch,
    speed: f64,
    affected: bool,
    tally: TrialStats,
    credit: u64,
    credit_until: Instant,
    ends: Vec<Run>,
}

#[derive(Debug, Clone, Copy)]
struct Run {
    start: Instant,
    end: Instant,
    route: RouteTag,
    failed: bool,
    /// Whether it went badly because of its release.
    blame: bool,
}

/// How a roll-out ended.
#[derive(Debug, Clone, PartialEq)]
pub struct Ending {
    pub stage: RolloutStage,
    /// Requests of the service, and those that reached the new release until the deadline.
    pub total: u64,
    pub exposed: u64,
    /// Bad answers of the new release.
    pub bad: u32,
    /// The time from the 50th bad answer to the last request at the new release.
    pub after: Duration,
    /// The time left when the end was reached.
    pub left: Duration,
}

#[derive(Debug, Clone, Copy)]
pub struct Play {
    pub old: usize,
    pub new: usize,
    pub rate: f64,
    pub duration: Duration,
    pub fault: Fault,
    pub trouble: Trouble,
    pub seed: u64,
}

impl Default for Play {
    fn default() -> Self {
        Self {
            old: 32,
            new: 32,
            rate: 1_200.0,
            duration: Duration::from_secs(16),
            fault: Fault::None,
            trouble: Trouble::None,
            seed: 1,
        }
    }
}

const SLOTS: usize = 9;
/// Mean of a request's time, and the spread of its logarithm.
const WORK_MS: f64 = 160.0;
const SPREAD: f64 = 0.6;

impl Play {
    pub fn run(self) -> Ending {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let service = ServiceName::new("sensor");
        let order = RolloutOrder {
            id: OrderId(5),
            service: service.clone(),
            target: Release::new("v2"),
            duration: self.duration,
        };
        let mut rollouts = Rollouts::default();
        let start = Instant::from_millis(1_000);
        rollouts.order(start, &order);
        let mut servers = self.servers(&mut rng);
        let settings = TrialSettings {
            share: 0.1,
            extra: 50.0,
        };
        let rollout = rollouts.get(&service).unwrap();
        let mut trial = Trial::new(start, &rollout, settings);
        let routes = [RouteTag(1), RouteTag(3)];
        let (mut total, mut exposed, mut bad) = (0, 0, 0);
        let (mut fiftieth, mut last) = (None, start);
        let mut left = Duration::ZERO;
        let mut round = start;
        let mut now = start;
        while now.since(start) < self.duration {
            now = now + STEP;
            let since = now.since(start);
            let stage = rollouts.get(&service).unwrap().stage;
            let started = since >= Duration::from_millis(1_500);
            for server in &mut servers {
                bad += server.finish(now);
                if bad >= 50 {
                    fiftieth.get_or_insert(now);
                }
            }
            let arrivals = poisson(self.rate * STEP.as_secs_f64(), &mut rng);
            for _ in 0..arrivals {
                total += 1;
                for _ in 0..6 {
                    let at = rng.random_range(0..servers.len());
                    let server = &mut servers[at];
                    if server.side == Side::New && !started {
                        continue;
                    }
                    let clear = stage.clearance(server.side, server.turn);
                    if !server.takes(now, clear) {
                        continue;
                    }
                    if server.side == Side::New {
                        exposed += 1;
                        last = now;
                    }
                    let route = routes[usize::from(rng.random::<f64>() < 0.15)];
                    self.hand(server, now, since, route, &mut rng);
                    break;
                }
            }
            if now.since(round) < TRIAL_INTERVAL {
                continue;
            }
            round = now;
            for server in &servers {
                if server.side == Side::New && !started {
                    continue;
                }
                let clear = stage.clearance(server.side, server.turn);
                trial.observe(now, server.id, server.evidence(&service, order.id, clear));
            }
            let rollout = rollouts.get(&service).unwrap();
            let before = rollout.stage;
            let known = if started { servers.len() } else { self.old };
            for step in trial.evaluate(now, &rollout, known) {
                match step {
                    TrialAction::Grant(id, grant) => {
                        let server = servers.iter_mut().find(|s| s.id == id).unwrap();
                        server.credit = grant.upto;
                        server.credit_until = now + TRIAL_INTERVAL * 2;
                    }
                    TrialAction::Advance(step) => {
                        rollouts.advance(&service, order.id, step.stage);
                    }
                }
            }
            let rollout = rollouts.get(&service).unwrap();
            let ended = |stage| matches!(stage, RolloutStage::Completed | RolloutStage::Stopped);
            if ended(rollout.stage) && !ended(before) {
                left = rollout.remaining(now);
            }
        }
        let after = fiftieth.map_or(Duration::ZERO, |at| last.since(at));
        Ending {
            stage: rollouts.get(&service).unwrap().stage,
            total,
            exposed,
            bad,
            after,
            left,
        }
    }

    fn servers(&self, rng: &mut SmallRng) -> Vec<Server> {
        let sides = (0..self.old).map(|_| Side::Old);
        let sides = sides.chain((0..self.new).map(|_| Side::New));
        let mut servers: Vec<Server> = sides
            .enumerate()
            .map(|(i, side)| Server {
                id: NodeId(([10, 0, (i >> 8) as u8, i as u8], 7600).into()),
                side,
                turn: match side {
                    Side::Old | Side::Barred => RolloutBatch::new(i, self.old),
                    Side::New => RolloutBatch::new(i - self.old, self.new),
                },
                speed: [0.5, 1.0, 1.0, 1.5][rng.random_range(0..4)],
                affected: match self.trouble {
                    Trouble::None => false,
                    Trouble::Grey(share, _) | Trouble::Slow(share, _) => {
                        rng.random::<f64>() < share
                    }
                    Trouble::OneBad(_) => i == self.old,
                },
                tally: TrialStats::default(),
                credit: 0,
                credit_until: Instant::default(),
                ends: Vec::new(),
            })
            .collect();
        servers.sort_by_key(|server| server.id);
        servers
    }

    fn hand(
        &self,
        server: &mut Server,
        now: Instant,
        since: Duration,
        route: RouteTag,
        rng: &mut SmallRng,
    ) {
        server.tally.arrived();
        let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
        let mut ms = WORK_MS * (SPREAD * normal - SPREAD * SPREAD / 2.0).exp() / server.speed;
        let mut failed = rng.random::<f64>() < 0.004;
        let is_new = server.side == Side::New;
        let hit = |share: f64, rng: &mut SmallRng| is_new && rng.random::<f64>() < share;
        let blame = match self.fault {
            Fault::None => false,
            Fault::Errors(share) | Fault::Slow(share, _) => hit(share, rng),
            Fault::Late(share, from) => since.as_secs_f64() > from && hit(share, rng),
            Fault::UnderLoad(share) => server.ends.len() * 2 >= SLOTS && hit(share, rng),
            Fault::OneRoute(share) => route == RouteTag(3) && hit(share, rng),
        };
        match self.fault {
            Fault::Slow(_, times) if blame => ms *= times,
            _ => failed |= blame,
        }
        let within = (4.0..9.0).contains(&since.as_secs_f64());
        match self.trouble {
            Trouble::Grey(_, share) if server.affected && within => {
                failed |= rng.random::<f64>() < share;
            }
            Trouble::Slow(_, times) if server.affected && within => ms *= times,
            Trouble::OneBad(share) if server.affected => failed |= rng.random::<f64>() < share,
            _ => {}
        }
        let end = now + Duration::from_secs_f64(ms.min(4_000.0) / 1e3);
        server.ends.push(Run {
            start: now,
            end,
            route,
            failed,
            blame,
        });
    }
}

impl Server {
    fn takes(&self, now: Instant, clear: Clearance) -> bool {
        let room = self.ends.len() < SLOTS;
        match clear {
            Clearance::Open => room,
            Clearance::OnCredit => {
                room && now.since(self.credit_until).is_zero()
                    && self.tally.arrivals() < self.credit
            }
            Clearance::Closed | Clearance::Draining => false,
        }
    }

    /// Ends what is over; returns how much of it went badly because of its release.
    fn finish(&mut self, now: Instant) -> u32 {
        let (over, running): (Vec<_>, Vec<_>) = self.ends.drain(..).partition(|run| run.end <= now);
        self.ends = running;
        for run in &over {
            let time = run.end.since(run.start);
            self.tally.ended(run.route, run.failed, time);
        }
        over.iter().filter(|run| run.blame).count() as u32
    }

    fn evidence(&self, service: &ServiceName, order: OrderId, clear: Clearance) -> Evidence {
        Evidence {
            service: service.clone(),
            order,
            side: self.side,
            epoch: 1,
            ready: true,
            open: matches!(clear, Clearance::Open | Clearance::OnCredit),
            arrived: self.tally.arrivals(),
            running: self.ends.len() as u32,
            routes: self.tally.routes(),
        }
    }
}

fn poisson(mean: f64, rng: &mut SmallRng) -> u32 {
    let limit = (-mean).exp();
    let (mut n, mut product) = (0, rng.random::<f64>());
    while product > limit {
        n += 1;
        product *= rng.random::<f64>();
    }
    n
}
