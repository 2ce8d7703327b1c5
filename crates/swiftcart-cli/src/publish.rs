//! Publishes a sheet once, whatever becomes of the platform's answers.

use std::path::Path;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use swiftcart_core::{
    Body, Edit, Entry, Envelope, MAX_RECORD_BYTES, Offset, PriorDecision, Publish, PublishId,
    Rejection, Table, Verdict, Version,
};
use swiftcart_platform::{AppendOutcome, Platform, PlatformError};

use crate::{Decided, Error, Journal, Keep, Publishing, Retry, STREAM, Sheet, Stop, plan};

/// How long one read waits for the record that was just appended.
const POLL: Duration = Duration::from_secs(1);

/// Tells what became of a publish.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Published {
    /// Names the publish; a repeat with it is harmless.
    pub id: PublishId,
    /// The rows that it changes.
    pub edits: Vec<Edit>,
    /// The decision.
    pub decision: Decision,
}

/// What became of a publish.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The table reads so already, as of this version; nothing was appended.
    Unchanged(Version),
    /// It is in force as this version.
    Accepted(Version),
    /// Nothing changed.
    Rejected(Rejection),
}

impl Decision {
    /// Returns the version that holds what was asked for.
    #[must_use]
    pub const fn version(&self) -> Option<Version> {
        match self {
            Self::Unchanged(version) | Self::Accepted(version) => Some(*version),
            Self::Rejected(_) => None,
        }
    }
}

/// Publishes `sheet` as `author` asks, and reads the log until the decision is known.
///
/// # Errors
///
/// [`Error::Platform`] when surely nothing was published, [`Error::Unsettled`] when
/// the publish may have been taken, and whatever is wrong with the sheet.
pub async fn publish(
    platform: &Platform,
    sheet: &Sheet,
    author: &str,
    wanted: &Publishing,
    (retry, rng): (&mut Retry, &mut SmallRng),
) -> Result<Published, Error> {
    let base = base(&wanted.file, sheet, wanted.base)?;
    let id = wanted.id.unwrap_or_else(|| PublishId(rng.random()));
    let keep = Keep {
        version: Some(base),
        id: Some(id),
        decided: 0,
    };
    let journal = Journal::open(platform, keep, retry).await?;
    let edits = match journal.kept() {
        Some(table) => Some(plan(sheet, table, &wanted.scope)?),
        None => None,
    };
    if let Some(decision) = earlier(&journal, id) {
        let edits = settled(&journal, id, edits)?;
        return Ok(Published {
            id,
            edits,
            decision,
        });
    }
    let current = journal.fold().version();
    let edits = edits.ok_or(Error::NoVersion(base, current))?;
    let publish = Publish {
        id,
        author: author.into(),
        base,
        edits,
    };
    let decision = match foresee(&journal, &publish) {
        Some(decision) => decision,
        None => settle(platform, journal, &publish, retry).await?,
    };
    Ok(Published {
        id,
        edits: publish.edits,
        decision,
    })
}

/// Publishes what `edits` makes of the current table, as `author`.
///
/// # Errors
///
/// The same as [`publish`], and what `edits` returns.
pub async fn amend(
    platform: &Platform,
    author: &str,
    edits: impl FnOnce(&Table) -> Result<Vec<Edit>, Error>,
    (retry, rng): (&mut Retry, &mut SmallRng),
) -> Result<Published, Error> {
    let journal = Journal::open(platform, Keep::default(), retry).await?;
    let publish = Publish {
        id: PublishId(rng.random()),
        author: author.into(),
        base: journal.fold().version(),
        edits: edits(journal.fold().table())?,
    };
    let decision = match foresee(&journal, &publish) {
        Some(decision) => decision,
        None => settle(platform, journal, &publish, retry).await?,
    };
    Ok(Published {
        id: publish.id,
        edits: publish.edits,
        decision,
    })
}

/// Returns the version that the sheet was made from.
pub(crate) fn base(file: &Path, sheet: &Sheet, over: Option<Version>) -> Result<Version, Error> {
    over.or(sheet.base)
        .ok_or_else(|| Error::NoBase(file.into()))
}

/// Returns the decision on the id, when the log has one.
fn earlier(journal: &Journal<'_>, id: PublishId) -> Option<Decision> {
    match journal.own().map(|own| &own.verdict) {
        Some(Verdict::Accepted(version)) => Some(Decision::Accepted(*version)),
        Some(Verdict::Rejected(Rejection::Repeated(PriorDecision::Accepted(version)))) => {
            Some(Decision::Accepted(*version))
        }
        Some(Verdict::Rejected(rejection)) => Some(Decision::Rejected(rejection.clone())),
        _ => match journal.fold().prior_decision(id)? {
            PriorDecision::Accepted(version) => Some(Decision::Accepted(version)),
            rejected => Some(Decision::Rejected(Rejection::Repeated(rejected))),
        },
    }
}

