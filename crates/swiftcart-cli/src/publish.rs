//! Publishing with at-most-once effect, also when answers of the platform are late or lost.

use std::path::Path;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use swiftcart_core::{
    Body, Edit, Entry, Envelope, MAX_RECORD_BYTES, Offset, PriorDecision, Publish, PublishId,
    Rejection, Table, Verdict, Version,
};
use swiftcart_platform::{AppendOutcome, Platform, PlatformError};

use crate::{
    CONFIG_STREAM, DecidedPublish, Error, PublishOptions, ReadError, ReadOptions, Retry, Sheet,
    StreamReader, plan,
};

/// Long-poll time of one read for the record that was just appended.
const POLL_WAIT: Duration = Duration::from_secs(1);

/// Publish and its decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Published {
    /// Id of the publish. Appending the publish again with this id has no effect.
    pub id: PublishId,
    /// Rows that the publish changes.
    pub edits: Vec<Edit>,
    /// Decision on the publish.
    pub decision: Decision,
}

/// Outcome of a publish.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The table has these rows already as of this version; nothing was appended.
    Unchanged(Version),
    /// The publish was accepted as this version.
    Accepted(Version),
    /// The publish was rejected; the table is unchanged.
    Rejected(Rejection),
}

impl Decision {
    /// Returns the version that has the requested rows, or `None` if the publish was rejected.
    #[must_use]
    pub const fn version(&self) -> Option<Version> {
        match self {
            Self::Unchanged(version) | Self::Accepted(version) => Some(*version),
            Self::Rejected(_) => None,
        }
    }
}

/// Publishes `sheet` for `author` and reads the log until the decision is known.
///
/// # Errors
///
/// [`Error::Platform`] if nothing was published, [`Error::OutcomeUnknown`] if the publish may have
/// been appended, and errors in the sheet.
pub async fn publish(
    platform: &Platform,
    sheet: &Sheet,
    author: &str,
    options: &PublishOptions,
    (retry, rng): (&mut Retry, &mut SmallRng),
) -> Result<Published, Error> {
    let base = base_version(&options.file, sheet, options.base)?;
    let id = options.id.unwrap_or_else(|| PublishId(rng.random()));
    let read_options = ReadOptions {
        version: Some(base),
        publish_id: Some(id),
        history_limit: 0,
    };
    let reader = StreamReader::open(platform, read_options, retry).await?;
    let edits = match reader.requested_table() {
        Some(table) => Some(plan(sheet, table, &options.scope)?),
        None => None,
    };
    if let Some(decision) = decision_on(&reader, id) {
        let edits = published_edits(&reader, id, edits)?;
        return Ok(Published {
            id,
            edits,
            decision,
        });
    }
    let current = reader.fold().version();
    let edits = edits.ok_or(Error::UnknownVersion(base, current))?;
    let publish = Publish {
        id,
        author: author.into(),
        base,
        edits,
    };
    let decision = match predict(&reader, &publish) {
        Some(decision) => decision,
        None => append_until_decided(platform, reader, &publish, retry).await?,
    };
    Ok(Published {
        id,
        edits: publish.edits,
        decision,
    })
}

/// Publishes the edits that `edits` returns for the current table, for `author`.
///
/// # Errors
///
/// The same errors as [`publish`], and the error of `edits`.
pub async fn publish_edits(
    platform: &Platform,
    author: &str,
    edits: impl FnOnce(&Table) -> Result<Vec<Edit>, Error>,
    (retry, rng): (&mut Retry, &mut SmallRng),
) -> Result<Published, Error> {
    let reader = StreamReader::open(platform, ReadOptions::default(), retry).await?;
    let publish = Publish {
        id: PublishId(rng.random()),
        author: author.into(),
        base: reader.fold().version(),
        edits: edits(reader.fold().table())?,
    };
    let decision = match predict(&reader, &publish) {
        Some(decision) => decision,
        None => append_until_decided(platform, reader, &publish, retry).await?,
    };
    Ok(Published {
        id: publish.id,
        edits: publish.edits,
        decision,
    })
}

/// Returns the base version: the explicit one, or else that of the sheet.
pub(crate) fn base_version(
    file: &Path,
    sheet: &Sheet,
    explicit: Option<Version>,
) -> Result<Version, Error> {
    explicit
        .or(sheet.base)
        .ok_or_else(|| Error::MissingBase(file.into()))
}

