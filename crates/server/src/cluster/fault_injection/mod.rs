//! Fault injection, for the rig alone: off unless the block `trial` of the configuration asks for
//! it.

mod faulty_disk;
mod lease_worker;
mod pause_step;

pub(crate) use faulty_disk::FaultyDisk;
pub(crate) use lease_worker::LeaseWorker;
