//! The program as a whole, on loopback.

mod admitting;
mod cost;
mod fleet;
mod leases;
mod members;
mod recording;
mod serving;
mod stand;
