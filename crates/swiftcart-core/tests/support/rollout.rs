//! Simulation of a service in virtual time during the roll-out of a new release.
#![allow(clippy::unwrap_used, reason = "a simulation fails by panicking")]

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use swiftcart_core::*;

/// Time between two simulation steps.
const STEP: Duration = Duration::from_millis(50);

/// Defect of the new release.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Defect {
    None,
    /// A share of its requests fails.
    Errors(f64),
    /// A share of its requests takes longer, by the given factor.
    Slow(f64, f64),
    /// A share of its requests fails from the given second of the roll-out on.
    Late(f64, f64),
    /// A share of its requests fails while at least half of the slots are taken.
    UnderLoad(f64),
    /// A share of one route's requests fails.
    OneRoute(f64),
}

/// Disturbance of backend servers of either release.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Disturbance {
    None,
    /// A share of the backend servers fails a share of the requests for some seconds.
    Grey(f64, f64),
    /// A share of the backend servers is slower for some seconds, by the given factor.
    Slow(f64, f64),
    /// The first new backend server fails a share of its requests from its start on.
    OneBad(f64),
}

#[derive(Debug, Clone)]
pub struct Server {
    id: NodeId,
    side: Side,
    batch: RolloutBatch,
    speed: f64,
    affected: bool,
    stats: TrialStats,
    credit: u64,
    credit_until: Instant,
    in_flight: Vec<Request>,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    start: Instant,
    end: Instant,
    route: RouteTag,
    failed: bool,
    /// Set if the defect of the release affected the request.
    defective: bool,
}

/// Result of a simulated roll-out.
#[derive(Debug, Clone, PartialEq)]
pub struct SimulationResult {
    pub stage: RolloutStage,
    /// Requests of the service, and those given to the new release before the deadline.
    pub total: u64,
    pub exposed: u64,
    /// Bad answers of the new release.
    pub bad: u32,
    /// Time from the 50th bad answer to the last request given to the new release.
    pub stop_delay: Duration,
    /// Time left when the final stage was reached.
    pub left: Duration,
}

#[derive(Debug, Clone, Copy)]
pub struct Simulation {
    pub old: usize,
    pub new: usize,
    pub rate: f64,
    pub duration: Duration,
    pub defect: Defect,
    pub disturbance: Disturbance,
    pub seed: u64,
}

impl Default for Simulation {
    fn default() -> Self {
        Self {
            old: 32,
            new: 32,
            rate: 1_200.0,
            duration: Duration::from_secs(16),
            defect: Defect::None,
            disturbance: Disturbance::None,
            seed: 1,
        }
    }
}

const SLOTS: usize = 9;
/// Mean service time, and the standard deviation of its logarithm.
const MEAN_SERVICE_MS: f64 = 160.0;
const SERVICE_TIME_SIGMA: f64 = 0.6;

