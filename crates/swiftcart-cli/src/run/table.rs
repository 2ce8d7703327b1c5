//! Execution of the commands `table pull`, `table check` and `table diff`.

use std::fs::OpenOptions;
use std::io::{ErrorKind, Write};
use std::path::Path;

use serde_json::json;
use swiftcart_core::{Table, Version};

use super::{platform, retry, sheet};
use crate::{
    DiffOptions, Error, Exit, Fault, Format, PullOptions, ReadOptions, Report, Settings,
    StreamReader, plan, render, write,
};

/// Writes the table of a version as a CSV sheet or as JSON.
pub(super) async fn pull(
    settings: &Settings,
    pull: &PullOptions,
    as_json: bool,
) -> Result<Report, Error> {
    let read_options = ReadOptions {
        version: pull.version,
        ..ReadOptions::default()
    };
    let platform = platform(settings)?;
    let reader = StreamReader::open(&platform, read_options, &mut retry(settings)?).await?;
    let (table, version) = select_table(&reader, pull.version)?;
    let rows = table.0.iter();
    let rows: Vec<_> = rows
        .map(|(key, row)| render::row_json(key, Some(row)))
        .collect();
    let json = json!({ "base": version, "rows": rows });
    let text = match pull.format {
        Format::Csv => write(table, version),
        Format::Json => format!("{json:#}\n"),
    };
    let Some(path) = &pull.output else {
        // `--format csv` takes precedence over `--json`; the CSV text is then wrapped in JSON.
        let json = match pull.format {
            Format::Csv if as_json => json!({ "base": version, "csv": text }),
            Format::Csv | Format::Json => json,
        };
        return Ok(Report::new(text.trim_end().into(), json));
    };
    save(path, &text, pull.force)?;
    let rows = table.0.len();
    let text = format!(
        "wrote version {version}, {}, to {}",
        render::rows(rows),
        path.display()
    );
    let json = json!({ "version": version, "rows": rows, "file": path });
    Ok(Report::new(text, json))
}

/// Checks a sheet without contacting the platform.
pub(super) fn check(file: &Path) -> Result<Report, Error> {
    let sheet = sheet(file)?;
    let (faults, notes) = sheet.check();
    if !faults.is_empty() {
        return Err(Error::Sheet(file.into(), faults));
    }
    let rows = sheet.lines.len();
    let note = |fault: &Fault| {
        let path = file.display();
        format!(
            "{path}:{fault}\n  applies only if the current table does not have it; publish checks this\n"
        )
    };
    let notes_text: String = notes.iter().map(note).collect();
    let base = match sheet.base {
        Some(version) => format!("made from version {version}"),
        None => "no base row, so publish needs --base N".into(),
    };
    let counted = render::rows(rows);
    let text = format!("{notes_text}{}: {counted}, {base}", file.display());
    let json = json!({ "result": "valid", "rows": rows, "base": sheet.base, "notes": notes });
    Ok(Report::new(text, json).with_exit(Exit::Done))
}

/// Shows the changes that publishing a sheet would make.
pub(super) async fn diff(settings: &Settings, diff: &DiffOptions) -> Result<Report, Error> {
    let sheet = sheet(&diff.file)?;
    let read_options = ReadOptions {
        version: diff.against,
        ..ReadOptions::default()
    };
    let platform = platform(settings)?;
    let reader = StreamReader::open(&platform, read_options, &mut retry(settings)?).await?;
    let (table, version) = select_table(&reader, diff.against)?;
    let edits = plan(&sheet, table, &diff.scope)?;
    let text = match edits.len() {
        0 => format!("no changes against version {version}"),
        n => format!(
            "{}\n\n{} against version {version}",
            render::changes(table, &edits),
            render::rows(n)
        ),
    };
    let json = json!({ "against": version, "changes": render::changes_json(table, &edits) });
    Ok(Report::new(text, json))
}

/// Returns the table of `version`, or the current table by default.
fn select_table<'a>(
    reader: &'a StreamReader<'_>,
    version: Option<Version>,
) -> Result<(&'a Table, Version), Error> {
    let current = reader.fold().version();
    match (version, reader.requested_table()) {
        (None, _) => Ok((reader.fold().table(), current)),
        (Some(version), Some(table)) => Ok((table, version)),
        (Some(version), None) => Err(Error::UnknownVersion(version, current)),
    }
}

/// Writes a file. An existing file is overwritten only with `force`, to protect an operator's
/// edits.
fn save(path: &Path, text: &str, force: bool) -> Result<(), Error> {
    let mut options = OpenOptions::new();
    options.write(true).create(true).truncate(true);
    options.create_new(!force);
    let mut file = options.open(path).map_err(|e| match e.kind() {
        ErrorKind::AlreadyExists => Error::FileExists(path.into()),
        _ => Error::File(path.into(), e),
    })?;
    file.write_all(text.as_bytes())
        .map_err(|e| Error::File(path.into(), e))
}
