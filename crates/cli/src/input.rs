//! Input files: paths, or standard input for `-`.

use std::fs::File;
use std::io::{self, BufReader, Read, Seek, SeekFrom};
use std::path::Path;

use tulipgap_trace::TraceReader;

use crate::error::CliError;

/// A file that is buffered and seekable.
pub(crate) type Input = BufReader<File>;

/// Whether a path stands for standard input or output.
pub(crate) fn is_standard_stream(path: &Path) -> bool {
    path.as_os_str() == "-"
}

/// Opens a recording.
pub(crate) fn open_trace(path: &Path) -> Result<TraceReader<Input>, CliError> {
    TraceReader::open(open(path)?).map_err(CliError::trace(path))
}

/// Opens a file for reading at any place. Standard input, and what cannot be sought in, is copied
/// to a temporary file first, so that it takes no memory.
fn open(path: &Path) -> Result<Input, CliError> {
    if is_standard_stream(path) {
        return spooled(&mut io::stdin().lock()).map_err(CliError::file(path));
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
        spooled(&mut file)
    }
}

fn spooled(source: &mut dyn Read) -> io::Result<Input> {
    let mut file = tempfile::tempfile()?;
    io::copy(source, &mut file)?;
    file.seek(SeekFrom::Start(0))?;
    Ok(BufReader::new(file))
}
