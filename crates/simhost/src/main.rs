//! `tulipgap-simhost`: hosts one controller for each backend on the simulator's wire.
//!
//! Reads batches on standard input, answers on standard output. Input it cannot read ends it with
//! one line on standard error and exit code 2; end of input ends it with 0.

mod backend;
mod fields;
mod host;

use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

use fields::WireError;
use host::Host;

fn main() -> ExitCode {
    let mut output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    match serve(io::stdin().lock(), &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tulipgap-simhost: {error}");
            ExitCode::from(2)
        }
    }
}

/// Answers batch after batch until the input ends.
fn serve(mut input: impl BufRead, output: &mut impl Write) -> Result<(), WireError> {
    let mut host = Host::default();
    let mut line = Vec::new();
    for number in 1.. {
        line.clear();
        if input.read_until(b'\n', &mut line)? == 0 {
            return host.finish(number);
        }
        let text = std::str::from_utf8(&line)
            .map_err(|_| WireError::at(number, "line", "it is not UTF-8"))?;
        if let Some(reply) = host.line(number, text.trim_end_matches(['\n', '\r']))? {
            output.write_all(reply.as_bytes())?;
            output.flush()?;
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
