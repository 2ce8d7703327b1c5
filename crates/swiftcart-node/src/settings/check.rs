//! Checks of values beyond the constraints of their types.

use std::net::SocketAddr;

use super::{LinkSettings, MeshKey, Retries, Settings, SettingsError};

/// Maximum length of the name of a failure domain, in bytes.
const MAX_DOMAIN: usize = 63;

/// Path of a number, its value, and the least and greatest allowed values.
type CheckedRange = (&'static str, u64, u64, u64);

/// Checks all values of `settings`.
pub(super) fn check(file: &str, settings: &Settings) -> Result<(), SettingsError> {
    ranges(settings)
        .into_iter()
        .find(|(_, value, min, max)| !(min..=max).contains(&value))
        .map_or(Ok(()), |(path, value, min, max)| {
            Err(SettingsError::Range(file.into(), path, value, min, max))
        })?;
    domain(file, &settings.domain.0)?;
    retries(file, settings.retries)?;
    link(file, settings.link)?;
    check_kill_time(file, settings.stop.kill_s)?;
    mesh_key(file, &settings.mesh_key)?;
    addresses(file, settings)
}

fn ranges(settings: &Settings) -> Vec<CheckedRange> {
    let limits = &settings.limits;
    let gossip = &settings.gossip;
    let platform = &settings.platform;
    let stop = &settings.stop;
    vec![
        ("threads", settings.threads.into(), 0, 1024),
        ("platform.timeout_ms", platform.timeout_ms, 10, 60_000),
        ("platform.retention_s", platform.retention_s, 60, 31_536_000),
        (
            "limits.header_bytes",
            limits.header_bytes.into(),
            8192,
            1 << 20,
        ),
        ("limits.headers", limits.headers.into(), 16, 1000),
        ("limits.connections", limits.connections.into(), 1, 1 << 20),
        ("limits.queue", limits.queue.into(), 0, 65_536),
        ("limits.queue_ms", limits.queue_ms.into(), 0, 60_000),
        (
            "limits.header_timeout_ms",
            limits.header_timeout_ms.into(),
            10,
            600_000,
        ),
        (
            "limits.body_timeout_ms",
            limits.body_timeout_ms.into(),
            10,
            3_600_000,
        ),
        (
            "limits.idle_timeout_ms",
            limits.idle_timeout_ms.into(),
            10,
            600_000,
        ),
        (
            "limits.peer_idle_ms",
            limits.peer_idle_ms.into(),
            10,
            600_000,
        ),
        (
            "limits.longest_ms",
            limits.longest_ms.into(),
            1000,
            604_800_000,
        ),
        (
            "limits.connect_timeout_ms",
            limits.connect_timeout_ms.into(),
            10,
            60_000,
        ),
        (
            "limits.idle_connections",
            limits.idle_connections.into(),
            0,
            4096,
        ),
        (
            "limits.replay_bytes",
            limits.replay_bytes.into(),
            0,
            16 << 20,
        ),
        ("limits.keyed_bytes", limits.keyed_bytes.into(), 0, 64 << 20),
        (
            "limits.answer_store_bytes",
            limits.answer_store_bytes.into(),
            0,
            1 << 30,
        ),
        ("limits.bodies", limits.bodies.into(), 1, 65_536),
        ("limits.keep_alive_s", limits.keep_alive_s.into(), 0, 600),
        ("limits.held_bytes", limits.held_bytes.into(), 0, 16 << 20),
        (
            "limits.announce_ms",
            limits.announce_ms.into(),
            100,
            600_000,
        ),
        (
            "limits.heartbeat_ms",
            limits.heartbeat_ms.into(),
            0,
            150_000,
        ),
        ("stop.linger_ms", stop.linger_ms.into(), 0, 600_000),
        ("stop.notice_ms", stop.notice_ms.into(), 0, 60_000),
        ("stop.grace_ms", stop.grace_ms.into(), 0, 3_600_000),
        ("gossip.probe_ms", gossip.probe_ms.into(), 10, 60_000),
        (
            "gossip.ack_ms",
            gossip.ack_ms.into(),
            1,
            u64::from(gossip.probe_ms),
        ),
        ("gossip.indirect", gossip.indirect.into(), 0, 16),
        (
            "gossip.suspicion_ms",
            gossip.suspicion_ms.into(),
            10,
            600_000,
        ),
        ("gossip.fanout", gossip.fanout.into(), 1, 64),
        ("gossip.readers", gossip.readers.into(), 1, 64),
        ("gossip.remember_s", gossip.remember_s.into(), 1, 31_536_000),
    ]
}

fn check_kill_time(file: &str, secs: f64) -> Result<(), SettingsError> {
    match secs {
        0.0 | 1.0..=3600.0 => Ok(()),
        _ => {
            let value = secs.to_string();
            let fix = "use 0 or a number from 1 to 3600";
            Err(SettingsError::Rule(
                file.into(),
                "stop.kill_s".into(),
                value,
                fix,
            ))
        }
    }
}

fn retries(file: &str, retries: Option<Retries>) -> Result<(), SettingsError> {
    let refuse = |path: &str, value: String, fix| {
        let path = format!("retries.{path}");
        Err(SettingsError::Rule(file.into(), path, value, fix))
    };
    match retries {
        Some(r) if !(0.0..=10.0).contains(&r.share) => {
            refuse("share", r.share.to_string(), "use a number from 0 to 10")
        }
        Some(r) if !(0.0..=1e9).contains(&r.floor) => {
            refuse("floor", r.floor.to_string(), "use a number from 0 to 1e9")
        }
        Some(r) if !(1..=3600).contains(&r.window_s) => refuse(
            "window_s",
            r.window_s.to_string(),
            "use a number from 1 to 3600",
        ),
        Some(_) | None => Ok(()),
    }
}

fn link(file: &str, link: LinkSettings) -> Result<(), SettingsError> {
    match (0.0..=1e6).contains(&link.mbit_s) {
        true => Ok(()),
        false => Err(SettingsError::Rule(
            file.into(),
            "link.mbit_s".into(),
            link.mbit_s.to_string(),
            "use a number from 0 to 1e6",
        )),
    }
}

fn domain(file: &str, name: &str) -> Result<(), SettingsError> {
    let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    match name.len() {
        1..=MAX_DOMAIN if name.bytes().all(is_allowed) => Ok(()),
        _ => Err(SettingsError::Rule(
            file.into(),
            "domain".into(),
            format!("{name:?}"),
            "use 1 to 63 of the characters a-z, 0-9 and -",
        )),
    }
}

fn mesh_key(file: &str, key: &MeshKey) -> Result<(), SettingsError> {
    match key.as_str().len() {
        MeshKey::MIN_LEN.. => Ok(()),
        len => Err(SettingsError::Rule(
            file.into(),
            "mesh_key".into(),
            format!("a key of {len} characters"),
            "use at least 32 characters, the same on every node",
        )),
    }
}

fn addresses(file: &str, settings: &Settings) -> Result<(), SettingsError> {
    let listen = &settings.listen;
    let own_listeners = [
        ("listen.calls", listen.calls),
        ("listen.peer", listen.peer),
        ("listen.admin", listen.admin),
        ("listen.gossip", listen.gossip),
        ("listen.sync", listen.sync),
    ];
    let peer_addrs = own_listeners
        .iter()
        .skip(1)
        .map(|(path, addr)| ((*path).into(), *addr));
    let seeds = settings.seeds.iter().enumerate();
    let seeds = seeds.map(|(i, addr)| (format!("seeds[{i}]"), *addr));
    peer_addrs
        .chain(seeds)
        .chain([("platform.addr".into(), settings.platform.addr)])
        .try_for_each(|(path, addr)| reachable(file, path, addr))?;
    let also = listen.also.iter().map(|addr| ("listen.also", *addr));
    let tcp: Vec<_> = [
        own_listeners[0],
        own_listeners[1],
        own_listeners[2],
        own_listeners[4],
    ]
    .into_iter()
    .chain(also)
    .collect();
    tcp.iter()
        .enumerate()
        .find(|(i, (_, addr))| tcp[..*i].iter().any(|(_, other)| other == addr))
        .map_or(Ok(()), |(_, (path, addr))| {
            Err(SettingsError::Rule(
                file.into(),
                (*path).into(),
                addr.to_string(),
                "give each listener a port of its own",
            ))
        })
}

fn reachable(file: &str, path: String, addr: SocketAddr) -> Result<(), SettingsError> {
    match addr.ip().is_unspecified() || addr.port() == 0 {
        false => Ok(()),
        true => Err(SettingsError::Rule(
            file.into(),
            path,
            addr.to_string(),
            "use an address and port that other processes reach, neither 0.0.0.0 nor port 0",
        )),
    }
}
