//! Input files: paths, or standard input for `-`.

use std::fs::File;
use std::io::{self, BufReader, Read, Seek, SeekFrom};
use std::path::Path;

use tulipgap_trace::TraceReader;

use crate::error::CliError;

/// A buffered, seekable file.
pub(crate) type Input = BufReader<File>;

/// Whether a path stands for standard input or output.
pub(crate) fn is_standard_stream(path: &Path) -> bool {
    path.as_os_str() == "-"
}

/// Opens a recording.
pub(crate) fn open_trace(path: &Path) -> Result<TraceReader<Input>, CliError> {
    TraceReader::open(open(path)?).map_err(CliError::trace(path))
}

/// Opens a file for reading at any position. Standard input and files that are not seekable are
/// first copied to a temporary file, so that they take no memory.
fn open(path: &Path) -> Result<Input, CliError> {
    if is_standard_stream(path) {
        return copy_to_temporary_file(&mut io::stdin().lock()).map_err(CliError::file(path));
    }
    open_path(path).map_err(CliError::file(path))
}

fn open_path(path: &Path) -> io::Result<Input> {
    let mut file = File::open(path)?;
    let metadata = file.metadata()?;
    if metadata.is_dir() {
        return Err(io::ErrorKind::IsADirectory.into());
    }
    if metadata.is_file() {
        Ok(BufReader::new(file))
    } else {
        copy_to_temporary_file(&mut file)
    }
}

fn copy_to_temporary_file(source: &mut dyn Read) -> io::Result<Input> {
    let mut file = tempfile::tempfile()?;
    io::copy(source, &mut file)?;
    file.seek(SeekFrom::Start(0))?;
    Ok(BufReader::new(file))
}
