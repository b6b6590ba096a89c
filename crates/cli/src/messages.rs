//! Messages on standard error in addition to a result: losses, unknown columns, progress.

use std::io::{self, IsTerminal, Write};
use std::path::Path;

use indicatif::{ProgressBar, ProgressStyle};
use tulipgap_trace::{Loss, Writer};

/// Maximum number of losses of one file that are printed; further ones are counted.
const MAX_PRINTED_LOSSES: usize = 20;

/// Prints the losses of a file. Returns whether there are none.
pub(crate) fn print_losses(path: &Path, losses: &[Loss]) -> bool {
    for loss in losses.iter().take(MAX_PRINTED_LOSSES) {
        eprintln!("tulipgap: {}: {loss}", path.display());
    }
    if losses.len() > MAX_PRINTED_LOSSES {
        eprintln!(
            "tulipgap: {}: {} more losses",
            path.display(),
            losses.len() - MAX_PRINTED_LOSSES
        );
    }
    losses.is_empty()
}

/// Prints which columns of a file are unknown and were skipped.
pub(crate) fn print_unknown_columns(path: &Path, unknown: &[String]) {
    if !unknown.is_empty() {
        let columns = unknown.join(", ");
        eprintln!(
            "tulipgap: {}: unknown columns were skipped: {columns}",
            path.display()
        );
    }
}

/// Prints which columns the format of a new file does not have.
pub(crate) fn print_omitted_columns<W: Write>(writer: &Writer<W>) {
    let omitted = writer.omitted_columns();
    if !omitted.is_empty() {
        eprintln!(
            "tulipgap: format {} has no column for {}",
            writer.header().version,
            omitted.join(", ")
        );
    }
}

/// A progress bar on standard error; it is hidden unless that is a terminal.
pub(crate) fn progress_bar(message: &'static str, length: u64) -> ProgressBar {
    if !io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(length).with_message(message);
    match ProgressStyle::with_template("{msg} {wide_bar} {human_pos} of {human_len} ({eta})") {
        Ok(style) => bar.with_style(style),
        Err(_) => bar,
    }
}
