//! Fair shares of client accounts, simulated in virtual time: nodes mark requests, and one service
//! with room for half of them serves those within a share first.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use swiftcart_core::{AccountTag, FairShares, Instant, ShareStanding};

/// Number of nodes that mark requests.
const NODES: usize = 12;

/// Step of the virtual time.
const STEP_MS: u64 = 10;

/// Simulated time.
const TIME_MS: u64 = 400_000;

/// Time after which requests are counted.
const WARM_UP_MS: u64 = 15_000;

/// Number of requests that may wait at the service.
const QUEUE_LEN: usize = 20;

/// Requests per second of each account.
type Demands = Vec<f64>;

/// Twenty accounts that ask for the same, of which the first asks for `factor` times as much.
fn even_accounts(factor: f64) -> Demands {
    let mut demands = vec![20.0; 20];
    demands[0] *= factor;
    demands
}

/// Forty accounts of which most ask for little.
fn uneven_accounts(factor: f64) -> Demands {
    let mut demands: Demands = (1..=40).map(|rank| 80.0 / f64::from(rank)).collect();
    demands[0] *= factor;
    demands
}

/// Simulates the demands at a service with room for `room` requests per second. Returns the requests per second that
/// were sent and served for each account.
fn simulate(demands: &[f64], room: f64, shares_apply: bool, seed: u64) -> (Demands, Vec<f64>) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut nodes = vec![FairShares::new(); NODES];
    let (mut sent, mut served) = (vec![0_u32; demands.len()], vec![0_u32; demands.len()]);
    let (mut tokens, mut queue) = (0.0, Vec::new());
    for ms in (0..TIME_MS).step_by(STEP_MS as usize) {
        let now = Instant::from_millis(ms);
        for (account, demand) in demands.iter().enumerate() {
            let mean = demand * STEP_MS as f64 / 1000.0;
            let number = mean as usize + usize::from(rng.random::<f64>() < mean.fract());
            for _ in 0..number {
                let node = rng.random_range(0..NODES);
                let tag = AccountTag(account as u64);
                let decision = nodes[node].ask(now, tag, 1.0, true, &mut rng);
                let standing = match shares_apply {
                    true => decision.standing,
                    false => ShareStanding::Within,
                };
                sent[account] += u32::from(ms >= WARM_UP_MS);
                queue.push((standing, rng.random::<u32>(), node, account));
            }
        }
        queue.sort_unstable();
        tokens += room * STEP_MS as f64 / 1000.0;
        let starting = queue.len().min(tokens as usize);
        tokens = (tokens - starting as f64).min(1.0);
        for (_, _, node, account) in queue.drain(..starting) {
            nodes[node].served(now);
            served[account] += u32::from(ms >= WARM_UP_MS);
        }
        for (_, _, node, _) in queue.drain(QUEUE_LEN.min(queue.len())..) {
            nodes[node].refused(now);
        }
    }
    let secs = (TIME_MS - WARM_UP_MS) as f64 / 1000.0;
    let rates = |counts: Vec<u32>| counts.iter().map(|n| f64::from(*n) / secs).collect();
    (rates(sent), rates(served))
}

/// Returns the max-min share of each account.
fn max_min(demands: &[f64], room: f64) -> Vec<f64> {
    let (mut low, mut high) = (0.0, room);
    for _ in 0..100 {
        let level = (low + high) / 2.0;
        let used: f64 = demands.iter().map(|demand| demand.min(level)).sum();
        match used > room {
            true => high = level,
            false => low = level,
        }
    }
    demands.iter().map(|demand| demand.min(low)).collect()
}

#[rstest]
#[case::even(even_accounts)]
#[case::uneven(uneven_accounts)]
fn greedy_account_takes_no_room_of_others(
    #[case] demands: fn(f64) -> Demands,
    #[values(1, 2, 3)] seed: u64,
) {
    let (usual, greedy) = (demands(1.0), demands(6.0));
    let room = greedy.iter().sum::<f64>() / 2.0;
    let before = max_min(&usual, room);
    let (sent, served) = simulate(&greedy, room, true, seed);
    let owed = max_min(&sent, room);
    let kept = served.iter().zip(before.iter().zip(&owed));
    let kept = kept.map(|(got, (before, owed))| got / before.min(*owed));
    let least = kept.skip(1).fold(f64::INFINITY, f64::min);
    assert!(least >= 0.95, "an account keeps only {least:.3}");
    let ratios: Vec<f64> = served
        .iter()
        .zip(&owed)
        .map(|(got, owed)| got / owed)
        .collect();
    let sum: f64 = ratios.iter().sum();
    let squares: f64 = ratios.iter().map(|ratio| ratio * ratio).sum();
    let index = sum * sum / (ratios.len() as f64 * squares);
    assert!(index >= 0.95, "Jain's index {index:.3}");
    let used = served.iter().sum::<f64>() / room;
    assert!(used >= 0.97, "{used:.3} of the room was used");
}

#[test]
fn all_requests_are_within_their_share_while_there_is_room() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut shares = FairShares::new();
    let is_within = |ms| {
        let now = Instant::from_millis(ms);
        let decision = shares.ask(now, AccountTag(ms % 3 / 2), 1.0, true, &mut rng);
        shares.served(now);
        decision.standing == ShareStanding::Within
    };
    assert!((0..10_000).all(is_within));
}
