//! Parser for sheets that were saved by a spreadsheet.

use csv::{ReaderBuilder, StringRecord};
use swiftcart_core::{Limits, Row, RowKey, ServiceName, Table, Version, Violation, check};

use super::{Fault, HEADINGS, Kind, Problem, Sheet, SheetLine};

/// Separators that spreadsheets write, depending on the locale.
const DELIMITERS: [u8; 3] = [b',', b';', b'\t'];

/// Line number and the cells of the line.
type Record = (usize, StringRecord);

/// Heading of each column, or `None` for a column without one.
type Columns = Vec<Option<&'static str>>;

impl Sheet {
    /// Parses a sheet from the bytes of a CSV file.
    ///
    /// # Examples
    ///
    /// ```
    /// use swiftcart_cli::Sheet;
    /// use swiftcart_core::Version;
    ///
    /// let csv = b"kind;service;prefix;weight;rate;concurrency;timeout_ms\r\n\
    ///     route;booking;/book;100;;;\r\nbase;7;;;;;\r\n";
    /// let sheet = Sheet::parse(csv).unwrap_or_default();
    /// assert_eq!((sheet.base, sheet.lines.len()), (Some(Version(7)), 1));
    /// ```
    ///
    /// # Errors
    ///
    /// All faults of the sheet, sorted by line and column.
    pub fn parse(bytes: &[u8]) -> Result<Self, Vec<Fault>> {
        let text = decode(bytes).map_err(|fault| vec![fault])?;
        let lines = lines(&text).map_err(|fault| vec![fault])?;
        let (records, columns) = find_headings(&lines)?;
        let mut parser = SheetParser {
            columns,
            sheet: Self::default(),
            base: None,
            faults: Vec::new(),
        };
        records.iter().for_each(|record| parser.record(record));
        parser
            .faults
            .sort_by_key(|fault| (fault.line, column_order(&fault.column)));
        match parser.faults {
            faults if faults.is_empty() => Ok(parser.sheet),
            faults => Err(faults),
        }
    }

    /// Returns the faults that are certain, and as notes those that depend on the current table.
    ///
    /// A sheet may contain only some services. A route to a service outside the sheet, or a prefix
    /// without weight, may therefore be valid once the sheet is applied to the current table.
    #[must_use]
    pub fn check(&self) -> (Vec<Fault>, Vec<Fault>) {
        let rows = self.lines.iter();
        let rows = rows.filter_map(|(key, line)| Some((key.clone(), line.row.clone()?)));
        let found = check(&Table(rows.collect()));
        let depends_on_table = |violation: &Violation| {
            matches!(
                violation,
                Violation::UnknownService(..) | Violation::NoWeight(_)
            )
        };
        let (notes, faults): (Vec<_>, Vec<_>) = found.iter().partition(|v| depends_on_table(v));
        let sorted = |found: Vec<&Violation>| {
            let mut faults: Vec<_> = found.iter().map(|v| Fault::of(v, self)).collect();
            faults.sort_by_key(|fault| fault.line);
            faults
        };
        (sorted(faults), sorted(notes))
    }
}

/// State of the parser.
struct SheetParser {
    columns: Columns,
    sheet: Sheet,
    base: Option<usize>,
    faults: Vec<Fault>,
}

impl SheetParser {
    fn record(&mut self, (number, record): &Record) {
        let before = self.faults.len();
        self.check_headings(*number, record);
        let name = self.cell(record, "kind");
        let kind = Kind::ALL
            .into_iter()
            .find(|kind| kind.as_str() == name.to_ascii_lowercase());
        let Some(kind) = kind else {
            self.fault(*number, "kind", &name, Problem::UnknownKind);
            return;
        };
        self.check_filled(*number, record, kind);
        let service = self.cell(record, "service");
        let key = match kind {
            Kind::Base => return self.set_base(*number, &service),
            Kind::Service | Kind::RemoveService => RowKey::Service(ServiceName::new(service)),
            Kind::Route | Kind::RemoveRoute => {
                RowKey::Route(self.cell(record, "prefix"), ServiceName::new(service))
            }
        };
        let row = match kind {
            Kind::Base | Kind::RemoveService | Kind::RemoveRoute => None,
            Kind::Route => Some(Row::Route(self.number(*number, record, "weight"))),
            Kind::Service => Some(Row::Service(self.limits(*number, record))),
        };
        if self.faults.len() == before {
            self.insert(*number, key, row);
        }
    }

