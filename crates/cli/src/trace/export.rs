//! `tulipgap trace export`: writes records as text.

use std::path::Path;

use tulipgap_trace::Item;

use super::gap::format_gap;
use super::record_text::{NamedRecord, write_csv_header, write_csv_line, write_json_line};
use super::selection::survey_and_filter;
use crate::args::{ExportFormat, Selection};
use crate::error::{CliError, CommandResult, Status};
use crate::input::open_trace;
use crate::messages::{print_losses, print_unknown_columns};
use crate::output::Output;

pub(super) fn run(
    path: &Path,
    selection: &Selection,
    output: &Path,
    format: ExportFormat,
) -> CommandResult {
    let mut reader = open_trace(path)?;
    let (_, filter) = survey_and_filter(&mut reader, path, selection)?;
    let mut reader = reader
        .rewind()
        .map_err(CliError::trace(path))?
        .with_filter(filter);
    let mut out = Output::new(output)?;
    if matches!(format, ExportFormat::Csv) {
        write_csv_header(&mut out)?;
    }
    let mut losses = Vec::new();
    while let Some(item) = reader.next() {
        match item.map_err(CliError::trace(path))? {
            Item::Records(records) => {
                for record in &records {
                    let named = NamedRecord {
                        record,
                        names: reader.dictionary(),
                    };
                    match format {
                        ExportFormat::Jsonl => write_json_line(&mut out, &named)?,
                        ExportFormat::Csv => write_csv_line(&mut out, &named)?,
                    }
                }
            }
            Item::Gap(gap) => eprintln!("tulipgap: {}: gap: {}", path.display(), format_gap(&gap)),
            Item::Loss(loss) => losses.push(loss),
        }
    }
    out.commit()?;
    print_unknown_columns(path, &reader.unknown_columns());
    Ok(Status::of(print_losses(path, &losses)))
}
