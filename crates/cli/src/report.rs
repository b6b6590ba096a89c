//! What reports look like: tables for people, JSON for programs.

use std::io::{self, Write};
use std::path::Path;

use serde::Serialize;
use tulipgap_trace::{COLUMNS, Findings, Gap, Head, Micros, Names, Row, Survey};

use crate::times::{shown, span};

/// What `info` tells of a file.
#[derive(Serialize)]
pub struct Info {
    pub file: String,
    pub id: String,
    pub format: u32,
    pub program: String,
    pub server: String,
    pub start: Micros,
    pub bytes: u64,
    pub records: u64,
    pub blocks: usize,
    pub indexed: bool,
    pub from: Option<Micros>,
    pub to: Option<Micros>,
    pub servers: Vec<String>,
    pub handlers: Vec<String>,
    pub tenants: Vec<String>,
    pub gaps: Vec<Gap>,
    pub losses: Vec<String>,
    /// Bytes of each column over all blocks.
    pub columns: Vec<(String, u64)>,
}

impl Info {
    pub fn new(path: &Path, head: &Head, names: &Names, survey: &Survey, bytes: u64) -> Self {
        let span = survey.index.span();
        Info {
            file: path.display().to_string(),
            id: head.file.clone(),
            format: head.version,
            program: head.program.clone(),
            server: head.server.clone(),
            start: head.start,
            bytes,
            records: survey.index.records(),
            blocks: survey.index.len(),
            indexed: survey.indexed,
            from: span.map(|span| span.0),
            to: span.map(|span| span.1),
            servers: names.servers.clone(),
            handlers: names.handlers.iter().map(|handler| handler.name.clone()).collect(),
            tenants: names.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
            gaps: survey.gaps.clone(),
            losses: survey.losses.iter().map(ToString::to_string).collect(),
            columns: Vec::new(),
        }
    }

    pub fn add_columns(&mut self, sizes: Vec<(u64, usize)>, head: &Head) {
        for (id, size) in sizes {
            let known =
                COLUMNS.iter().find(|column| u64::from(column.id) == id).map(|column| column.name.to_owned());
            let named = head.columns.iter().find(|column| u64::from(column.id) == id);
            let name = known
                .or_else(|| named.map(|column| format!("{} (not known here)", column.name)))
                .unwrap_or_else(|| format!("column {id}"));
            match self.columns.iter_mut().find(|column| column.0 == name) {
                Some(column) => column.1 += size as u64,
                None => self.columns.push((name, size as u64)),
            }
        }
    }

    pub fn write(&self, out: &mut impl Write) -> io::Result<()> {
        writeln!(out, "{}: format {}, written by {}", self.file, self.format, self.program)?;
        writeln!(out, "  server    {} (file {})", self.server, self.id)?;
        writeln!(out, "  begun     {}", shown(self.start))?;
        if let (Some(from), Some(to)) = (self.from, self.to) {
            writeln!(
                out,
                "  reqs      {} to {} ({})",
                shown(from),
                shown(to),
                span(to.saturating_sub(from))
            )?;
        }
        let index = if self.indexed { "indexed" } else { "no index" };
        writeln!(
            out,
            "  holds     {} records in {} blocks, {} bytes, {index}",
            self.records, self.blocks, self.bytes
        )?;
        if self.records > 0 {
            writeln!(out, "  a record  {:.1} bytes", self.bytes as f64 / self.records as f64)?;
        }
        for (what, names) in
            [("servers", &self.servers), ("handlers", &self.handlers), ("tenants", &self.tenants)]
        {
            writeln!(out, "  {what:9} {}", names.join(", "))?;
        }
        for (name, bytes) in &self.columns {
            writeln!(out, "  column    {name:10} {bytes:10} bytes")?;
        }
        for gap in &self.gaps {
            writeln!(out, "  gap       {}", told(gap))?;
        }
        Ok(())
    }
}

pub fn told(gap: &Gap) -> String {
    let why = serde_json::to_value(gap.why).ok();
    let why = why.as_ref().and_then(|why| why.as_str()).unwrap_or("?");
    let records = match gap.records {
        Some(0) if gap.by != 0 => format!("the clock was set by {:.3} s", gap.by as f64 / 1e6),
        Some(records) => format!("{records} records are missing"),
        None => "records are missing, how many is not known".to_owned(),
    };
    let when =
        if gap.to == 0 { String::new() } else { format!(", {} to {}", shown(gap.from), shown(gap.to)) };
    format!("{why}: {records}{when} {}", gap.server).trim_end().to_owned()
}

