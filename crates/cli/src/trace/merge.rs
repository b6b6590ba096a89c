//! `tulipgap trace merge`: merges files into one and corrects the clocks of their servers.

use std::collections::BTreeMap;
use std::io::{self, BufReader, BufWriter, Seek};
use std::path::{Path, PathBuf};

use tulipgap_trace::{
    BlockConfig, ClockOffset, Item, MergeSource, MergeSummary, Micros, NEWEST_VERSION, TraceReader,
    Writer, estimate_clock_offsets, merge,
};

use super::{display_name, new_header};
use crate::error::{ArgumentError, CliError, CommandResult, Status};
use crate::input::{Input, open_trace};
use crate::messages::progress_bar;
use crate::output::Output;
use crate::times::ServerOffset;

/// The name of a merged file, and of its server.
const MERGED: &str = "merged";

/// The offset that is added to the times of each server.
type Offsets = BTreeMap<String, Micros>;

pub(super) fn run(
    paths: &[PathBuf],
    output: &Path,
    stated_offsets: &[ServerOffset],
    should_estimate: bool,
) -> CommandResult {
    let mut offsets = if should_estimate {
        estimated_offsets(paths)?
    } else {
        Offsets::new()
    };
    offsets.extend(
        stated_offsets
            .iter()
            .map(|offset| (offset.server.clone(), offset.offset)),
    );
    let sources = open_sources(paths, &offsets)?;
    let has_server = |name: &str| {
        sources
            .iter()
            .any(|source| source.reader.header().server == name)
    };
    if let Some(server) = offsets.keys().find(|server| !has_server(server)) {
        return Err(ArgumentError::UnknownServer(server.clone()).into());
    }
    let start = sources
        .iter()
        .map(|source| source.reader.header().start)
        .min()
        .unwrap_or(0);
    let header = new_header(NEWEST_VERSION, MERGED, start);
    let mut writer = Writer::new(Output::new(output)?, header, BlockConfig::default())?;
    let bar = progress_bar("merging", 0);
    let summary = merge(sources, &mut writer, |records, total| {
        bar.set_length(total);
        bar.set_position(records);
    })?;
    bar.finish_and_clear();
    let (output, _) = writer.finish()?;
    output.commit()?;
    print_summary(&summary);
    Ok(Status::of(summary.losses.is_empty()))
}

/// Prints duplicates and losses of a merge.
fn print_summary(summary: &MergeSummary) {
    for file in &summary.duplicate_files {
        eprintln!(
            "tulipgap: {} is the same file as {}; it is merged once",
            file.name, file.first
        );
    }
    if summary.duplicate_records > 0 {
        eprintln!(
            "tulipgap: {} identical duplicate records were dropped",
            summary.duplicate_records
        );
    }
    for lost in &summary.losses {
        eprintln!("tulipgap: {}: {}", lost.name, lost.loss);
    }
}

/// Opens files as sources of a merge.
fn open_sources(paths: &[PathBuf], offsets: &Offsets) -> Result<Vec<MergeSource<Input>>, CliError> {
    let source = |path: &PathBuf| {
        let reader = open_trace(path)?;
        let offset = offsets.get(&reader.header().server).copied().unwrap_or(0);
        Ok(MergeSource {
            name: display_name(path),
            reader,
            offset,
        })
    };
    paths.iter().map(source).collect()
}

/// Estimates the offsets of the servers' clocks, and prints them.
fn estimated_offsets(paths: &[PathBuf]) -> Result<Offsets, CliError> {
    let mut offsets = Offsets::new();
    for (server, clock) in estimate(paths)? {
        match clock.offset {
            Some(offset) => {
                let (seconds, uncertainty) = (offset as f64 / 1e6, clock.uncertainty as f64 / 1e6);
                eprintln!(
                    "tulipgap: clock of {server}: {seconds:+.6} s, within {uncertainty:.6} s"
                );
                offsets.insert(server, offset);
            }
            None => {
                eprintln!(
                    "tulipgap: clock of {server}: no retry connects it to the others; it is not corrected"
                )
            }
        }
    }
    Ok(offsets)
}

/// Estimates the clock offset of each server. The records are first merged by the uncorrected
/// clocks.
fn estimate(paths: &[PathBuf]) -> Result<Vec<(String, ClockOffset)>, CliError> {
    let spool = BufWriter::new(tempfile::tempfile()?);
    let header = new_header(NEWEST_VERSION, MERGED, 0);
    let mut writer = Writer::new(spool, header, BlockConfig::default())?;
    merge(
        open_sources(paths, &Offsets::new())?,
        &mut writer,
        |_, _| {},
    )?;
    let servers = writer.dictionary().servers.clone();
    let (spool, _) = writer.finish()?;
    let mut spool = spool.into_inner().map_err(io::IntoInnerError::into_error)?;
    spool.rewind()?;
    let merged = Path::new(MERGED);
    let reader = TraceReader::open(BufReader::new(spool)).map_err(CliError::trace(merged))?;
    let mut failure = None;
    let records = reader.flat_map(|item| match item {
        Ok(Item::Records(records)) => records,
        Ok(_) => Vec::new(),
        Err(error) => {
            failure = Some(error);
            Vec::new()
        }
    });
    let indices: Vec<u32> = (0..servers.len() as u32).collect();
    let clocks = estimate_clock_offsets(records, &indices);
    match failure {
        Some(error) => Err(CliError::trace(merged)(error)),
        None => Ok(servers.into_iter().zip(clocks).collect()),
    }
}
