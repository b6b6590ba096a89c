//! `tulipgap trace cut` and `repair`: copy the selected or the intact records of a file.

use std::path::Path;

use tulipgap_trace::{BlockConfig, CopySummary, Filter, Header, Writer, copy_surveyed, stream};

use super::new_header;
use super::selection::survey_and_filter;
use crate::args::{OutputArgs, Selection};
use crate::error::{CliError, CommandResult, Status};
use crate::input::open_trace;
use crate::messages::{print_losses, print_omitted_columns, print_unknown_columns};
use crate::output::Output;

pub(super) fn cut(path: &Path, selection: &Selection, output: &OutputArgs) -> CommandResult {
    let mut reader = open_trace(path)?;
    let (survey, filter) = survey_and_filter(&mut reader, path, selection)?;
    let mut writer = begin_copy(reader.header(), output)?;
    let summary = copy_surveyed(reader, survey, &filter, &mut writer, |_| {})?;
    finish(path, writer, &summary)?;
    if summary.records == 0 {
        eprintln!(
            "tulipgap: {}: no record matches the selection",
            path.display()
        );
    }
    Ok(Status::of(summary.losses.is_empty() && summary.records > 0))
}

pub(super) fn repair(path: &Path, output: &OutputArgs) -> CommandResult {
    let reader = open_trace(path)?;
    let mut writer = begin_copy(reader.header(), output)?;
    let summary = stream(reader, &Filter::default(), &mut writer, |_| {})?;
    finish(path, writer, &summary)?;
    eprintln!(
        "tulipgap: {}: {} records were intact",
        path.display(),
        summary.records
    );
    Ok(Status::of(summary.losses.is_empty()))
}

/// Begins a file with the server and the start time of `source`.
fn begin_copy(source: &Header, output: &OutputArgs) -> Result<Writer<Output>, CliError> {
    let header = new_header(output.format, &source.server, source.start);
    Ok(Writer::new(
        Output::new(&output.path)?,
        header,
        BlockConfig::default(),
    )?)
}

/// Moves the new file to its path, and prints the columns and records that it lacks.
fn finish(path: &Path, writer: Writer<Output>, summary: &CopySummary) -> Result<(), CliError> {
    print_omitted_columns(&writer);
    let (output, _) = writer.finish()?;
    output.commit()?;
    print_losses(path, &summary.losses);
    print_unknown_columns(path, &summary.unknown_columns);
    Ok(())
}