/// What `check` tells of a file, in JSON.
#[derive(Serialize)]
pub struct Checked {
    pub file: String,
    pub sound: bool,
    pub records: u64,
    pub blocks: usize,
    pub losses: Vec<String>,
    pub backwards: std::collections::BTreeMap<&'static str, u64>,
    pub repeated_ids: u64,
    pub set_back: u64,
    pub index_wrong: bool,
    pub unknown: Vec<String>,
    pub gaps: Vec<Gap>,
}

impl Checked {
    pub fn new(path: &Path, found: Findings) -> Self {
        Checked {
            file: path.display().to_string(),
            sound: found.sound(),
            records: found.records,
            blocks: found.blocks,
            losses: found.losses.iter().map(ToString::to_string).collect(),
            backwards: found.backwards,
            repeated_ids: found.repeated_ids,
            set_back: found.set_back,
            index_wrong: found.index,
            unknown: found.unknown,
            gaps: found.gaps,
        }
    }

    pub fn write(&self, out: &mut impl Write) -> io::Result<()> {
        let word = if self.sound { "sound" } else { "not sound" };
        writeln!(out, "{}: {word}, {} records in {} blocks", self.file, self.records, self.blocks)?;
        for loss in &self.losses {
            writeln!(out, "  {loss}")?;
        }
        for (what, count) in &self.backwards {
            writeln!(out, "  {count} records: {what}")?;
        }
        if self.repeated_ids > 0 {
            writeln!(out, "  {} ids came again on one server", self.repeated_ids)?;
        }
        if self.set_back > 0 {
            writeln!(
                out,
                "  {} blocks lie over a minute before what came earlier: was the clock set?",
                self.set_back
            )?;
        }
        if self.index_wrong {
            writeln!(out, "  the index does not agree with the blocks")?;
        }
        for name in &self.unknown {
            writeln!(out, "  a column is not known here: {name}")?;
        }
        for gap in &self.gaps {
            writeln!(out, "  gap: {}", told(gap))?;
        }
        Ok(())
    }
}

/// The table of `summary`.
pub fn summary(out: &mut impl Write, rows: &[Row]) -> io::Result<()> {
    writeln!(
        out,
        "{:26} {:>8} {:>7} {:>8} {:>7} {:>7} {:>7} {:>6} {:>8} {:>8} {:>8} {:>8}",
        "",
        "asked",
        "again",
        "done",
        "late",
        "shed",
        "errored",
        "gone",
        "service",
        "p50 ms",
        "p99 ms",
        "most ms"
    )?;
    for row in rows {
        let name = match (&row.group.minute, &row.group.handler[..], &row.group.tenant[..]) {
            (Some(minute), _, _) => shown(*minute),
            (None, "", _) => "all".to_owned(),
            (None, handler, "") => handler.to_owned(),
            (None, handler, tenant) => format!("  {handler} {tenant}"),
        };
        let service = row.service.map_or_else(|| "-".to_owned(), |service| format!("{service:.4}"));
        let times = row.response_ms.clone().unwrap_or_default();
        let shed: u64 = row.shed.values().sum();
        let errored: u64 = row.errored.values().sum();
        writeln!(
            out,
            "{name:26} {:8} {:7} {:8} {:7} {shed:7} {errored:7} {:6} {service:>8} {:8.1} {:8.1} {:8.1}",
            row.asked,
            row.joined + row.stray,
            row.done_in_target,
            row.done_late,
            row.gone,
            times.p50,
            times.p99,
            times.most
        )?;
    }
    let all = rows.first();
    for (what, reasons) in [("shed", all.map(|row| &row.shed)), ("errored", all.map(|row| &row.errored))] {
        for (reason, count) in reasons.into_iter().flatten() {
            writeln!(out, "{what} for {reason}: {count}")?;
        }
    }
    if let Some(row) = all {
        writeln!(
            out,
            "{} degraded; of {} further tries {} were joined to their first",
            row.degraded,
            row.joined + row.stray,
            row.joined
        )?;
    }
    Ok(())
}
