//! Follows configuration and members for the other parts of the node.
//!
//! First version: reads the platform's log directly and knows the members that
//! it is given; the membership protocol replaces it.

use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use swiftcart_core::{Fold, Incarnation, Liveness, Member, Verdict, View};
use swiftcart_platform::Platform;
use tokio::time::sleep;

use crate::logging::{Event, unix_ms};
use crate::shared::{Phase, Progress, Shared};

/// The stream that operators publish to.
const STREAM: &str = "config";

/// The longest wait for new records, after which the view is built anew in any case.
const WAIT: Duration = Duration::from_secs(1);

/// The pause after the platform could not be read.
const PAUSE: Duration = Duration::from_secs(1);

/// Records read at once.
const BATCH: u32 = 100;

/// Keeps the routing view of `shared` until the node has stopped.
pub async fn run(shared: Arc<Shared>) {
    let platform = Platform::new(shared.settings.platform.addr)
        .with_timeout(shared.settings.platform.timeout());
    let mut fold = Fold::new();
    let mut backend = shared.backend.subscribe();
    loop {
        backend.borrow_and_update();
        join(&shared, &fold);
        tokio::select! {
            () = shared.stopping.cancelled() => return,
            _ = backend.changed() => {}
            () = read(&shared, &platform, &mut fold) => {}
        }
    }
}

async fn read(shared: &Shared, platform: &Platform, fold: &mut Fold) {
    let page = platform.read(STREAM, fold.position(), BATCH, WAIT).await;
    let page = match page {
        Ok(page) => page,
        Err(err) => {
            warn!(shared.logger, ""; "event" => Event::PlatformDown, "error" => %err);
            sleep(PAUSE).await;
            return;
        }
    };
    let mut stalled_rule = None;
    for entry in &page.entries {
        match fold.apply(entry) {
            Ok(Verdict::UnknownRule(rule)) => stalled_rule = Some(rule),
            Ok(Verdict::Accepted(version)) => {
                info!(shared.logger, ""; "event" => Event::Applied, "version" => %version);
            }
            Ok(_) => {}
            Err(err) => {
                warn!(shared.logger, ""; "event" => Event::Stalled, "error" => %err);
                break;
            }
        }
    }
    shared.progress.store(Arc::new(Progress {
        version: fold.version(),
        position: fold.position(),
        digest: fold.digest(),
        stalled_rule,
    }));
    if fold.position() >= page.next && shared.enter(Phase::Ready) {
        info!(shared.logger, ""; "event" => Event::Phase, "phase" => Phase::Ready.as_str());
    }
}

/// Puts the table and the members in force.
fn join(shared: &Shared, fold: &Fold) {
    let mut members = shared.members.load().as_ref().clone();
    members.retain(|member| member.id != shared.id);
    members.push(own(shared));
    let domain = &shared.settings.domain;
    let table = Arc::clone(fold.table());
    let view = View::new(fold.version(), &table, members.iter(), shared.id, domain);
    shared.members.store(Arc::new(members));
    shared.adopt(table, view);
}

fn own(shared: &Shared) -> Member {
    let listen = &shared.settings.listen;
    Member {
        id: shared.id,
        sync: listen.sync,
        peer: listen.peer,
        admin: listen.admin,
        domain: shared.settings.domain.clone(),
        incarnation: Incarnation(unix_ms()),
        liveness: Liveness::Alive,
        backend: shared.backend.borrow().clone(),
    }
}