/// Returns the edits that were published with the id, unless others are asked for now.
fn settled(
    journal: &Journal<'_>,
    id: PublishId,
    edits: Option<Vec<Edit>>,
) -> Result<Vec<Edit>, Error> {
    match (journal.own().map(|own: &Decided| &own.publish), edits) {
        (Some(publish), Some(edits)) if publish.edits != edits => Err(Error::Reused(id)),
        (Some(publish), _) => Ok(publish.edits.clone()),
        (None, edits) => Ok(edits.unwrap_or_default()),
    }
}

/// Decides what the log already decides, so that a lost publish costs no append.
fn foresee(journal: &Journal<'_>, publish: &Publish) -> Option<Decision> {
    let fold = journal.fold();
    let held = |edit: &Edit| fold.table().0.get(&edit.key) == edit.row.as_ref();
    if publish.edits.iter().all(held) {
        return Some(Decision::Unchanged(fold.version()));
    }
    let entry = Entry {
        offset: fold.position(),
        at_ms: 0,
        body: encode(publish),
    };
    match fold.clone().apply(&entry) {
        Ok(Verdict::Rejected(rejection)) => Some(Decision::Rejected(rejection)),
        _ => None,
    }
}

fn encode(publish: &Publish) -> String {
    Envelope::new(Body::Publish(publish.clone())).encode()
}

/// Appends the publish until the log shows a decision on its id.
async fn settle(
    platform: &Platform,
    mut journal: Journal<'_>,
    publish: &Publish,
    retry: &mut Retry,
) -> Result<Decision, Error> {
    let body = encode(publish);
    if body.len() > MAX_RECORD_BYTES {
        return Err(Error::Record(body.len(), MAX_RECORD_BYTES));
    }
    let mut append_outcome = AppendOutcome::NotTaken;
    loop {
        let failure = match platform.append(STREAM, &body).await {
            Ok(appended) => return follow(journal, publish.id, appended.offset, retry).await,
            Err(failure) => failure,
        };
        if failure.append_outcome() == AppendOutcome::Unknown {
            append_outcome = AppendOutcome::Unknown;
        }
        if append_outcome == AppendOutcome::Unknown
            && let Some(decision) = look(&mut journal, publish.id).await?
        {
            return Ok(decision);
        }
        if is_final(&failure) || !retry.wait(failure.retry_after()).await {
            return Err(match append_outcome {
                AppendOutcome::NotTaken => Error::Platform(platform.addr(), failure),
                AppendOutcome::Unknown => Error::Unsettled(publish.id, failure),
            });
        }
    }
}

/// Tells whether the platform will refuse the same append always.
const fn is_final(failure: &PlatformError) -> bool {
    matches!(
        failure,
        PlatformError::TooLarge | PlatformError::Refused { status: 400..=499 }
    )
}

/// Looks once for a decision on the id; a platform out of reach shows none.
async fn look(journal: &mut Journal<'_>, id: PublishId) -> Result<Option<Decision>, Error> {
    match journal.catch_up(Duration::ZERO).await {
        Err(Stop::Final(e)) => Err(e),
        Ok(()) | Err(Stop::Platform(_) | Stop::Gap) => Ok(earlier(journal, id)),
    }
}

/// Reads up to the record that was appended, where the decision is.
async fn follow(
    mut journal: Journal<'_>,
    id: PublishId,
    offset: Offset,
    retry: &mut Retry,
) -> Result<Decision, Error> {
    loop {
        let failure = match journal.catch_up(POLL).await {
            Ok(()) => PlatformError::Timeout,
            Err(Stop::Platform(e)) => e,
            // The record was taken; it is the reader that lost track.
            Err(Stop::Gap) => return Err(Error::Unsettled(id, PlatformError::Malformed)),
            Err(Stop::Final(e)) => return Err(e),
        };
        match earlier(&journal, id) {
            Some(decision) => return Ok(decision),
            None if journal.fold().position() > offset => {
                return Err(Error::Unsettled(id, PlatformError::Malformed));
            }
            None if !retry.wait(failure.retry_after()).await => {
                return Err(Error::Unsettled(id, failure));
            }
            None => {}
        }
    }
}
