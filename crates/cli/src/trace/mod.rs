//! `tulipgap trace`: the commands on recordings.

mod anonymise;
mod check;
mod copy;
mod export;
mod gap;
mod info;
mod merge;
mod record_text;
mod selection;
mod summary;
mod synthesize;

use std::path::Path;

use tulipgap_trace::{Dictionary, Header, Micros, SyntheticLoad};

use crate::args::TraceCommand;
use crate::error::{ArgumentError, CommandResult};

/// Maximum length of a synthetic recording.
const MAX_SYNTHETIC_MINUTES: f64 = 60.0 * 24.0 * 31.0;
/// Maximum number of first attempts per second of a synthetic recording.
const MAX_SYNTHETIC_RATE: f64 = 1e6;

pub(crate) fn run(command: TraceCommand) -> CommandResult {
    match command {
        TraceCommand::Info { files, json } => info::run(&files, json),
        TraceCommand::Cut {
            file,
            selection,
            output,
        } => copy::cut(&file, &selection, &output),
        TraceCommand::Merge {
            files,
            output,
            offsets,
            estimate,
        } => merge::run(&files, &output, &offsets, estimate),
        TraceCommand::Anonymise {
            file,
            output,
            key_file,
            key_fd,
            tenants,
            servers,
            handlers,
        } => {
            let key = anonymise::read_key(key_file.as_deref(), key_fd)?;
            let hidden = tulipgap_trace::HiddenNames {
                tenants,
                servers,
                handlers,
            };
            anonymise::run(&file, &output, &key, hidden)
        }
        TraceCommand::Summary {
            files,
            selection,
            json,
            by_minute,
        } => summary::run(&files, &selection, json, by_minute),
        TraceCommand::Check { files, json } => check::run(&files, json),
        TraceCommand::Repair { file, output } => copy::repair(&file, &output),
        TraceCommand::Export {
            file,
            selection,
            output,
            format,
        } => export::run(&file, &selection, &output, format),
        TraceCommand::Synth {
            minutes,
            rate,
            seed,
            cores,
            server,
            output,
            raw,
        } => {
            let load = synthetic_load(minutes, rate, seed, cores)?;
            synthesize::run(&load, &server, &output, raw.as_deref())
        }
    }
}

fn synthetic_load(
    minutes: f64,
    rate: f64,
    seed: u64,
    cores: usize,
) -> Result<SyntheticLoad, ArgumentError> {
    if !(minutes.is_finite() && minutes > 0.0 && minutes <= MAX_SYNTHETIC_MINUTES) {
        return Err(ArgumentError::Minutes(minutes));
    }
    if !(rate.is_finite() && rate > 0.0 && rate <= MAX_SYNTHETIC_RATE) {
        return Err(ArgumentError::Rate(rate));
    }
    let duration = (minutes * 60e6) as Micros;
    Ok(SyntheticLoad {
        duration,
        rate,
        seed,
        cores: cores.max(1),
        ..SyntheticLoad::default()
    })
}

/// The header of a file that is derived from others, with an empty dictionary.
fn new_header(version: u32, server: &str, start: Micros) -> Header {
    Header {
        names: Dictionary::default(),
        ..Header::new(version, rand::random(), server, start)
    }
}

/// The name of a file in reports.
fn display_name(path: &Path) -> String {
    path.display().to_string()
}
