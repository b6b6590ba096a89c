//! Writes the faults of a plan as blocks of a plan file, so that a failed run can be reproduced.

use std::fmt::Write;

use super::{Fault, Plan, TimeWindow};

/// A block, built key by key.
struct Block(String);

impl Block {
    fn new(kind: &str) -> Self {
        Block(format!("{kind} {{\n"))
    }

    /// Adds a number or a boolean.
    fn value(mut self, key: &str, value: impl std::fmt::Display) -> Self {
        let _ = writeln!(self.0, "  {key} = {value}");
        self
    }

    fn optional(self, key: &str, value: Option<f64>) -> Self {
        match value {
            Some(value) => self.value(key, value),
            None => self,
        }
    }

    fn text(self, key: &str, text: &str) -> Self {
        self.value(key, format_args!("{text:?}"))
    }

    fn end(self) -> String {
        self.0 + "}\n"
    }
}

impl Fault {
    /// Returns the fault as a block of a plan file.
    fn to_hcl(&self) -> String {
        let block = match self {
            Fault::Partition {
                window: TimeWindow { from, to },
                a,
                b,
                one_way,
                flap,
            } => Block::new("cut")
                .value("from", from)
                .value("to", to)
                .value("between", format_args!("[{a:?}, {b:?}]"))
                .value("one_way", one_way)
                .optional("flap", *flap),
            Fault::DegradedLinks {
                window: TimeWindow { from, to },
                target,
                loss,
                delay_ms,
                duplication,
            } => Block::new("links")
                .value("from", from)
                .value("to", to)
                .text("of", target)
                .value("loss", loss)
                .value("delay_ms", delay_ms)
                .value("twice", duplication),
            Fault::Crash {
                at,
                target,
                restart_at,
                directory,
            } => Block::new("crash")
                .value("at", at)
                .text("of", target)
                .optional("back", *restart_at)
                .text("folder", directory.keyword()),
            Fault::Pause {
                at,
                target,
                resume_at,
                step,
            } => {
                let block = Block::new("stop")
                    .value("at", at)
                    .text("of", target)
                    .optional("back", *resume_at);
                match step {
                    Some(step) => block.text("step", step.keyword()),
                    None => block,
                }
            }
            Fault::ClockRate { target, rate } => {
                Block::new("clock").text("of", target).value("rate", rate)
            }
            Fault::Disk {
                at,
                target,
                repaired_at,
                fault,
            } => Block::new("disk")
                .value("at", at)
                .text("of", target)
                .optional("back", *repaired_at)
                .text("what", fault.keyword()),
            Fault::ReplaceVoter { at, old, new } => Block::new("replace")
                .value("at", at)
                .text("old", old)
                .text("new", new),
        };
        block.end()
    }
}

impl Plan {
    /// Returns the faults as blocks of a plan file. If these blocks replace the faults of the plan
    /// file, a simulation with the same seed gives the same run.
    pub fn faults_to_hcl(&self) -> String {
        self.faults.iter().map(Fault::to_hcl).collect()
    }
}