impl Simulation {
    pub fn run(self) -> SimulationResult {
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
        let (mut limit_reached, mut last) = (None, start);
        let mut left = Duration::ZERO;
        let mut last_round = start;
        let mut now = start;
        while now.since(start) < self.duration {
            now = now + STEP;
            let since = now.since(start);
            let stage = rollouts.get(&service).unwrap().stage;
            let started = since >= Duration::from_millis(1_500);
            for server in &mut servers {
                bad += server.complete_due(now);
                if bad >= 50 {
                    limit_reached.get_or_insert(now);
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
                    let clearance = stage.clearance(server.side, server.batch);
                    if !server.accepts(now, clearance) {
                        continue;
                    }
                    if server.side == Side::New {
                        exposed += 1;
                        last = now;
                    }
                    let route = routes[usize::from(rng.random::<f64>() < 0.15)];
                    self.start_request(server, now, since, route, &mut rng);
                    break;
                }
            }
            if now.since(last_round) < TRIAL_INTERVAL {
                continue;
            }
            last_round = now;
            for server in &servers {
                if server.side == Side::New && !started {
                    continue;
                }
                let clearance = stage.clearance(server.side, server.batch);
                trial.observe(
                    now,
                    server.id,
                    server.evidence(&service, order.id, clearance),
                );
            }
            let rollout = rollouts.get(&service).unwrap();
            let before = rollout.stage;
            let known_servers = if started { servers.len() } else { self.old };
            for action in trial.evaluate(now, &rollout, known_servers) {
                match action {
                    TrialAction::Grant(id, grant) => {
                        let server = servers.iter_mut().find(|s| s.id == id).unwrap();
                        server.credit = grant.upto;
                        server.credit_until = now + TRIAL_INTERVAL * 2;
                    }
                    TrialAction::Advance(advance) => {
                        rollouts.advance(&service, order.id, advance.stage);
                    }
                }
            }
            let rollout = rollouts.get(&service).unwrap();
            let ended = |stage| matches!(stage, RolloutStage::Completed | RolloutStage::Stopped);
            if ended(rollout.stage) && !ended(before) {
                left = rollout.remaining(now);
            }
        }
        let stop_delay = limit_reached.map_or(Duration::ZERO, |at| last.since(at));
        SimulationResult {
            stage: rollouts.get(&service).unwrap().stage,
            total,
            exposed,
            bad,
            stop_delay,
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
                batch: match side {
                    Side::Old | Side::Barred => RolloutBatch::new(i, self.old),
                    Side::New => RolloutBatch::new(i - self.old, self.new),
                },
                speed: [0.5, 1.0, 1.0, 1.5][rng.random_range(0..4)],
                affected: match self.disturbance {
                    Disturbance::None => false,
                    Disturbance::Grey(share, _) | Disturbance::Slow(share, _) => {
                        rng.random::<f64>() < share
                    }
                    Disturbance::OneBad(_) => i == self.old,
                },
                stats: TrialStats::default(),
                credit: 0,
                credit_until: Instant::default(),
                in_flight: Vec::new(),
            })
            .collect();
        servers.sort_by_key(|server| server.id);
        servers
    }

    fn start_request(
        &self,
        server: &mut Server,
        now: Instant,
        since: Duration,
        route: RouteTag,
        rng: &mut SmallRng,
    ) {
        server.stats.arrived();
        let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
        let mut ms = MEAN_SERVICE_MS
            * (SERVICE_TIME_SIGMA * normal - SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2.0).exp()
            / server.speed;
        let mut failed = rng.random::<f64>() < 0.004;
        let is_new = server.side == Side::New;
        let hit = |share: f64, rng: &mut SmallRng| is_new && rng.random::<f64>() < share;
        let defective = match self.defect {
            Defect::None => false,
            Defect::Errors(share) | Defect::Slow(share, _) => hit(share, rng),
            Defect::Late(share, from) => since.as_secs_f64() > from && hit(share, rng),
            Defect::UnderLoad(share) => server.in_flight.len() * 2 >= SLOTS && hit(share, rng),
            Defect::OneRoute(share) => route == RouteTag(3) && hit(share, rng),
        };
        match self.defect {
            Defect::Slow(_, factor) if defective => ms *= factor,
            _ => failed |= defective,
        }
        let disturbed = (4.0..9.0).contains(&since.as_secs_f64());
        match self.disturbance {
            Disturbance::Grey(_, share) if server.affected && disturbed => {
                failed |= rng.random::<f64>() < share;
            }
            Disturbance::Slow(_, factor) if server.affected && disturbed => ms *= factor,
            Disturbance::OneBad(share) if server.affected => failed |= rng.random::<f64>() < share,
            _ => {}
        }
        let end = now + Duration::from_secs_f64(ms.min(4_000.0) / 1e3);
        server.in_flight.push(Request {
            start: now,
            end,
            route,
            failed,
            defective,
        });
    }
}

impl Server {
    fn accepts(&self, now: Instant, clearance: Clearance) -> bool {
        let room = self.in_flight.len() < SLOTS;
        match clearance {
            Clearance::Open => room,
            Clearance::OnCredit => {
                room && now.since(self.credit_until).is_zero()
                    && self.stats.arrivals() < self.credit
            }
            Clearance::Closed | Clearance::Draining => false,
        }
    }

    /// Completes the requests that have ended. Returns the number of those affected by the defect.
    fn complete_due(&mut self, now: Instant) -> u32 {
        let (completed, running): (Vec<_>, Vec<_>) = self
            .in_flight
            .drain(..)
            .partition(|request| request.end <= now);
        self.in_flight = running;
        for request in &completed {
            let time = request.end.since(request.start);
            self.stats.ended(request.route, request.failed, time);
        }
        completed.iter().filter(|request| request.defective).count() as u32
    }

    fn evidence(&self, service: &ServiceName, order: OrderId, clearance: Clearance) -> Evidence {
        Evidence {
            service: service.clone(),
            order,
            side: self.side,
            epoch: 1,
            ready: true,
            open: matches!(clearance, Clearance::Open | Clearance::OnCredit),
            arrived: self.stats.arrivals(),
            running: self.in_flight.len() as u32,
            routes: self.stats.routes(),
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
