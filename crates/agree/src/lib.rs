//! A voter: one of three or five processes that agree, command by command, on who holds which lease. The consensus is the
//! crate `raft`, driven here without a clock and with all that is drawn from the seed. Events in, actions out, in the
//! order in which they are to be carried out: what is written is durable before what follows it is said.
//! docs/design-leases.md tells why it is as it is.

mod founding;
mod interface;
mod seat;
mod store;
mod voter;

pub use founding::Identity;
pub use interface::*;
pub use seat::{Lost, Seat};
pub use voter::Voter;
