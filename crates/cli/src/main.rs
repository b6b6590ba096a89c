//! `tulipgap`: the command line. Exit codes: 0; 1 where the data lacks something (all that could be given was given);
//! 2 where the command cannot be carried out.

mod args;
mod cluster;
mod export;
mod files;
mod report;
mod rig;
mod times;
mod trace;

use std::process::ExitCode;

use clap::Parser;

use args::{Args, Command, ConfigCommand, RigCommand};

fn main() -> ExitCode {
    // clap ends with 2 on usage that makes no sense, and with 0 for help and version.
    let args = Args::parse();
    let ended = match args.command {
        Command::Trace { command } => trace::run(command),
        Command::Rig { command: RigCommand::Simulate { file, seeds, chaos, json } } => {
            rig::simulate(&file, seeds, chaos, json)
        }
        Command::Rig { command: RigCommand::Run { file, program, seed, chaos, folder, json } } => {
            rig::run(&file, program, seed, chaos, folder, json)
        }
        Command::Cluster { command } => cluster::cluster(command),
        Command::Lease { command } => cluster::lease(command),
        Command::Config { command: ConfigCommand::Check { files } } => check_config(&files),
    };
    match ended {
        Ok(files::Verdict::Whole) => ExitCode::SUCCESS,
        Ok(files::Verdict::Lacking) => ExitCode::from(1),
        // Who reads our output has gone: nothing to say to anybody.
        Err(error) if error.is_closed_pipe() => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tulipgap: {error}");
            ExitCode::from(2)
        }
    }
}

fn check_config(paths: &[std::path::PathBuf]) -> Result<files::Verdict, files::Failure> {
    let mut verdict = files::Verdict::Whole;
    for path in paths {
        match tulipgap_config::read(path) {
            Ok(_) => println!("{}: fine", path.display()),
            Err(error @ tulipgap_config::ConfigError::Unread { .. }) => {
                return Err(files::Failure::Usage(error.to_string()));
            }
            Err(error) => {
                println!("{error}");
                verdict = files::Verdict::Lacking;
            }
        }
    }
    Ok(verdict)
}
