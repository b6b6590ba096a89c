//! `tulipgap trace synth`: writes a recording of synthetic load.

use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tulipgap_trace::{
    RecorderConfig, RetentionConfig, RotatingWriter, Storage, StoredFile, SyntheticLoad,
    generate_load,
};

use super::record_text::{NamedRecord, write_json_line};
use crate::args::OutputArgs;
use crate::error::{CliError, CommandResult, Status};
use crate::messages::progress_bar;
use crate::output::Output;
use crate::times::format_span;

/// A storage with a single file, the output of the command. It lists, syncs and removes nothing.
struct SingleFileStorage(SharedOutput);

/// The output; `None` after [`SharedOutput::take`].
#[derive(Clone)]
struct SharedOutput(Arc<Mutex<Option<Output>>>);

impl SharedOutput {
    fn new(output: Output) -> Self {
        SharedOutput(Arc::new(Mutex::new(Some(output))))
    }

    fn take(&self) -> Option<Output> {
        self.0.lock().ok().and_then(|mut output| output.take())
    }

    fn with<T: Default>(&self, write: impl FnOnce(&mut Output) -> io::Result<T>) -> io::Result<T> {
        match self.0.lock() {
            Ok(mut output) => output.as_mut().map_or(Ok(T::default()), write),
            Err(_) => Err(io::Error::other(
                "a thread panicked while it wrote the output",
            )),
        }
    }
}

impl Write for SharedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.with(|output| output.write(bytes))
    }

    fn flush(&mut self) -> io::Result<()> {
        self.with(Write::flush)
    }
}

impl Storage for SingleFileStorage {
    type File = SharedOutput;

    fn list(&mut self) -> io::Result<Vec<StoredFile>> {
        Ok(Vec::new())
    }

    fn create(&mut self, number: u64) -> io::Result<SharedOutput> {
        // A second file is opened only after writing the first one failed.
        if number == 1 {
            Ok(self.0.clone())
        } else {
            Err(io::Error::other("writing the output failed"))
        }
    }

    fn sync(&mut self, _: &mut SharedOutput) -> io::Result<()> {
        Ok(())
    }

    fn remove(&mut self, _: u64) -> io::Result<()> {
        Ok(())
    }
}

/// The configuration of a recording with the block size of a server's defaults, in a single file of
/// any size.
fn recorder_config(server: &str, version: u32) -> RecorderConfig {
    RecorderConfig {
        version,
        server: server.to_owned(),
        names: SyntheticLoad::dictionary(server),
        retention: RetentionConfig {
            block_records: 4096,
            seal_after: Duration::from_secs(5),
            rotate_bytes: u64::MAX / 4,
            rotate_after: Duration::MAX / 4,
            keep_bytes: u64::MAX / 2,
        },
        queue_capacity: 1,
    }
}

pub(super) fn run(
    load: &SyntheticLoad,
    server: &str,
    output: &OutputArgs,
    raw_log: Option<&Path>,
) -> CommandResult {
    let shared = SharedOutput::new(Output::new(&output.path)?);
    let mut raw_log = raw_log.map(Output::new).transpose()?;
    let config = recorder_config(server, output.format);
    let names = config.names.clone();
    let storage = SingleFileStorage(shared.clone());
    let mut writer = RotatingWriter::new(storage, config, load.start, u128::from(load.seed));
    writer.start();
    let bar = progress_bar("recording", load.duration as u64 / 1_000_000);
    let (mut raw_log_error, mut count) = (None, 0u64);
    let mut at = Duration::ZERO;
    generate_load(load, |released, record| {
        at = Duration::from_micros(u64::try_from(released - load.start).unwrap_or(0));
        bar.set_position(at.as_secs());
        if let Some(raw_log) = &mut raw_log
            && let Err(error) = write_json_line(
                raw_log,
                &NamedRecord {
                    record: &record,
                    names: &names,
                },
            )
        {
            raw_log_error.get_or_insert(error);
        }
        count += 1;
        writer.record(at, record);
    });
    bar.finish_and_clear();
    let missing_records = writer.missing_records();
    let result = writer.finish(at);
    if let Some(error) = raw_log_error {
        return Err(CliError::Io(error));
    }
    if let Some(source) = result.last_error.filter(|_| missing_records > 0) {
        return Err(CliError::Recording {
            path: output.path.clone(),
            source,
            missing_records,
        });
    }
    if let Some(raw_log) = raw_log {
        raw_log.commit()?;
    }
    if let Some(output) = shared.take() {
        output.commit()?;
    }
    eprintln!(
        "tulipgap: {count} records of {}",
        format_span(load.duration)
    );
    Ok(Status::Complete)
}
