//! Fault injection, for `tulipgap chaos` only. It is off unless the configuration has the block
//! `cluster.trial`.

mod faulty_disk;
mod lease_worker;
mod pause_step;

pub(crate) use faulty_disk::FaultyDisk;
pub(crate) use lease_worker::LeaseWorker;
