//! `tulipgap trace anonymise`: writes a copy that hides ids and names.

use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

use tulipgap_trace::{HashKey, HiddenNames, anonymise};

use crate::error::{ArgumentError, CliError, CommandResult, Status};
use crate::input::{is_standard_stream, open_trace};
use crate::messages::{print_losses, print_unknown_columns};
use crate::output::Output;

/// The maximum number of bytes that are read from a key file.
const MAX_KEY_FILE_BYTES: u64 = 64 * 1024;

pub(super) fn run(path: &Path, output: &Path, key: &HashKey, hidden: HiddenNames) -> CommandResult {
    let reader = open_trace(path)?;
    let mut out = Output::new(output)?;
    let summary = anonymise(reader, key, hidden, &mut out)?;
    out.commit()?;
    print_unknown_columns(path, &summary.unknown_columns);
    Ok(Status::of(print_losses(path, &summary.losses)))
}

/// Reads the key from a file, a descriptor or standard input; never from the command line, where
/// other users see it.
pub(super) fn read_key(file: Option<&Path>, descriptor: Option<u32>) -> Result<HashKey, CliError> {
    let path = match (file, descriptor) {
        (Some(path), _) => path.to_owned(),
        (None, Some(descriptor)) => PathBuf::from(format!("/dev/fd/{descriptor}")),
        (None, None) => return Err(ArgumentError::MissingKey.into()),
    };
    let text = read_key_file(&path).map_err(CliError::file(&path))?;
    HashKey::new(&text).map_err(|source| CliError::Key { path, source })
}

fn read_key_file(path: &Path) -> io::Result<Vec<u8>> {
    let mut text = Vec::new();
    if is_standard_stream(path) {
        io::stdin()
            .take(MAX_KEY_FILE_BYTES)
            .read_to_end(&mut text)?;
    } else {
        File::open(path)?
            .take(MAX_KEY_FILE_BYTES)
            .read_to_end(&mut text)?;
    }
    Ok(text)
}
