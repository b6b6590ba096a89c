//! The program as a whole, on loopback.

mod admitting;
mod cost;
mod crossings;
mod docs;
mod fleet;
mod harness;
mod leases;
mod load;
mod members;
mod recording;
mod serving;
mod standing;
