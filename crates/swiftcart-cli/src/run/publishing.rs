//! Execution of the command `table publish` and its report.

use std::time::Duration;

use serde_json::{Value, json};
use swiftcart_core::{Rejection, Version};

use super::{author, nodes, platform, progress, retry, rng, sheet};
use crate::{
    AdminClient, Decision, Error, Exit, Fault, PublishOptions, Published, Report, Settings, Sheet,
    Straggler, publish as publish_sheet, render, wait_for_version,
};

/// Maximum number of stragglers that a progress line names.
const MAX_NAMED_STRAGGLERS: usize = 5;

/// Publishes a sheet and, with `--wait`, waits until all live nodes have its version.
pub(super) async fn publish(
    settings: &Settings,
    options: &PublishOptions,
) -> Result<Report, Error> {
    let author = author(settings)?;
    if options.wait.is_some() {
        nodes(settings)?;
    }
    let platform = platform(settings)?;
    let sheet = sheet(&options.file)?;
    let (mut retry, mut rng) = (retry(settings)?, rng()?);
    let retry_and_rng = (&mut retry, &mut rng);
    let published = publish_sheet(&platform, &sheet, &author, options, retry_and_rng).await?;
    let report = publish_report(&published, &sheet, options);
    match (published.decision.version(), options.wait) {
        (Some(version), Some(limit)) => wait(settings, version, limit, report).await,
        _ => Ok(report),
    }
}

/// Describes a straggler by node, failure domain and version or error.
pub(super) fn describe_straggler(straggler: &Straggler) -> String {
    let Straggler { node, domain, .. } = straggler;
    match (straggler.version, straggler.error) {
        (Some(version), _) => format!("{node} ({domain}) has version {version}"),
        (None, Some(error)) => format!("{node} ({domain}) {error}"),
        (None, None) => format!("{node} ({domain}) is gone"),
    }
}

fn publish_report(published: &Published, sheet: &Sheet, options: &PublishOptions) -> Report {
    let Published { id, edits, .. } = published;
    let rows = edits.len();
    let file = options.file.display();
    match &published.decision {
        Decision::Unchanged(version) => Report::new(
            format!("nothing to change: the table already has these rows as of version {version}"),
            json!({ "result": "unchanged", "version": version }),
        ),
        Decision::Accepted(version) => Report::new(
            format!(
                "accepted as version {version}: {}, id {id}",
                render::rows(rows)
            ),
            json!({ "result": "accepted", "version": version, "rows": rows, "id": id }),
        ),
        Decision::Rejected(rejection) => {
            let lines = rejection_lines(rejection, sheet, &file.to_string());
            let json = json!({
                "result": "rejected",
                "reason": rejection.kind(),
                "rejection": rejection,
                "message": rejection.to_string(),
                "id": id,
            });
            Report::new(format!("rejected, nothing changed:{lines}"), json)
                .with_exit(Exit::Rejected)
        }
    }
}

/// Returns the lines that name each conflicting row or each invalid cell.
fn rejection_lines(rejection: &Rejection, sheet: &Sheet, file: &str) -> String {
    let lines: Vec<_> = match rejection {
        Rejection::Conflict(conflicts) => {
            let rows = conflicts.iter().map(|conflict| format!("\n  {conflict}"));
            let hint = "\npull the table again and repeat your edits of these rows";
            rows.chain([hint.into()]).collect()
        }
        Rejection::Invalid(violations) => {
            let faults = violations.iter().map(|v| Fault::of(v, sheet));
            faults.map(|fault| format!("\n  {file}:{fault}")).collect()
        }
        other => vec![format!(" {other}")],
    };
    lines.concat()
}

async fn wait(
    settings: &Settings,
    version: Version,
    limit: Duration,
    report: Report,
) -> Result<Report, Error> {
    // The outcome is printed first, so that an operator who interrupts the wait has seen it.
    progress(&report.text);
    let mut shown = None;
    let show = |live: usize, behind: &[Straggler]| {
        let now = (live, behind.len());
        if shown.replace(now) != Some(now) {
            progress(&progress_line(version, live, behind));
        }
    };
    let nodes = nodes(settings)?;
    let behind = wait_for_version(&AdminClient::new(), nodes, version, limit, show).await;
    Ok(wait_report(report, version, behind.as_deref()))
}

fn wait_report(report: Report, version: Version, behind: Option<&[Straggler]>) -> Report {
    let mut json = report.json;
    json["stragglers"] = json!(behind);
    json["in_force"] = Value::Bool(behind.is_some_and(<[_]>::is_empty));
    let (line, exit) = match behind {
        Some([]) => (
            format!("version {version} is in force on all live nodes"),
            Exit::Done,
        ),
        Some(behind) => {
            let names: Vec<_> = behind.iter().map(describe_straggler).collect();
            let names = names.join("\n  ");
            (
                format!("version {version} is accepted but not yet in force on:\n  {names}"),
                Exit::Stragglers,
            )
        }
        None => (
            format!("no node answered; run status to see which nodes have version {version}"),
            Exit::Stragglers,
        ),
    };
    Report::new(line, json).with_exit(exit)
}

fn progress_line(version: Version, live: usize, behind: &[Straggler]) -> String {
    let done = live - behind.len();
    let names: Vec<_> = behind
        .iter()
        .take(MAX_NAMED_STRAGGLERS)
        .map(describe_straggler)
        .collect();
    let more = match behind.len().saturating_sub(MAX_NAMED_STRAGGLERS) {
        0 => String::new(),
        n => format!("; and {n} more"),
    };
    let waiting = match names.is_empty() {
        true => String::new(),
        false => format!(", waiting for {}{more}", names.join("; ")),
    };
    format!("version {version}: {done} of {live} live nodes{waiting}")
}