    fn limits(&mut self, number: usize, record: &StringRecord) -> Limits {
        Limits {
            rate: self.number(number, record, "rate"),
            concurrency: self.number(number, record, "concurrency"),
            timeout_ms: self.number(number, record, "timeout_ms"),
        }
    }

    fn insert(&mut self, number: usize, key: RowKey, row: Option<Row>) {
        match self.sheet.lines.get(&key).map(|line| line.number) {
            None => {
                self.sheet.lines.insert(key, SheetLine { number, row });
            }
            Some(earlier) => {
                let problem = Problem::Duplicate(earlier);
                self.fault(number, "kind", &key.to_string(), problem);
            }
        }
    }

    fn set_base(&mut self, number: usize, value: &str) {
        match (value.parse(), self.base) {
            (Ok(version), None) => {
                self.base = Some(number);
                self.sheet.base = Some(Version(version));
            }
            (Ok(_), Some(first)) => self.fault(number, "kind", "base", Problem::Duplicate(first)),
            (Err(_), _) if value.is_empty() => {}
            (Err(_), _) => self.fault(number, "service", value, Problem::InvalidVersion),
        }
    }

    /// Reports filled cells in columns without a heading.
    fn check_headings(&mut self, number: usize, record: &StringRecord) {
        for (i, value) in record.iter().enumerate() {
            match self.columns.get(i) {
                Some(Some(_)) => {}
                _ if value.is_empty() => {}
                _ => {
                    let column = format!("column {}", i + 1);
                    self.fault(number, &column, value, Problem::MissingHeading);
                }
            }
        }
    }

    /// Reports required cells that are empty and filled cells that the kind does not use.
    fn check_filled(&mut self, number: usize, record: &StringRecord, kind: Kind) {
        for column in &HEADINGS[1..] {
            let value = self.cell(record, column);
            match (kind.cells().contains(column), value.is_empty()) {
                (true, true) => self.fault(
                    number,
                    column,
                    "",
                    Problem::EmptyCell(empty_cell_hint(column)),
                ),
                (false, false) => {
                    let problem = Problem::UnexpectedValue(kind.as_str());
                    self.fault(number, column, &value, problem);
                }
                _ => {}
            }
        }
    }

    fn number(&mut self, number: usize, record: &StringRecord, column: &'static str) -> u32 {
        let value = self.cell(record, column);
        let digits = value.bytes().all(|b| b.is_ascii_digit());
        match value.parse() {
            Ok(n) if digits => n,
            // An empty cell has been reported already.
            _ if value.is_empty() => 0,
            _ => {
                self.fault(number, column, &value, Problem::InvalidNumber);
                0
            }
        }
    }

    fn cell(&self, record: &StringRecord, column: &str) -> String {
        let position = self.columns.iter().position(|c| *c == Some(column));
        let value = position.and_then(|i| record.get(i));
        value.unwrap_or_default().into()
    }

    fn fault(&mut self, line: usize, column: &str, value: &str, problem: Problem) {
        self.faults.push(Fault::new(line, column, value, problem));
    }
}

/// Returns the sort position of a column. Columns without a known heading come last.
fn column_order(column: &str) -> usize {
    let known = HEADINGS.iter().position(|heading| *heading == column);
    known.unwrap_or(HEADINGS.len())
}

const fn empty_cell_hint(column: &str) -> &'static str {
    match column.as_bytes() {
        b"service" => "write the name of the service, or the version in a row of kind base",
        b"prefix" => "write the path prefix, for example /book",
        b"weight" => "write a weight, 0 for no requests",
        _ => "write a number, 0 for no limit",
    }
}

