//! Client of the object API that entries, agents and operators' commands use.
//!
//! The API stores everything that must be durable or agreed on: the table's rows, first
//! submissions under plain keys, coordinators' leases and the list of instances. Requests that
//! may be repeated or carry a ticket are served without it. [`ObjectClient`] speaks the REST
//! list-watch-update protocol of Kubernetes.

mod client;
mod liveness;
mod object;

pub use client::{ObjectClient, ObjectError, WatchEvent, Watcher};
pub use liveness::wait_for_outage;
pub use object::{
    Collection, GroupSpec, InstanceRole, InstanceSpec, InstanceState, KeySpec, LastWrite, List,
    Metadata, Object,
};
