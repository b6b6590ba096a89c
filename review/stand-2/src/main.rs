//! Stand-ins of the peers of one backend and the cases that use them. The first argument names the
//! case, the second the root of the repository, the third the folder of the case.

mod backend;
mod edge;
mod kernel;
mod keys;
mod lockout;
mod starts;
mod store;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;

/// What a case found out.
pub enum Verdict {
    Held,
    Broken(String),
    CouldNotRun(String),
}

/// Where a case runs.
pub struct Place {
    pub root: PathBuf,
    /// The folder of the case, with its record.
    pub case: PathBuf,
    /// A temporary folder.
    pub folder: PathBuf,
    /// The case runs with its disruption.
    pub trouble: bool,
}

/// The number that a variable of the environment sets, or the default.
pub fn env(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, root, case] = &arguments[..] else {
        eprintln!("usage: stand-2 CASE ROOT FOLDER");
        return ExitCode::from(2);
    };
    let folder = std::env::temp_dir().join(format!("stand-2-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let place = Place {
        root: PathBuf::from(root).canonicalize().unwrap(),
        case: PathBuf::from(case),
        folder: folder.clone(),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let verdict = match name.as_str() {
        "keys" => keys::run(&place),
        "lockout" => lockout::run(&place),
        "starts" => starts::run(&place),
        _ => Verdict::CouldNotRun(format!("no case {name}")),
    };
    let _ = std::fs::remove_dir_all(&folder);
    match verdict {
        Verdict::Held => {
            println!("held");
            ExitCode::SUCCESS
        }
        Verdict::Broken(why) => {
            println!("broken: {why}");
            ExitCode::from(1)
        }
        Verdict::CouldNotRun(why) => {
            println!("could not run: {why}");
            ExitCode::from(2)
        }
    }
}