fn decode(bytes: &[u8]) -> Result<String, Fault> {
    let bytes = bytes.strip_prefix(b"\xef\xbb\xbf").unwrap_or(bytes);
    match std::str::from_utf8(bytes) {
        Ok(text) => Ok(text.replace("\r\n", "\n").replace('\r', "\n")),
        Err(e) => {
            let before = &bytes[..e.valid_up_to()];
            let line = 1 + before.iter().filter(|b| **b == b'\n').count();
            Err(Fault::new(line, "line", "", Problem::InvalidEncoding))
        }
    }
}

/// Returns the non-blank lines with their numbers. A cell with a line break is a fault.
fn lines(text: &str) -> Result<Vec<(usize, &str)>, Fault> {
    let numbered = text.lines().enumerate().map(|(i, line)| (i + 1, line));
    let filled = numbered.filter(|(_, line)| !line.trim().is_empty());
    // Spreadsheets write their separator into the first line, as `sep=;`.
    let filled = filled.filter(|(n, line)| *n > 1 || !is_separator_directive(line));
    let lines: Vec<_> = filled.collect();
    match lines
        .iter()
        .find(|(_, line)| line.matches('"').count() % 2 == 1)
    {
        Some((n, line)) => Err(Fault::new(*n, "line", line, Problem::UnclosedQuote)),
        None => Ok(lines),
    }
}

fn is_separator_directive(line: &str) -> bool {
    line.len() == 5 && line.to_ascii_lowercase().starts_with("sep=")
}

/// Finds the separator and the row of headings, which sorting may have moved to any line.
fn find_headings(lines: &[(usize, &str)]) -> Result<(Vec<Record>, Columns), Vec<Fault>> {
    for delimiter in DELIMITERS {
        let mut records = parse_records(lines, delimiter);
        if let Some(at) = records.iter().position(|(_, cells)| is_heading_row(cells)) {
            let (number, head) = records.remove(at);
            records.retain(|(_, cells)| cells.iter().any(|cell| !cell.is_empty()));
            return headings(number, &head).map(|columns| (records, columns));
        }
    }
    Err(vec![Fault::new(1, "", "", Problem::HeadingsNotFound)])
}

fn is_heading_row(cells: &StringRecord) -> bool {
    let named = |heading: &str| cells.iter().any(|cell| cell.eq_ignore_ascii_case(heading));
    HEADINGS.iter().all(|heading| named(heading))
}

fn headings(line: usize, head: &StringRecord) -> Result<Columns, Vec<Fault>> {
    let known = |cell: &str| HEADINGS.into_iter().find(|h| cell.eq_ignore_ascii_case(h));
    let columns: Vec<_> = head.iter().map(known).collect();
    let mut faults = Vec::new();
    for (i, cell) in head.iter().enumerate() {
        let column = format!("column {}", i + 1);
        match columns[i] {
            None if cell.is_empty() => {}
            None => faults.push(Fault::new(line, &column, cell, Problem::UnknownHeading)),
            found if columns[..i].contains(&found) => {
                faults.push(Fault::new(line, &column, cell, Problem::DuplicateHeading));
            }
            Some(_) => {}
        }
    }
    match faults.is_empty() {
        true => Ok(columns),
        false => Err(faults),
    }
}

fn parse_records(lines: &[(usize, &str)], delimiter: u8) -> Vec<Record> {
    let mut builder = ReaderBuilder::new();
    builder
        .delimiter(delimiter)
        .has_headers(false)
        .trim(csv::Trim::All);
    let parse = |line: &str| {
        let mut record = StringRecord::new();
        let mut reader = builder.from_reader(line.as_bytes());
        // Reading one record from memory has no I/O errors and no second row of another length.
        reader.read_record(&mut record).ok();
        record
    };
    lines.iter().map(|(n, line)| (*n, parse(line))).collect()
}
