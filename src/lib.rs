//! tulipgap decides, inside each server of a fleet, what that server takes, runs and turns away.
//!
//! It speaks no protocol and opens no socket. A host tells a [`Decider`] what happened, in [`Event`]s, and
//! carries out the [`Action`]s that come back. One `Decider` serves one process and shares nothing.

mod decide;
mod interface;
mod ring;
mod state;

pub use decide::Decider;
pub use interface::*;