/// Returns the decision on the publish `id`, if the log has one.
fn decision_on(reader: &StreamReader<'_>, id: PublishId) -> Option<Decision> {
    match reader.requested_publish().map(|found| &found.verdict) {
        Some(Verdict::Accepted(version)) => Some(Decision::Accepted(*version)),
        Some(Verdict::Rejected(Rejection::Repeated(PriorDecision::Accepted(version)))) => {
            Some(Decision::Accepted(*version))
        }
        Some(Verdict::Rejected(rejection)) => Some(Decision::Rejected(rejection.clone())),
        _ => match reader.fold().prior_decision(id)? {
            PriorDecision::Accepted(version) => Some(Decision::Accepted(version)),
            rejected => Some(Decision::Rejected(Rejection::Repeated(rejected))),
        },
    }
}

/// Returns the edits that were published with `id`, or an error if `edits` differ from these.
fn published_edits(
    reader: &StreamReader<'_>,
    id: PublishId,
    edits: Option<Vec<Edit>>,
) -> Result<Vec<Edit>, Error> {
    match (
        reader
            .requested_publish()
            .map(|found: &DecidedPublish| &found.publish),
        edits,
    ) {
        (Some(publish), Some(edits)) if publish.edits != edits => Err(Error::IdReused(id)),
        (Some(publish), _) => Ok(publish.edits.clone()),
        (None, edits) => Ok(edits.unwrap_or_default()),
    }
}

/// Returns the decision if it is certain before the append, so that a publish that would be
/// rejected is not appended.
fn predict(reader: &StreamReader<'_>, publish: &Publish) -> Option<Decision> {
    let fold = reader.fold();
    let is_applied = |edit: &Edit| fold.table().0.get(&edit.key) == edit.row.as_ref();
    if publish.edits.iter().all(is_applied) {
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

/// Appends the publish, with retries, until the log has a decision on its id.
async fn append_until_decided(
    platform: &Platform,
    mut reader: StreamReader<'_>,
    publish: &Publish,
    retry: &mut Retry,
) -> Result<Decision, Error> {
    let body = encode(publish);
    if body.len() > MAX_RECORD_BYTES {
        return Err(Error::PublishTooLarge(body.len(), MAX_RECORD_BYTES));
    }
    let mut append_outcome = AppendOutcome::NotTaken;
    loop {
        let failure = match platform.append(CONFIG_STREAM, &body).await {
            Ok(appended) => return read_decision(reader, publish.id, appended.offset, retry).await,
            Err(failure) => failure,
        };
        if failure.append_outcome() == AppendOutcome::Unknown {
            append_outcome = AppendOutcome::Unknown;
        }
        if append_outcome == AppendOutcome::Unknown
            && let Some(decision) = check_decision(&mut reader, publish.id).await?
        {
            return Ok(decision);
        }
        if is_permanent(&failure) || !retry.wait(failure.retry_after()).await {
            return Err(match append_outcome {
                AppendOutcome::NotTaken => Error::Platform(platform.addr(), failure),
                AppendOutcome::Unknown => Error::OutcomeUnknown(publish.id, failure),
            });
        }
    }
}

/// Returns `true` if the platform refuses this append on every attempt.
const fn is_permanent(failure: &PlatformError) -> bool {
    matches!(
        failure,
        PlatformError::TooLarge | PlatformError::Refused { status: 400..=499 }
    )
}

/// Reads the log once and returns the decision on `id`, if any. An unreachable platform is not an
/// error.
async fn check_decision(
    reader: &mut StreamReader<'_>,
    id: PublishId,
) -> Result<Option<Decision>, Error> {
    match reader.catch_up(Duration::ZERO).await {
        Err(ReadError::Fatal(e)) => Err(e),
        Ok(()) | Err(ReadError::Platform(_) | ReadError::Gap) => Ok(decision_on(reader, id)),
    }
}

/// Reads the log up to the appended record at `offset`, which carries the decision.
async fn read_decision(
    mut reader: StreamReader<'_>,
    id: PublishId,
    offset: Offset,
    retry: &mut Retry,
) -> Result<Decision, Error> {
    loop {
        let failure = match reader.catch_up(POLL_WAIT).await {
            Ok(()) => PlatformError::Timeout,
            Err(ReadError::Platform(e)) => e,
            // The record was appended, but records before it expired before they were read.
            Err(ReadError::Gap) => return Err(Error::OutcomeUnknown(id, PlatformError::Malformed)),
            Err(ReadError::Fatal(e)) => return Err(e),
        };
        match decision_on(&reader, id) {
            Some(decision) => return Ok(decision),
            None if reader.fold().position() > offset => {
                return Err(Error::OutcomeUnknown(id, PlatformError::Malformed));
            }
            None if !retry.wait(failure.retry_after()).await => {
                return Err(Error::OutcomeUnknown(id, failure));
            }
            None => {}
        }
    }
}
