//! Files in and out: standard streams by `-`, results that appear whole or not at all, what is lost said on standard
//! error.

use std::fs::File;
use std::io::{self, BufReader, BufWriter, IsTerminal, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use indicatif::{ProgressBar, ProgressStyle};
use tempfile::NamedTempFile;
use tulipgap_trace::{Loss, MergeError, Trace, TraceError, WriteError};

/// Whether all was there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    Whole,
    Lacking,
}

impl Verdict {
    pub fn and(self, whole: bool) -> Verdict {
        if whole { self } else { Verdict::Lacking }
    }
}

#[derive(Debug, thiserror::Error)]
pub enum Failure {
    #[error("{0}")]
    Usage(String),
    #[error("{path}: {error}")]
    File { path: String, error: io::Error },
    #[error("{path}: {error}")]
    Trace { path: String, error: TraceError },
    #[error("{0}")]
    Merge(#[from] MergeError),
    #[error("{0}")]
    Write(#[from] WriteError),
    #[error("{0}")]
    Io(#[from] io::Error),
}

impl Failure {
    pub fn is_closed_pipe(&self) -> bool {
        let kind = match self {
            Failure::Io(error) | Failure::File { error, .. } => error.kind(),
            Failure::Write(WriteError::Io(error))
            | Failure::Merge(MergeError::Write(WriteError::Io(error))) => error.kind(),
            _ => return false,
        };
        kind == io::ErrorKind::BrokenPipe
    }
}

pub type Input = BufReader<File>;

pub fn is_stream(path: &Path) -> bool {
    path.as_os_str() == "-"
}

/// Opens a file for reading here and there; standard input, and what cannot be sought in, by way of a temporary
/// file, on disk and not in memory.
pub fn input(path: &Path) -> Result<Input, Failure> {
    let failed = |error| Failure::File { path: path.display().to_string(), error };
    let spool = |source: &mut dyn Read| -> io::Result<Input> {
        let mut file = tempfile::tempfile()?;
        io::copy(source, &mut file)?;
        file.seek(SeekFrom::Start(0))?;
        Ok(BufReader::new(file))
    };
    if is_stream(path) {
        return spool(&mut io::stdin().lock()).map_err(failed);
    }
    let mut file = File::open(path).map_err(failed)?;
    let kind = file.metadata().map_err(failed)?;
    if kind.is_dir() {
        return Err(failed(io::ErrorKind::IsADirectory.into()));
    }
    if kind.is_file() { Ok(BufReader::new(file)) } else { spool(&mut file).map_err(failed) }
}

pub fn open(path: &Path) -> Result<Trace<Input>, Failure> {
    Trace::open(input(path)?).map_err(|error| Failure::Trace { path: path.display().to_string(), error })
}

/// A result on its way: a file beside its place until it is whole, or standard output.
pub enum Output {
    Stream(BufWriter<io::Stdout>),
    File(BufWriter<NamedTempFile>, PathBuf),
    /// A device or a pipe, which stays what it is.
    Special(BufWriter<File>),
}

impl Output {
    pub fn new(path: &Path) -> Result<Output, Failure> {
        let failed = |error| Failure::File { path: path.display().to_string(), error };
        if is_stream(path) {
            return Ok(Output::Stream(BufWriter::new(io::stdout())));
        }
        if std::fs::metadata(path).is_ok_and(|kind| !kind.is_file() && !kind.is_dir()) {
            let file = File::options().write(true).open(path).map_err(failed)?;
            return Ok(Output::Special(BufWriter::new(file)));
        }
        let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty());
        let mut builder = tempfile::Builder::new();
        builder.prefix(".tulipgap-");
        // As other tools leave their files, not for the owner alone.
        #[cfg(unix)]
        builder.permissions(std::os::unix::fs::PermissionsExt::from_mode(0o666));
        let file = builder.tempfile_in(folder.unwrap_or(Path::new("."))).map_err(failed)?;
        Ok(Output::File(BufWriter::new(file), path.to_owned()))
    }

    /// Puts the result in its place.
    pub fn commit(self) -> Result<(), Failure> {
        match self {
            Output::Stream(mut out) => out.flush().map_err(Failure::Io),
            Output::Special(mut out) => out.flush().map_err(Failure::Io),
            Output::File(out, path) => {
                let failed = |error| Failure::File { path: path.display().to_string(), error };
                let file = out.into_inner().map_err(|error| failed(error.into_error()))?;
                file.persist(&path).map_err(|error| failed(error.error))?;
                Ok(())
            }
        }
    }
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self {
            Output::Stream(out) => out.write(bytes),
            Output::File(out, _) => out.write(bytes),
            Output::Special(out) => out.write(bytes),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        match self {
            Output::Stream(out) => out.flush(),
            Output::File(out, _) => out.flush(),
            Output::Special(out) => out.flush(),
        }
    }
}

/// Says what of a file could not be read. True where nothing is lost.
pub fn say_losses(path: &Path, losses: &[Loss]) -> bool {
    /// Of one file; the rest is counted.
    const SAID: usize = 20;
    for loss in losses.iter().take(SAID) {
        eprintln!("tulipgap: {}: {loss}", path.display());
    }
    if losses.len() > SAID {
        eprintln!("tulipgap: {}: {} more of this kind", path.display(), losses.len() - SAID);
    }
    losses.is_empty()
}

pub fn say_unknown(path: &Path, unknown: &[String]) {
    if !unknown.is_empty() {
        let columns = unknown.join(", ");
        eprintln!("tulipgap: {}: columns not known here were passed over: {columns}", path.display());
    }
}

/// Progress on standard error, where that is a terminal.
pub fn progress(what: &'static str, all: u64) -> ProgressBar {
    if !io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(all).with_message(what);
    match ProgressStyle::with_template("{msg} {wide_bar} {human_pos} of {human_len} ({eta})") {
        Ok(style) => bar.with_style(style),
        Err(_) => bar,
    }
}
