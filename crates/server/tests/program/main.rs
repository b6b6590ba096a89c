//! The program as a whole, on loopback.

mod cost;
mod recording;
mod serving;
mod stand;
