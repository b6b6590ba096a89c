//! The program as a whole, on loopback.

mod admitting;
mod cost;
mod fleet;
mod leases;
mod recording;
mod serving;
mod stand;
