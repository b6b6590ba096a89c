//! Output files: files that appear complete or not at all, or standard output for `-`.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};

use tempfile::NamedTempFile;

use crate::error::CliError;
use crate::input::is_standard_stream;

/// The output of a command while it is written.
pub(crate) enum Output {
    /// Standard output.
    Stream(BufWriter<io::Stdout>),
    /// A temporary file in the directory of its path, until it is complete.
    File {
        file: BufWriter<NamedTempFile>,
        path: PathBuf,
    },
    /// A device or a pipe, which is written in place.
    Device(BufWriter<File>),
}

impl Output {
    /// Begins the output for a path.
    pub(crate) fn new(path: &Path) -> Result<Output, CliError> {
        if is_standard_stream(path) {
            return Ok(Output::Stream(BufWriter::new(io::stdout())));
        }
        if std::fs::metadata(path).is_ok_and(|metadata| !metadata.is_file() && !metadata.is_dir()) {
            let file = File::options()
                .write(true)
                .open(path)
                .map_err(CliError::file(path))?;
            return Ok(Output::Device(BufWriter::new(file)));
        }
        let directory = path
            .parent()
            .filter(|directory| !directory.as_os_str().is_empty());
        let mut builder = tempfile::Builder::new();
        builder.prefix(".tulipgap-");
        // The file gets the usual permissions of new files instead of those of temporary files.
        #[cfg(unix)]
        builder.permissions(std::os::unix::fs::PermissionsExt::from_mode(0o666));
        let file = builder
            .tempfile_in(directory.unwrap_or(Path::new(".")))
            .map_err(CliError::file(path))?;
        Ok(Output::File {
            file: BufWriter::new(file),
            path: path.to_owned(),
        })
    }

    /// Flushes the complete output, and moves a file to its path.
    pub(crate) fn commit(self) -> Result<(), CliError> {
        match self {
            Output::Stream(mut out) => out.flush().map_err(CliError::Io),
            Output::Device(mut out) => out.flush().map_err(CliError::Io),
            Output::File { file, path } => {
                let file = file
                    .into_inner()
                    .map_err(|error| CliError::file(&path)(error.into_error()))?;
                file.persist(&path)
                    .map_err(|error| CliError::file(&path)(error.error))?;
                Ok(())
            }
        }
    }

    fn writer(&mut self) -> &mut dyn Write {
        match self {
            Output::Stream(out) => out,
            Output::File { file, .. } => file,
            Output::Device(out) => out,
        }
    }
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.writer().write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.writer().flush()
    }
}
