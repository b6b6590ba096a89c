//! `tulipgap trace info`: the header, the contents and the sizes of recordings.

use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};

use serde::Serialize;
use tulipgap_trace::{COLUMNS, Dictionary, Gap, Header, Micros, Survey};

use super::display_name;
use super::gap::format_gap;
use crate::error::{CliError, CommandResult, Status};
use crate::input::open_trace;
use crate::messages::print_losses;
use crate::times::{format_span, format_time};

pub(super) fn run(paths: &[PathBuf], json: bool) -> CommandResult {
    let mut status = Status::Complete;
    let mut out = BufWriter::new(io::stdout());
    for path in paths {
        let mut reader = open_trace(path)?;
        let survey = reader.survey().map_err(CliError::trace(path))?;
        let header = reader.header().clone();
        let bytes = std::fs::metadata(path).map_or(0, |metadata| metadata.len());
        let mut info = FileInfo::new(path, &header, reader.dictionary(), &survey, bytes);
        for block in survey.index.blocks() {
            // A damaged block has no sizes; `check` reports it.
            if let Ok(sizes) = reader.column_sizes(block) {
                info.add_column_sizes(sizes, &header);
            }
        }
        if json {
            serde_json::to_writer(&mut out, &info).map_err(io::Error::from)?;
            writeln!(out)?;
        } else {
            info.write(&mut out)?;
        }
        out.flush()?;
        status = status.and(print_losses(path, &survey.losses));
    }
    Ok(status)
}

/// The report on one file; its fields are the keys of the JSON form.
#[derive(Serialize)]
struct FileInfo {
    file: String,
    #[serde(rename = "id")]
    file_id: String,
    format: u32,
    program: String,
    server: String,
    start: Micros,
    bytes: u64,
    records: u64,
    blocks: usize,
    #[serde(rename = "indexed")]
    is_indexed: bool,
    from: Option<Micros>,
    to: Option<Micros>,
    servers: Vec<String>,
    handlers: Vec<String>,
    tenants: Vec<String>,
    gaps: Vec<Gap>,
    losses: Vec<String>,
    columns: Vec<ColumnBytes>,
}

/// The name of a column, and its bytes in all blocks.
#[derive(Serialize)]
struct ColumnBytes(String, u64);

impl FileInfo {
    fn new(path: &Path, header: &Header, names: &Dictionary, survey: &Survey, bytes: u64) -> Self {
        let span = survey.index.time_span();
        FileInfo {
            file: display_name(path),
            file_id: header.file_id.clone(),
            format: header.version,
            program: header.program.clone(),
            server: header.server.clone(),
            start: header.start,
            bytes,
            records: survey.index.records(),
            blocks: survey.index.len(),
            is_indexed: survey.is_indexed,
            from: span.map(|(from, _)| from),
            to: span.map(|(_, to)| to),
            servers: names.servers.clone(),
            handlers: names
                .handlers
                .iter()
                .map(|handler| handler.name.clone())
                .collect(),
            tenants: names
                .tenants
                .iter()
                .map(|tenant| tenant.name.clone())
                .collect(),
            gaps: survey.gaps.clone(),
            losses: survey.losses.iter().map(ToString::to_string).collect(),
            columns: Vec::new(),
        }
    }

    /// Adds the sizes of the columns of one block.
    fn add_column_sizes(&mut self, sizes: Vec<(u64, usize)>, header: &Header) {
        for (id, size) in sizes {
            let name = column_name(id, header);
            match self.columns.iter_mut().find(|column| column.0 == name) {
                Some(column) => column.1 += size as u64,
                None => self.columns.push(ColumnBytes(name, size as u64)),
            }
        }
    }

    fn write(&self, out: &mut impl Write) -> io::Result<()> {
        writeln!(
            out,
            "{}: format {}, written by {}",
            self.file, self.format, self.program
        )?;
        writeln!(out, "  server    {} (file {})", self.server, self.file_id)?;
        writeln!(out, "  started   {}", format_time(self.start))?;
        if let (Some(from), Some(to)) = (self.from, self.to) {
            let span = format_span(to.saturating_sub(from));
            writeln!(
                out,
                "  requests  {} to {} ({span})",
                format_time(from),
                format_time(to)
            )?;
        }
        let index = if self.is_indexed {
            "indexed"
        } else {
            "no index"
        };
        writeln!(
            out,
            "  contents  {} records in {} blocks, {} bytes, {index}",
            self.records, self.blocks, self.bytes
        )?;
        if self.records > 0 {
            writeln!(
                out,
                "  record    {:.1} bytes on average",
                self.bytes as f64 / self.records as f64
            )?;
        }
        for (list, names) in [
            ("servers", &self.servers),
            ("handlers", &self.handlers),
            ("tenants", &self.tenants),
        ] {
            writeln!(out, "  {list:9} {}", names.join(", "))?;
        }
        for ColumnBytes(name, bytes) in &self.columns {
            writeln!(out, "  column    {name:10} {bytes:10} bytes")?;
        }
        for gap in &self.gaps {
            writeln!(out, "  gap       {}", format_gap(gap))?;
        }
        Ok(())
    }
}

/// The name of a column: its known name, otherwise its name in the header.
fn column_name(id: u64, header: &Header) -> String {
    if let Some(column) = COLUMNS.iter().find(|column| u64::from(column.id) == id) {
        return column.name.to_owned();
    }
    match header
        .columns
        .iter()
        .find(|column| u64::from(column.id) == id)
    {
        Some(column) => format!("{} (unknown)", column.name),
        None => format!("column {id}"),
    }
}
