//! Files of records: whole, torn, damaged, hostile, of both formats; and what is made of them.

mod common;
mod damage;
mod format;
mod golden;
mod keeping;
mod making;
