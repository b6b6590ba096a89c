//! Leases: who may do what one alone, or so many, may do at a time. `Table` is what voters agree on, command by command;
//! `Granter` counts terms for whoever leads them; `Holder` asks, renews and gives out permits. Events in, actions out;
//! no I/O, no clock, everything drawn comes from the seed. docs/design-leases.md tells why two never act at once.

mod granter;
mod holder;
mod interface;
mod table;

pub use granter::Granter;
pub use holder::{Action, Event, Holder, Permit, Stale, Standing, Why};
pub use interface::*;
pub use table::{Held, Lease, Table, Waiting};
