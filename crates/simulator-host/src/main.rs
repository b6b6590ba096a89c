//! `tulipgap-simhost` hosts the controllers of simulated backends, one for each, and exchanges
//! events and actions with the simulator.
//!
//! It reads batches of events from standard input and writes the controllers' actions to standard
//! output. On invalid input it writes one line to standard error and exits with 2; at the end of
//! the input it exits with 0.

mod action;
mod backend;
mod fields;
mod host;
mod message;

use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

use fields::WireError;
use host::Host;

/// The size of the buffer of standard output. The reply to a batch is flushed as a whole.
const OUTPUT_BUFFER_BYTES: usize = 64 * 1024;
/// The exit code for invalid input.
const INVALID_INPUT: u8 = 2;

fn main() -> ExitCode {
    let mut output = BufWriter::with_capacity(OUTPUT_BUFFER_BYTES, io::stdout().lock());
    match serve(io::stdin().lock(), &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tulipgap-simhost: {error}");
            ExitCode::from(INVALID_INPUT)
        }
    }
}

/// Answers one batch after another until the input ends.
fn serve(mut input: impl BufRead, output: &mut impl Write) -> Result<(), WireError> {
    let mut host = Host::default();
    let mut line = Vec::new();
    for number in 1.. {
        line.clear();
        if input.read_until(b'\n', &mut line)? == 0 {
            return host.finish(number);
        }
        let text = std::str::from_utf8(&line)
            .map_err(|_| WireError::at(number, "line", "not valid UTF-8"))?;
        if let Some(reply) = host.line(number, text.trim_end_matches(['\n', '\r']))? {
            output.write_all(reply.as_bytes())?;
            output.flush()?;
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
