//! The program as a whole, on loopback.

mod address_limits;
mod cancellation;
mod configuration;
mod connection_close;
mod connection_floods;
mod cost;
mod deployment;
mod docs;
mod executor_link;
mod graceful_shutdown;
mod harness;
mod idempotency;
mod leases;
mod listener_close;
mod load;
mod malformed_messages;
mod membership;
mod peer_moves;
mod recording;
mod registration;
mod restart;
mod serving;
mod slow_clients;
mod socket_options;
mod startup;
mod store_calls;
