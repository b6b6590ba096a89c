//! The requests that a server knows, from arrival to release. The only decision taken here is on a
//! request's deadlines.

mod deadlines;
mod request;
mod table;
#[cfg(test)]
mod tests;

pub(crate) use deadlines::{ArrivalTimes, Deadlines};
pub(crate) use request::{Request, Stage};
pub(crate) use table::RequestTable;
