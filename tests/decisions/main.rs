//! The controller alone: on generated days against the four rules, and on each failure that was
//! found. A test of such a failure begins with its story.

mod admission;
mod common;
mod configuration;
mod connections;
mod dependency_calls;
mod drain;
mod extreme_configurations;
mod helpers;
mod overload;
mod retries;
mod rules;
