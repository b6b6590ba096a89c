//! `tulipgap trace summary`: requests, outcomes, service level and response times by handler and
//! tenant.

use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};

use tulipgap_trace::{Gap, Item, Loss, Summary, SummaryRow};

use super::gap::format_gap;
use super::merge;
use super::selection::survey_and_filter;
use crate::args::Selection;
use crate::error::{CliError, CommandResult, Status};
use crate::input::open_trace;
use crate::messages::{print_losses, print_unknown_columns, progress_bar};
use crate::times::format_time;

pub(super) fn run(
    paths: &[PathBuf],
    selection: &Selection,
    json: bool,
    by_minute: bool,
) -> CommandResult {
    if let [path] = paths {
        return summarise(path, selection, json, by_minute);
    }
    // Several files are merged first, so that retries are correlated whichever server they reached.
    let directory = tempfile::tempdir()?;
    let merged = directory.path().join("merged");
    let merge_status = merge::run(paths, &merged, &[], false)?;
    let status = summarise(&merged, selection, json, by_minute)?;
    Ok(status.and(merge_status == Status::Complete))
}

fn summarise(path: &Path, selection: &Selection, json: bool, by_minute: bool) -> CommandResult {
    let SummarisedFile {
        summary,
        gaps,
        losses,
        unknown_columns,
    } = read(path, selection, by_minute)?;
    let rows = summary.rows();
    let mut out = BufWriter::new(io::stdout());
    if json {
        serde_json::to_writer(&mut out, &rows).map_err(io::Error::from)?;
        writeln!(out)?;
    } else {
        write_table(&mut out, &rows)?;
    }
    out.flush()?;
    for gap in &gaps {
        eprintln!("tulipgap: {}: gap: {}", path.display(), format_gap(gap));
    }
    print_unknown_columns(path, &unknown_columns);
    let has_missing_records = gaps.iter().any(|gap| gap.records != Some(0));
    Ok(Status::of(
        print_losses(path, &losses) && !has_missing_records,
    ))
}

/// The summary of a file, with the gaps, losses and unknown columns of the file.
struct SummarisedFile {
    summary: Summary,
    gaps: Vec<Gap>,
    losses: Vec<Loss>,
    unknown_columns: Vec<String>,
}

fn read(path: &Path, selection: &Selection, by_minute: bool) -> Result<SummarisedFile, CliError> {
    let mut reader = open_trace(path)?;
    let (survey, filter) = survey_and_filter(&mut reader, path, selection)?;
    let mut reader = reader
        .rewind()
        .map_err(CliError::trace(path))?
        .with_filter(filter);
    let bar = progress_bar("summarising", survey.index.records());
    let mut summary = Summary::new(by_minute);
    let (mut gaps, mut losses) = (Vec::new(), Vec::new());
    while let Some(item) = reader.next() {
        match item.map_err(CliError::trace(path))? {
            Item::Records(records) => {
                bar.inc(records.len() as u64);
                records
                    .iter()
                    .for_each(|record| summary.add(record, reader.dictionary()));
            }
            Item::Gap(gap) => gaps.push(gap),
            Item::Loss(loss) => losses.push(loss),
        }
    }
    bar.finish_and_clear();
    Ok(SummarisedFile {
        summary,
        gaps,
        losses,
        unknown_columns: reader.unknown_columns(),
    })
}

/// Writes the table, and below it the reasons and retries of all records.
fn write_table(out: &mut impl Write, rows: &[SummaryRow]) -> io::Result<()> {
    writeln!(
        out,
        "{:26} {:>8} {:>7} {:>8} {:>7} {:>8} {:>7} {:>9} {:>8} {:>8} {:>8} {:>8}",
        "",
        "requests",
        "retries",
        "in time",
        "late",
        "rejected",
        "failed",
        "abandoned",
        "service",
        "p50 ms",
        "p99 ms",
        "max ms"
    )?;
    for row in rows {
        write_row(out, row)?;
    }
    let Some(total) = rows.first() else {
        return Ok(());
    };
    for (outcome, reasons) in [
        ("rejected", &total.rejected_by_reason),
        ("failed", &total.failed_by_reason),
    ] {
        for (reason, count) in reasons {
            writeln!(out, "{outcome} with reason {reason}: {count}")?;
        }
    }
    writeln!(
        out,
        "{} degraded; of {} retries {} were correlated to their first attempt",
        total.degraded,
        total.retries + total.orphan_retries,
        total.retries
    )
}

fn write_row(out: &mut impl Write, row: &SummaryRow) -> io::Result<()> {
    let name = match (
        row.group.minute,
        row.group.handler.as_str(),
        row.group.tenant.as_str(),
    ) {
        (Some(minute), _, _) => format_time(minute),
        (None, "", _) => "all".to_owned(),
        (None, handler, "") => handler.to_owned(),
        (None, handler, tenant) => format!("  {handler} {tenant}"),
    };
    let service_level = row
        .service_level
        .map_or_else(|| "-".to_owned(), |level| format!("{level:.4}"));
    let times = row.response_ms.clone().unwrap_or_default();
    let rejected: u64 = row.rejected_by_reason.values().sum();
    let failed: u64 = row.failed_by_reason.values().sum();
    writeln!(
        out,
        "{name:26} {:8} {:7} {:8} {:7} {rejected:8} {failed:7} {:9} {service_level:>8} {:8.1} {:8.1} {:8.1}",
        row.requests,
        row.retries + row.orphan_retries,
        row.completed_in_time,
        row.completed_late,
        row.abandoned,
        times.p50,
        times.p99,
        times.max
    )
}
