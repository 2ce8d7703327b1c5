//! Publishes the state of the control loop to the other parts of the node.

use std::sync::Arc;

use slog::info;
use swiftcart_core::{Instant, Locality, Member, NotReady, Version, View};

use super::control_loop::Control;
use super::stream::Stream;
use crate::config::Config;
use crate::logging::Event;
use crate::shared::{Phase, Progress};

/// Returns the phase of the node: ready to serve, or the condition that it waits for.
pub(super) fn phase(control: &mut Control, now: Instant) -> Phase {
    let members_known = control.members_known(now);
    match control.stream.served(now) {
        Ok(_) if members_known => Phase::Ready,
        Ok(_) => Phase::NoMembers,
        Err(e) => not_ready_phase(e),
    }
}

/// Publishes the position in the stream and the phase of the node.
pub(super) fn progress(control: &mut Control, now: Instant) {
    let shared = Arc::clone(&control.shared);
    let phase = phase(control, now);
    let served = control.stream.served(now).map(Config::version);
    let version = match served {
        Ok(version) => version,
        Err(_) => shared.progress.load().version,
    };
    let new = progress_of(&control.stream, version);
    if **shared.progress.load() != new {
        shared.progress.store(Arc::new(new));
    }
    if shared.enter(phase) {
        let reason = served.err().map(|e| e.to_string()).unwrap_or_default();
        info!(shared.logger, ""; "event" => Event::Phase, "phase" => phase.as_str(), "reason" => reason);
    }
}

/// Builds the routing view and replaces the current one.
pub(super) fn view(control: &mut Control, now: Instant) {
    let shared = Arc::clone(&control.shared);
    let members: Vec<Member> = control.membership.members().cloned().collect();
    shared.members.store(Arc::new(members));
    let Ok(config) = control.stream.served(now).cloned() else {
        return;
    };
    let version = config.version();
    let membership = &control.membership;
    let routable = || membership.members().filter(|m| membership.routable(m.id));
    let old = shared.view.load();
    let settings = &shared.settings;
    let place = Locality::new(&settings.domain).with_regions(&settings.regions);
    let routes = Arc::clone(config.routes());
    let view = match control.mark_drained(routable()) {
        Some(members) => View::with_routes(routes, members.iter(), shared.id, place),
        None => View::with_routes(routes, routable(), shared.id, place),
    };
    if old.version() != version {
        info!(shared.logger, ""; "event" => Event::Applied, "version" => version.0,
            "digest" => %control.stream.source.digest());
    }
    shared.adopt(config, view);
}

const fn not_ready_phase(reason: NotReady) -> Phase {
    match reason {
        NotReady::BehindPeer(..) => Phase::BelowFloor,
        _ => Phase::NoConfig,
    }
}

/// Returns the stream state that operators see.
fn progress_of(stream: &Stream, version: Version) -> Progress {
    Progress {
        version,
        position: stream.source.position(),
        digest: stream.source.digest(),
        stalled_rule: stream.source.stalled(),
    }
}
