//! `tulipgap trace check`: reports damage and contradictions of recordings.

use std::collections::BTreeMap;
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};

use serde::Serialize;
use tulipgap_trace::{CheckReport, Gap, check};

use super::display_name;
use super::gap::format_gap;
use crate::error::{CliError, CommandResult, Status};
use crate::input::open_trace;

pub(super) fn run(paths: &[PathBuf], json: bool) -> CommandResult {
    let mut status = Status::Complete;
    let mut out = BufWriter::new(io::stdout());
    for path in paths {
        let report = check(open_trace(path)?).map_err(CliError::trace(path))?;
        let report = FileReport::new(path, report);
        if json {
            serde_json::to_writer(&mut out, &report).map_err(io::Error::from)?;
            writeln!(out)?;
        } else {
            report.write(&mut out)?;
        }
        status = status.and(report.sound);
    }
    out.flush()?;
    Ok(status)
}

/// The report on one file; its fields are the keys of the JSON form.
#[derive(Serialize)]
struct FileReport {
    file: String,
    sound: bool,
    records: u64,
    blocks: usize,
    losses: Vec<String>,
    #[serde(rename = "backwards")]
    out_of_order_times: BTreeMap<&'static str, u64>,
    #[serde(rename = "repeated_ids")]
    duplicate_ids: u64,
    #[serde(rename = "set_back")]
    set_back_blocks: u64,
    #[serde(rename = "index_wrong")]
    has_wrong_index: bool,
    #[serde(rename = "unknown")]
    unknown_columns: Vec<String>,
    gaps: Vec<Gap>,
}

impl FileReport {
    fn new(path: &Path, report: CheckReport) -> Self {
        FileReport {
            file: display_name(path),
            sound: report.is_sound(),
            records: report.records,
            blocks: report.blocks,
            losses: report.losses.iter().map(ToString::to_string).collect(),
            out_of_order_times: report.out_of_order_times,
            duplicate_ids: report.duplicate_ids,
            set_back_blocks: report.set_back_blocks,
            has_wrong_index: report.has_wrong_index,
            unknown_columns: report.unknown_columns,
            gaps: report.gaps,
        }
    }

    fn write(&self, out: &mut impl Write) -> io::Result<()> {
        let verdict = if self.sound { "sound" } else { "not sound" };
        writeln!(
            out,
            "{}: {verdict}, {} records in {} blocks",
            self.file, self.records, self.blocks
        )?;
        for loss in &self.losses {
            writeln!(out, "  {loss}")?;
        }
        for (contradiction, count) in &self.out_of_order_times {
            writeln!(out, "  {count} records: {contradiction}")?;
        }
        if self.duplicate_ids > 0 {
            writeln!(out, "  {} duplicate ids on one server", self.duplicate_ids)?;
        }
        if self.set_back_blocks > 0 {
            writeln!(
                out,
                "  {} blocks begin more than a minute before an earlier block: was the clock set back?",
                self.set_back_blocks
            )?;
        }
        if self.has_wrong_index {
            writeln!(out, "  the index contradicts the blocks")?;
        }
        for name in &self.unknown_columns {
            writeln!(out, "  unknown column: {name}")?;
        }
        for gap in &self.gaps {
            writeln!(out, "  gap: {}", format_gap(gap))?;
        }
        Ok(())
    }
}
