//! `tulipgap config check`: reports every problem of a settings file with its line and column.

use std::path::PathBuf;

use tulipgap_config::ConfigError;

use crate::error::{CliError, CommandResult, Status};

pub(crate) fn run(paths: &[PathBuf]) -> CommandResult {
    let mut status = Status::Complete;
    for path in paths {
        match tulipgap_config::read(path) {
            Ok(_) => println!("{}: fine", path.display()),
            Err(error @ ConfigError::Invalid { .. }) => {
                println!("{error}");
                status = Status::Incomplete;
            }
            Err(error) => return Err(CliError::Config(error)),
        }
    }
    Ok(status)
}
