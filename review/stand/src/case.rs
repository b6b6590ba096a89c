//! The frame of a case: its folders, its record and its exit code.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use crate::record::Record;

/// The rule held.
pub const HELD: u8 = 0;
/// The rule was broken.
pub const BROKEN: u8 = 1;
/// The case could not run.
pub const CANNOT_RUN: u8 = 2;

/// After this time a case ends itself and everything that it started.
const LIMIT: Duration = Duration::from_secs(115);

pub struct Case {
    /// The root of the repository.
    pub root: PathBuf,
    /// A temporary folder of this run.
    pub folder: PathBuf,
    pub record: Record,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

impl Case {
    /// Runs a case. The first argument names the folder for `record.txt`.
    pub fn main(manifest: PathBuf, run: impl FnOnce(&Case) -> std::io::Result<u8>) -> ExitCode {
        let Some(output) = std::env::args().nth(1).map(PathBuf::from) else {
            eprintln!("usage: CASE FOLDER");
            return ExitCode::from(CANNOT_RUN);
        };
        let root = manifest
            .ancestors()
            .nth(2)
            .map(PathBuf::from)
            .unwrap_or_default();
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        let record = std::fs::create_dir_all(&folder)
            .and_then(|()| Record::create(&output.join("record.txt")));
        let record = match record {
            Ok(record) => record,
            Err(error) => {
                eprintln!("record.txt: {error}");
                return ExitCode::from(CANNOT_RUN);
            }
        };
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let case = Case {
            root,
            folder,
            record,
            trouble,
        };
        case.say(format!(
            "disruption: {}",
            if trouble { "yes" } else { "no" }
        ));
        limit_time();
        let code = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run(&case)));
        let code = match code {
            Ok(Ok(code)) => code,
            Ok(Err(error)) => {
                case.say(format!("the case could not run: {error}"));
                CANNOT_RUN
            }
            Err(_) => {
                case.say("the case could not run");
                CANNOT_RUN
            }
        };
        case.say(match code {
            HELD => "the rule held",
            BROKEN => "THE RULE WAS BROKEN",
            _ => "no result",
        });
        let _ = std::fs::remove_dir_all(&case.folder);
        ExitCode::from(code)
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.record.line(text);
    }

    /// Ends the case without a result unless the condition holds.
    pub fn require(&self, condition: bool, what: &str) {
        assert!(condition, "the case needs this: {what}");
    }
}

/// Ends the case without a result, and kills the backends, if it takes too long.
fn limit_time() {
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        println!("the case took too long");
        crate::platform::kill_all();
        std::process::exit(i32::from(CANNOT_RUN));
    });
}
