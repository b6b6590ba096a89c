//! `tulipgap`: the command line. It reads, makes and summarises recordings, plays plans of faults,
//! asks a running process for what it knows of its cluster, and checks configuration files.
//!
//! Exit codes: 0; 1 where something is missing, damaged or refused (all that could be given was
//! given); 2 where the command cannot be carried out.

mod args;
mod check_config;
mod error;
mod input;
mod messages;
mod operator;
mod output;
mod rig;
mod times;
mod trace;

use std::process::ExitCode;

use clap::Parser;

use crate::args::{Args, Command, ConfigCommand, RigCommand};
use crate::error::{CommandResult, Status};

fn main() -> ExitCode {
    // clap ends with 2 on invalid usage, and with 0 for help and version.
    match run(Args::parse().command) {
        Ok(Status::Complete) => ExitCode::SUCCESS,
        Ok(Status::Incomplete) => ExitCode::from(1),
        // Whoever reads the output has closed it, which is no failure.
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
        Command::Rig {
            command:
                RigCommand::Simulate {
                    file,
                    seeds,
                    chaos,
                    json,
                },
        } => rig::simulate(&file, seeds, chaos, json),
        Command::Rig {
            command:
                RigCommand::Run {
                    file,
                    program,
                    seed,
                    chaos,
                    folder,
                    json,
                },
        } => rig::run(&file, program, seed, chaos, folder, json),
        Command::Cluster { command } => operator::cluster::run(command),
        Command::Lease { command } => operator::lease::run(command),
        Command::Config {
            command: ConfigCommand::Check { files },
        } => check_config::run(&files),
    }
}
