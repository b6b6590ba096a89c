//! `tulipgap`: the command line. It reads, makes and summarises recordings, runs fault injection
//! plans, queries and controls the cluster of a running process, and checks configuration files.
//!
//! Exit codes: 0 for success; 1 if something is missing, damaged or rejected (the command has
//! returned everything else); 2 if the command cannot be carried out.

mod args;
mod chaos;
mod check_config;
mod error;
mod input;
mod messages;
mod operator;
mod output;
mod times;
mod trace;

use std::process::ExitCode;

use clap::Parser;

use crate::args::{Args, ChaosCommand, Command, ConfigCommand};
use crate::error::{CommandResult, Status};

fn main() -> ExitCode {
    // clap exits with 2 on invalid usage, and with 0 for help and version.
    match run(Args::parse().command) {
        Ok(Status::Complete) => ExitCode::SUCCESS,
        Ok(Status::Incomplete) => ExitCode::from(1),
        // The reader of the output has closed it, which is not a failure.
        Err(error) if error.is_closed_pipe() => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tulipgap: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(command: Command) -> CommandResult {
    match command {
        Command::Trace { command } => trace::run(command),
        Command::Chaos {
            command:
                ChaosCommand::Simulate {
                    file,
                    seeds,
                    random_faults,
                    json,
                },
        } => chaos::simulate(&file, seeds, random_faults, json),
        Command::Chaos {
            command:
                ChaosCommand::Run {
                    file,
                    program,
                    seed,
                    random_faults,
                    folder,
                    json,
                },
        } => chaos::run(&file, program, seed, random_faults, folder, json),
        Command::Cluster { command } => operator::cluster::run(command),
        Command::Lease { command } => operator::lease::run(command),
        Command::Config {
            command: ConfigCommand::Check { files },
        } => check_config::run(&files),
    }
}
